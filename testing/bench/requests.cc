// Measures the request path with real processes: nodes, workers and the open-loop generator. Latency counts from the
// intended send time. The same load then goes directly to the workers by round robin, and by power of two choices on
// the load that the workers report. Prints lines "name value unit".
//
//   pq_bench_requests crest|blocking|slowed [sahel|wielwerk]
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <thread>

#include "base/random.h"
#include "testing/harness/json.h"
#include "testing/load/report.h"
#include "testing/process/mesh.h"

namespace {

using namespace pistachioquay;

constexpr std::uint64_t loadSeed = 20'261;
constexpr milliseconds interactiveDeadline{1000};

struct service_shape_of
{
    const char *service;
    std::size_t workers;
};

struct deployment_shape
{
    const char *name;
    std::uint32_t slots; // for each worker
    std::size_t connections; // for each worker
    std::array<service_shape_of, 3> services; // each in a data centre of its own; the first one is measured
};

constexpr deployment_shape sahel{"sahel", 6, 130, {{{"venue-desk", 4}, {"signoff-ledger", 3}, {"evidence-vault", 5}}}};
constexpr deployment_shape wielwerk{"wielwerk", 18, 120, {{{"catalogue", 4}, {"orders", 3}, {"designs", 3}}}};

enum class path_choice
{
    Nodes,
    RoundRobin,
    TwoChoices,
};

constexpr std::array<path_choice, 3> allChoices = {
    path_choice::Nodes, path_choice::RoundRobin, path_choice::TwoChoices};

std::string nameOf(path_choice choice)
{
    constexpr std::array names = {"nodes", "round_robin", "two_choices"};
    return names.at(static_cast<std::size_t>(choice));
}

struct bench
{
    deployment_shape shape;
    mesh running;

    // The nodes of the measured service come first.
    std::size_t workers() const
    {
        return shape.services.front().workers;
    }
};

void print(const std::string &name, double value, const char *unit)
{
    std::printf("%s %.2f %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

std::string policyText(const std::string &name, bool isIdempotent, milliseconds deadline)
{
    return "[policy." + name + "]\nclass = \"" + name + "\"\nidempotent = " + (isIdempotent ? "true" : "false")
        + "\ndeadline_ms = " + std::to_string(deadline.count()) + "\nretries = 2\nhedge_after_ms = 0\n";
}

std::string treeText(const deployment_shape &shape)
{
    std::string text = policyText("lookup", true, milliseconds(1000))
        + policyText("interactive", true, interactiveDeadline) + policyText("upload", false, milliseconds(5000))
        + policyText("background", true, milliseconds(5000));
    text += "[policy.order]\nclass = \"interactive\"\nidempotent = false\ndeadline_ms = "
        + std::to_string(interactiveDeadline.count()) + "\nretries = 2\nhedge_after_ms = 0\n";
    for (const char *policy : {"lookup", "interactive", "upload", "background", "order"}) {
        text += "[data_centre.dc-1.service." + std::string(shape.services.front().service) + ".route." + policy
            + "]\nprefix = \"/" + policy + "\"\npolicy = \"" + policy + "\"\n";
    }
    for (std::size_t index = 1; index < shape.services.size(); ++index) {
        text += "[data_centre.dc-" + std::to_string(index + 1) + ".service." + shape.services.at(index).service + "]\n";
    }
    return text;
}

bench startBench(const deployment_shape &shape)
{
    std::vector<mesh_part> parts;
    for (const auto &[service, workers] : shape.services) {
        parts.push_back({"dc-" + std::to_string(parts.size() + 1), service, workers, shape.slots});
    }
    bench started{shape, startMesh(parts)};
    const std::uint64_t version = publishText(started.running, treeText(shape), "", 0);
    if (!waitForVersion(started.running, version, startBound)) {
        throw std::runtime_error("the configuration is not in force everywhere");
    }
    return started;
}

// Load that the workers report, polled each second.
class reported_load
{
public:
    explicit reported_load(const bench &given)
        : m_loads(given.workers())
    {
        for (std::size_t index = 0; index < given.workers(); ++index) {
            m_addresses.push_back(given.running.nodes[index].upstream.address);
        }
        m_poller = std::jthread([this](const std::stop_token &stop) {
            poll(stop);
        });
    }

    std::size_t lighter(std::size_t left, std::size_t right) const
    {
        return m_loads.at(right) < m_loads.at(left) ? right : left;
    }

private:
    void poll(const std::stop_token &stop)
    {
        time_point due = steadyNow();
        while (!stop.stop_requested()) {
            for (std::size_t index = 0; index < m_loads.size(); ++index) {
                const json_holder load = parseJson(httpGet(m_addresses[index], "/load").body);
                m_loads[index] = integerIn(load.get(), "running", 0) + integerIn(load.get(), "waiting", 0);
            }
            due += seconds(1);
            while (!stop.stop_requested() && steadyNow() < due) {
                std::this_thread::sleep_for(milliseconds(20));
            }
        }
    }

    std::vector<endpoint> m_addresses;
    std::vector<std::atomic<std::int64_t>> m_loads;
    std::jthread m_poller;
};

struct run_outcome
{
    load_plan plan;
    std::vector<request_result> results;
    load_figures figures;
};

void printCheck(const std::string &prefix, const bench &given, const run_outcome &done)
{
    std::vector<run_entry> runs;
    for (const worker_node &each : given.running.nodes) {
        const std::vector<run_entry> some = readRecordFile(each.upstream.recordFile);
        runs.insert(runs.end(), some.begin(), some.end());
    }
    const run_check check = checkRuns(done.plan, done.results, runs);
    print(prefix + "doubled", static_cast<double>(check.doubled.size()), "requests");
    print(prefix + "false_not_run", static_cast<double>(check.falseNotRun.size()), "requests");
    print(prefix + "missing", static_cast<double>(check.missing.size()), "requests");
    print(prefix + "truncated", static_cast<double>(check.truncated.size()), "requests");
    print(prefix + "crossed", static_cast<double>(check.crossed.size()), "requests");
}

// Runs the plan on one path and prints its counts and the check of the workers' records.
run_outcome runOn(const bench &given, path_choice choice, load_plan plan)
{
    const std::string prefix = nameOf(choice) + ".";
    const std::size_t workers = given.workers();
    plan.seed = loadSeed;
    plan.connectionsPerTarget = given.shape.connections;
    plan.runName += "-" + nameOf(choice);
    for (std::size_t index = 0; index < workers; ++index) {
        const worker_node &each = given.running.nodes[index];
        plan.targets.push_back(choice == path_choice::Nodes ? each.node.settings.callerAddress : each.upstream.address);
    }
    std::unique_ptr<reported_load> loads;
    random_generator generator(loadSeed);
    std::size_t next = 0;
    if (choice == path_choice::RoundRobin) {
        plan.chooseTarget = [&] {
            return next++ % workers;
        };
    }
    if (choice == path_choice::TwoChoices) {
        loads = std::make_unique<reported_load>(given);
        plan.chooseTarget = [&] {
            const std::size_t left = generator() % workers;
            return loads->lighter(left, (left + 1 + generator() % (workers - 1)) % workers);
        };
    }
    run_outcome done;
    done.results = requireValue([&] {
        return runLoad(plan);
    });
    done.plan = plan;
    done.plan.chooseTarget = nullptr;
    done.figures = summarise(done.plan, done.results);
    const class_figures &all = done.figures.classes.back();
    print(prefix + "sent", static_cast<double>(all.sent), "requests");
    print(prefix + "whole", static_cast<double>(all.whole), "requests");
    print(prefix + "not_run", static_cast<double>(all.notRun), "requests");
    print(prefix + "unknown", static_cast<double>(all.unknown), "requests");
    print(prefix + "other_failures",
          static_cast<double>(all.noConnection + all.errors + all.failed + all.truncated + all.crossed),
          "requests");
    print(prefix + "max_send_delay", done.figures.maxSendDelayMs, "ms");
    printCheck(prefix, given, done);
    return done;
}

load_class classOf(const char *name, double share, service_options service)
{
    load_class wanted;
    wanted.name = name;
    wanted.path = "/" + wanted.name;
    wanted.share = share;
    wanted.service = service;
    wanted.timeout = milliseconds(5000);
    return wanted;
}

load_class orderClass(double share, service_options service)
{
    load_class wanted = classOf("order", share, service);
    wanted.method = "POST";
    wanted.requestBytes = 256;
    wanted.isIdempotent = false;
    return wanted;
}

// Whole responses within the deadline that ended in [from, to), per second.
double endedBetween(const std::vector<request_result> &results, duration from, duration to)
{
    const auto isGood = [&](const request_result &result) {
        const duration end = result.planned.at + result.latency;
        return result.outcome == request_outcome::Whole && result.latency <= interactiveDeadline && end >= from
            && end < to;
    };
    return static_cast<double>(std::ranges::count_if(results, isGood))
        / std::chrono::duration<double>(to - from).count();
}

// Time after `from` until 95% of the requests of each following window end whole within the deadline.
double recoveryMs(const std::vector<request_result> &results, duration from, duration end)
{
    constexpr milliseconds window{250};
    duration recovered = from;
    for (duration at = from; at < end; at += window) {
        std::size_t sent = 0;
        std::size_t good = 0;
        for (const request_result &result : results) {
            if (result.planned.at >= at && result.planned.at < at + window) {
                ++sent;
                good += result.outcome == request_outcome::Whole && result.latency <= interactiveDeadline ? 1 : 0;
            }
        }
        if (good * 100 < sent * 95) {
            recovered = at + window;
        }
    }
    return std::chrono::duration<double, std::milli>(recovered - from).count();
}

void runCrest(const bench &given)
{
    constexpr double serviceMs = 50;
    constexpr double baseShare = 0.45; // of what the workers can do; the crest offers 1.35 times of it
    constexpr milliseconds before{2000};
    constexpr milliseconds crest{10'000};
    constexpr milliseconds after{3000};
    const double capacity = static_cast<double>(given.workers() * given.shape.slots) * 1000 / serviceMs;
    print("crest.capacity", capacity, "1/s");
    for (const path_choice choice : allChoices) {
        load_plan plan;
        plan.runName = "crest";
        plan.classes = {classOf("interactive", 0.7, {serviceMs}), orderClass(0.3, {serviceMs})};
        plan.steps = {{capacity * baseShare, before}, {3 * capacity * baseShare, crest}, {capacity * baseShare, after}};
        const run_outcome done = runOn(given, choice, plan);
        const double goodput = endedBetween(done.results, before, before + crest);
        print(nameOf(choice) + ".crest_goodput", 100 * goodput / capacity, "percent");
        print(nameOf(choice) + ".recovery", recoveryMs(done.results, before + crest, before + crest + after), "ms");
    }
}

void runBlocking(const bench &given)
{
    constexpr double lookupsPerSecond = 150;
    constexpr double longPerSecond = 40;
    constexpr milliseconds phase{6000};
    const load_class lookup = classOf("lookup", lookupsPerSecond, {10, service_shape::Exponential});
    load_class upload = classOf("upload", longPerSecond / 2, {400});
    upload.method = "POST";
    upload.isIdempotent = false;
    upload.requestBytes = 262'144;
    const load_class background = classOf("background", longPerSecond / 2, {600});
    for (const path_choice choice : allChoices) {
        load_plan plan;
        plan.runName = "without";
        plan.classes = {lookup};
        plan.steps = {{lookupsPerSecond, phase}};
        const run_outcome without = runOn(given, choice, plan);
        plan.runName = "with";
        plan.classes = {lookup, upload, background};
        plan.steps = {{lookupsPerSecond + longPerSecond, phase}};
        const run_outcome with = runOn(given, choice, plan);
        const double quiet = without.figures.classes.front().p99Ms;
        const double blocked = with.figures.classes.front().p99Ms;
        print(nameOf(choice) + ".lookup_p99_without", quiet, "ms");
        print(nameOf(choice) + ".lookup_p99_with", blocked, "ms");
        print(nameOf(choice) + ".lookups_lost",
              static_cast<double>(with.figures.classes.front().sent - with.figures.classes.front().whole),
              "requests");
        print(nameOf(choice) + ".upload_whole", static_cast<double>(with.figures.classes.at(1).whole), "requests");
        print(nameOf(choice) + ".p99_ratio", quiet > 0 ? blocked / quiet : 0, "times");
    }
}

void setBehaviour(const bench &given, const char *json)
{
    const http_answer answer = httpPost(given.running.nodes.front().upstream.address, "/test/behaviour", json);
    if (answer.status != 200) {
        throw std::runtime_error("the worker refuses the behaviour: " + answer.body);
    }
}

// Of all classes together.
double stepP99Ms(const std::vector<request_result> &results, std::size_t step)
{
    std::vector<double> latencies;
    for (const request_result &result : results) {
        if (result.planned.step == step && result.outcome == request_outcome::Whole) {
            latencies.push_back(std::chrono::duration<double, std::milli>(result.latency).count());
        }
    }
    std::ranges::sort(latencies);
    return percentile(latencies, 0.99);
}

// Requests of a step that ran on the worker that is slowed.
std::size_t runsOnFirst(const bench &given, const std::vector<request_result> &results, std::size_t step)
{
    std::set<std::string> ran;
    for (const run_entry &run : readRecordFile(given.running.nodes.front().upstream.recordFile)) {
        ran.insert(run.request.requestId);
    }
    return static_cast<std::size_t>(std::ranges::count_if(results, [&](const request_result &result) {
        return result.planned.step == step && ran.contains(result.id);
    }));
}

void runSlowed(const bench &given)
{
    constexpr milliseconds healthy{5000};
    constexpr milliseconds slowed{5000};
    constexpr milliseconds after{2000};
    constexpr double perSecond = 250;
    for (const path_choice choice : allChoices) {
        load_plan plan;
        plan.runName = "slowed";
        plan.classes = {classOf("interactive", 0.7, {20, service_shape::Exponential}),
                        orderClass(0.3, {20, service_shape::Exponential})};
        plan.steps = {{perSecond, healthy}, {perSecond, slowed}, {perSecond, after}};
        const std::jthread switching([&given, start = steadyNow(), healthy, slowed] {
            std::this_thread::sleep_until(start + healthy);
            setBehaviour(given, R"({"slowness": 10, "load": "idle"})");
            std::this_thread::sleep_until(start + healthy + slowed);
            setBehaviour(given, R"({"slowness": 1, "load": "true"})");
        });
        const run_outcome done = runOn(given, choice, plan);
        const double calm = stepP99Ms(done.results, 0);
        const double slow = stepP99Ms(done.results, 1);
        print(nameOf(choice) + ".runs_on_slowed", static_cast<double>(runsOnFirst(given, done.results, 1)), "requests");
        print(nameOf(choice) + ".p99_healthy", calm, "ms");
        print(nameOf(choice) + ".p99_slowed", slow, "ms");
        print(nameOf(choice) + ".p99_ratio", calm > 0 ? slow / calm : 0, "times");
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    const std::string shape = argc > 2 ? argv[2] : "sahel";
    if ((name != "crest" && name != "blocking" && name != "slowed") || (shape != "sahel" && shape != "wielwerk")) {
        std::cerr << "usage: pq_bench_requests crest|blocking|slowed [sahel|wielwerk]\n";
        return 2;
    }
    try {
        const bench given = startBench(shape == "sahel" ? sahel : wielwerk);
        print("seed", static_cast<double>(loadSeed), "1");
        std::cout << "# " << name << ", shape " << shape << std::endl;
        name == "crest" ? runCrest(given) : name == "blocking" ? runBlocking(given) : runSlowed(given);
    } catch (const std::exception &failure) {
        std::cerr << "pq_bench_requests: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
