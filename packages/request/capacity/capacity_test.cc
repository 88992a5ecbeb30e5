// Guards against limits that cost throughput: one that stays above what the worker runs well, and one that is lowered
// although the worker runs all its slots well. A worker is a function from the number of running requests to the run
// time relative to a request alone.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <vector>

#include "base/milliseconds.h"
#include "base/random.h"
#include "request/capacity/capacity.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};
constexpr std::uint32_t slots = 18;

using run_factor = std::function<double(double running, double ms)>;

double flat(double /*running*/, double /*ms*/)
{
    return 1;
}
// Each running request beyond the knee costs all of them so much that the throughput falls.
run_factor kneeAt(double knee)
{
    return [knee](double running, double /*ms*/) {
        return running <= knee ? 1.0 : std::pow(running / knee, 2.5);
    };
}
double growing(double running, double /*ms*/) // 250 ms at 4, 440 ms at 18: the throughput still grows
{
    return 1 + 0.055 * running;
}

struct load
{
    run_factor factor = flat;
    std::map<std::string, double> runMs = {{"sign", 100}}; // of a request alone, by route
    double arrivalsPerMs = 0.3; // more than any of the workers completes
    double tailShare = 0; // of runs that take seven times as long
    double spread = 0.4; // of the logarithm of the run times
    double runsAtOnce = slots; // from here on runs fail
    bool isLearning = true;
};

struct outcome
{
    std::vector<double> limits; // every 100 ms
    double completed = 0; // work, in runs of a request alone
    worker_capacity capacity;

    double meanLimit(std::size_t fromMs, std::size_t toMs) const
    {
        const auto first = limits.begin() + static_cast<std::ptrdiff_t>(fromMs / 100);
        const auto last = limits.begin() + static_cast<std::ptrdiff_t>(toMs / 100);
        return std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
    }
};

// Runs the load on a worker for `lengthMs`, in steps of 1 ms.
outcome play(const load &played, int lengthMs, std::uint64_t seed = 1)
{
    struct running_run
    {
        double leftMs = 0; // at the speed of a request alone
        double workMs = 0;
        run_start began;
        std::string route;
    };
    constexpr std::size_t maxWaiting = 30;
    random_generator generator(seed);
    std::lognormal_distribution<double> spread(-played.spread * played.spread / 2, played.spread);
    std::uniform_real_distribution<double> draw(0, 1);
    outcome result;
    setReportedSlots(result.capacity, slots, start);
    std::deque<std::string> waiting;
    std::vector<running_run> running;
    for (int ms = 0; ms < lengthMs; ++ms) {
        const time_point now = start + milliseconds(ms);
        if (draw(generator) < played.arrivalsPerMs && waiting.size() < maxWaiting) {
            const auto route =
                std::next(played.runMs.begin(), static_cast<std::ptrdiff_t>(generator() % played.runMs.size()));
            waiting.push_back(route->first);
        }
        const double step = 1 / played.factor(static_cast<double>(running.size()), ms);
        for (running_run &each : running) {
            each.leftMs -= step;
        }
        std::erase_if(running, [&](const running_run &each) {
            if (each.leftMs > 0) {
                return false;
            }
            const bool isSuccess = draw(generator) < std::pow(played.runsAtOnce / each.began.running, 2);
            endRun(result.capacity, {each.began, each.route, isSuccess ? run_end::Succeeded : run_end::Failed}, now);
            result.completed += isSuccess ? each.workMs / played.runMs.at(each.route) : 0;
            return true;
        });
        if (played.isLearning) {
            advance(result.capacity, waiting.size(), now);
        }
        while (running.size() < slotsInForce(result.capacity) && !waiting.empty()) {
            const double tail = draw(generator) < played.tailShare ? 7 : 1;
            const double workMs = played.runMs.at(waiting.front()) * spread(generator) * tail;
            running.push_back({workMs, workMs, beginRun(result.capacity, now), waiting.front()});
            waiting.pop_front();
        }
        if (ms % 100 == 0) {
            result.limits.push_back(result.capacity.limit);
        }
    }
    return result;
}

// Returns the work completed with the learned limit relative to that with the reported slots, over some seeds.
double gain(load played, int lengthMs)
{
    double learned = 0;
    double fixed = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        played.isLearning = true;
        learned += play(played, lengthMs, seed).completed;
        played.isLearning = false;
        fixed += play(played, lengthMs, seed).completed;
    }
    return learned / fixed;
}

} // namespace

TEST_CASE("a worker that runs all its slots well loses no throughput")
{
    CHECK(gain({}, 60'000) > 0.97);
    CHECK(play({}, 60'000).meanLimit(10'000, 60'000) > 0.95 * slots);
}

TEST_CASE("run times that grow with the load do not lower the limit while the throughput grows as well")
{
    const load played{.factor = growing};
    CHECK(gain(played, 60'000) > 0.96);
}

TEST_CASE("the limit finds a knee long before the worker is full, and the worker completes more")
{
    const load played{.factor = kneeAt(6)};
    const outcome result = play(played, 30'000);
    INFO("mean limit " << result.meanLimit(10'000, 30'000));
    CHECK(result.meanLimit(10'000, 30'000) < 10);
    CHECK(result.meanLimit(10'000, 30'000) > 4);
    CHECK(gain(played, 30'000) > 1.5);
}

TEST_CASE("the limit follows a knee that moves down and up again")
{
    const load played{.factor = [](double running, double ms) {
        return ms < 20'000 || ms > 50'000 ? 1.0 : kneeAt(6)(running, ms);
    }};
    const outcome result = play(played, 90'000);
    INFO("before " << result.meanLimit(5000, 20'000) << ", during " << result.meanLimit(24'000, 50'000) << ", after "
                   << result.meanLimit(56'000, 90'000));
    CHECK(result.meanLimit(5000, 20'000) > 16);
    CHECK(result.meanLimit(24'000, 50'000) < 10);
    CHECK(result.meanLimit(56'000, 90'000) > 16);
}

TEST_CASE("a slow dependency does not lower the limit: it takes as long at any number of running requests")
{
    const load played{.factor = [](double /*running*/, double ms) {
        return ms > 10'000 && ms < 30'000 ? 4.0 : 1.0;
    }};
    CHECK(play(played, 40'000).meanLimit(10'000, 40'000) > 0.93 * slots);
}

TEST_CASE("neighbours that slow the worker down for a moment do not lower the limit for long")
{
    const load played{.factor = [](double /*running*/, double ms) {
        return std::fmod(ms, 4000) < 600 ? 2.5 : 1.0;
    }};
    CHECK(gain(played, 60'000) > 0.96);
}

TEST_CASE("a heavy tail of run times does not lower the limit")
{
    CHECK(gain({.tailShare = 0.03, .spread = 0.6}, 60'000) > 0.96);
}

TEST_CASE("routes with different run times do not lower the limit")
{
    const load played{.runMs = {{"look-up", 10}, {"sign", 100}, {"export", 900}}, .arrivalsPerMs = 0.2};
    CHECK(gain(played, 60'000) > 0.96);
}

TEST_CASE("nothing is learned from the runs of a worker that warms up")
{
    worker_capacity capacity;
    setReportedSlots(capacity, slots, start);
    resetCapacity(capacity, start + seconds(5), start);
    for (int index = 0; index < 100; ++index) {
        const run_start began = beginRun(capacity, start + milliseconds(10 * index));
        endRun(capacity, {began, "sign", run_end::Succeeded}, start + milliseconds(10 * index + 8));
    }
    CHECK(capacity.routes.empty());
    CHECK(loadSlope(capacity) == 0);
}

TEST_CASE("sparse load keeps the reported slots, and a limit that is not reached returns to them")
{
    CHECK(play({.arrivalsPerMs = 0.02}, 30'000).meanLimit(0, 30'000) == slots);
    worker_capacity capacity;
    setReportedSlots(capacity, slots, start);
    capacity.limit = 3;
    for (int second = 0; second < 60; ++second) {
        advance(capacity, 0, start + seconds(second));
    }
    CHECK(capacity.limit == slots);
}

TEST_CASE("requests that fail when too many run lower the limit")
{
    // The more run beyond nine, the more of all of them fail: nine bring the most successful runs.
    CHECK(play({.runsAtOnce = 9}, 40'000).meanLimit(20'000, 40'000) < 15);
}

TEST_CASE("the slope tells workers whose run times grow with the load from those whose do not")
{
    // Load that varies from idle to full, without saturation of the worker.
    const auto slopeOf = [](run_factor factor) {
        return loadSlope(play({.factor = std::move(factor), .arrivalsPerMs = 0.05}, 30'000).capacity);
    };
    const double flatSlope = slopeOf(flat);
    CHECK(flatSlope < 0.4);
    CHECK(slopeOf(growing) > flatSlope);
    CHECK(loadSlope({}) == 0);
}

TEST_CASE("any sequence of events keeps the limit between its floor and the reported slots")
{
    CHECK(holds("limit within its bounds", 500, [](const std::vector<std::uint32_t> &words) {
        worker_capacity capacity;
        time_point now = start;
        std::vector<run_start> running;
        for (const std::uint32_t word : words) {
            now += milliseconds(word % 97);
            if (word % 5 == 0) {
                setReportedSlots(capacity, word / 5 % 40, now);
            } else if (word % 5 == 1 && !running.empty()) {
                endRun(capacity, {running.back(), "sign", static_cast<run_end>(word / 5 % 3), std::nan("")}, now);
                running.pop_back();
            } else if (word % 31 == 2) {
                resetCapacity(capacity, now, now);
            } else {
                running.push_back(beginRun(capacity, now));
            }
            advance(capacity, word % 3, now);
            RC_ASSERT(capacity.limit >= 1 && capacity.limit <= capacity.reportedSlots);
            RC_ASSERT(slotsInForce(capacity) >= 1 && slotsInForce(capacity) <= capacity.reportedSlots);
            RC_ASSERT(capacity.running == running.size());
            RC_ASSERT(loadSlope(capacity) >= 0 && loadSlope(capacity) <= maxLoadSlope);
        }
    }));
}
