#include "testing/load/plan.h"

#include <algorithm>
#include <memory>
#include <random>

#include "base/random.h"
#include "testing/harness/json.h"

namespace pistachioquay {

namespace {

duration fromSeconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

boost::leaf::error_id invalid(std::string_view what)
{
    return fail(error_kind::InvalidArgument, what, "see testing/load/plan.h for the keys of a plan");
}

service_shape shapeFromName(std::string_view name)
{
    if (name == "exponential") {
        return service_shape::Exponential;
    }
    return name == "lognormal" ? service_shape::LogNormal : service_shape::Fixed;
}

load_class readClass(const json_t *object)
{
    load_class wanted;
    wanted.name = textIn(object, "name", "");
    wanted.method = textIn(object, "method", wanted.method);
    wanted.path = textIn(object, "path", wanted.path);
    wanted.share = numberIn(object, "share", wanted.share);
    wanted.isIdempotent = flagIn(object, "idempotent", wanted.isIdempotent);
    wanted.hasKey = flagIn(object, "key", wanted.hasKey);
    wanted.requestBytes = static_cast<std::size_t>(integerIn(object, "request_bytes", 0));
    wanted.responseBytes = static_cast<std::size_t>(integerIn(object, "response_bytes", 0));
    wanted.service = {numberIn(object, "service_ms", 0), shapeFromName(textIn(object, "service_shape", "fixed"))};
    wanted.timeout = milliseconds(integerIn(object, "timeout_ms", wanted.timeout.count()));
    const char *name = nullptr;
    json_t *value = nullptr;
    json_object_foreach(json_object_get(object, "headers"), name, value)
    {
        wanted.headers[name] = json_is_string(value) ? json_string_value(value) : "";
    }
    return wanted;
}

} // namespace

std::vector<arrival> planArrivals(const load_plan &plan)
{
    random_generator generator(plan.seed);
    std::vector<double> shares;
    std::vector<std::unique_ptr<service_times>> services;
    for (const load_class &each : plan.classes) {
        shares.push_back(each.share);
        services.push_back(std::make_unique<service_times>(each.service, generator()));
    }
    std::discrete_distribution<std::size_t> pickClass(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> pickTarget(0, plan.targets.empty() ? 0 : plan.targets.size() - 1);
    std::exponential_distribution<double> gap(1);
    std::vector<arrival> arrivals;
    duration stepStart{0};
    for (std::size_t step = 0; step < plan.steps.size(); ++step) {
        const duration stepEnd = stepStart + plan.steps[step].time;
        const double rate = plan.steps[step].perSecond;
        const auto drawGap = [&] {
            return fromSeconds((plan.isEvenlySpaced ? 1 : gap(generator)) / rate);
        };
        for (duration at = stepStart + drawGap(); rate > 0 && at < stepEnd; at += drawGap()) {
            const std::size_t classIndex = pickClass(generator);
            const duration service = services[classIndex]->draw();
            arrivals.push_back({at, step, classIndex, pickTarget(generator), service});
        }
        stepStart = stepEnd;
    }
    return arrivals;
}

duration runTime(const load_plan &plan)
{
    duration sum{0};
    for (const load_step &step : plan.steps) {
        sum += step.time;
    }
    return sum;
}

std::string requestId(const load_plan &plan, std::size_t index)
{
    return plan.runName + "-" + std::to_string(index);
}

result<load_plan> planFromJson(std::string_view json)
{
    const json_holder root = parseJson(json);
    const json_t *steps = json_object_get(root.get(), "steps");
    const json_t *classes = json_object_get(root.get(), "classes");
    if (json_array_size(steps) == 0 || json_array_size(classes) == 0) {
        return invalid("the plan is no JSON object with `steps` and `classes`");
    }
    load_plan plan;
    plan.seed = static_cast<std::uint64_t>(integerIn(root.get(), "seed", 1));
    plan.runName = textIn(root.get(), "run", plan.runName);
    plan.isEvenlySpaced = flagIn(root.get(), "evenly_spaced", false);
    plan.connectionsPerTarget = static_cast<std::size_t>(integerIn(root.get(), "connections", 130));
    for (std::size_t index = 0; index < json_array_size(steps); ++index) {
        const json_t *step = json_array_get(steps, index);
        plan.steps.push_back({numberIn(step, "per_s", 0), milliseconds(integerIn(step, "ms", 0))});
    }
    for (std::size_t index = 0; index < json_array_size(classes); ++index) {
        plan.classes.push_back(readClass(json_array_get(classes, index)));
        if (plan.classes.back().name.empty()) {
            return invalid("a class has no `name`");
        }
    }
    return plan;
}

} // namespace pistachioquay
