// Guards against three failures under overload: requests that wait and are refused anyway, late requests that make the
// following ones late, and calls of workers that are refused although their callers cannot retry.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "request/waiting/waiting.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock

queued_request requestOf(std::uint64_t ticket, time_point now, int targetMs, int timeLeftMs, double runMs)
{
    queued_request request;
    request.ticket = ticket;
    request.priority = 1;
    request.arrivedAt = now;
    request.targetAt = now + milliseconds(targetMs);
    request.requestDeadline = now + milliseconds(timeLeftMs);
    request.expectedRunMs = runMs;
    return request;
}

// Requests that finished within their target, finished later, and were refused.
struct simulation_result
{
    unsigned onTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    duration longestWaitOfRefused{0};
};

constexpr double simulatedRunMs = 100;
constexpr int simulatedTargetMs = 300;
constexpr int simulatedTimeLeftMs = 2000;

// Simulates 8 seconds of load on a worker with 6 slots; a `loadFactor` of 1 is its capacity. Without `usesTargets` a
// request is only refused when it cannot finish before its deadline, and requests run in the order of arrival.
simulation_result simulateOverload(double loadFactor, bool usesTargets)
{
    random_generator generator(7);
    request_queue queue;
    queue.slots = 6;
    simulation_result result;
    std::map<std::uint64_t, queued_request> requests;
    std::map<std::uint64_t, time_point> ends;
    std::uint64_t ticket = 0;
    const double arrivalsPerMs = loadFactor * queue.slots / simulatedRunMs;
    double arrivalsDue = 0;
    for (int ms = 0; ms < 8000; ++ms) {
        const time_point now = start + milliseconds(ms);
        for (auto end = ends.begin(); end != ends.end();) {
            if (end->second > now) {
                ++end;
                continue;
            }
            const bool isOnTime = now <= requests.at(end->first).arrivedAt + milliseconds(simulatedTargetMs);
            ++(isOnTime ? result.onTime : result.late);
            finish(queue, end->first);
            end = ends.erase(end);
        }
        for (const refused_request &refused : removeUnservable(queue, now, generator)) {
            ++result.refused;
            result.longestWaitOfRefused =
                std::max(result.longestWaitOfRefused, now - requests.at(refused.ticket).arrivedAt);
        }
        for (arrivalsDue += arrivalsPerMs; arrivalsDue >= 1; arrivalsDue -= 1) {
            queued_request request = requestOf(++ticket, now, simulatedTargetMs, simulatedTimeLeftMs, simulatedRunMs);
            if (!usesTargets) {
                request.targetAt = request.requestDeadline;
            }
            requests[ticket] = request;
            const enqueue_result decision = enqueue(queue, request, now, generator);
            if (decision.kind == enqueue_outcome::Refused) {
                ++result.refused;
            } else if (decision.kind == enqueue_outcome::Run) {
                ends[ticket] = now + milliseconds(100);
            }
        }
        for (auto started = startNext(queue, now); started; started = startNext(queue, now)) {
            ends[*started] = now + milliseconds(100);
        }
    }
    return result;
}

} // namespace

TEST_CASE("under overload most of a worker's capacity serves requests within their target")
{
    const simulation_result withTargets = simulateOverload(1.5, true);
    const simulation_result withDeadlinesOnly = simulateOverload(1.5, false);
    const unsigned capacity = 8000 / 100 * 6;
    CHECK(withTargets.onTime >= capacity * 9 / 10);
    CHECK(withDeadlinesOnly.onTime < capacity / 2);
    CHECK(withTargets.late <= capacity / 20);
}

TEST_CASE("a request refused under overload has waited no longer than the target latency")
{
    const simulation_result withTargets = simulateOverload(1.5, true);
    CHECK(withTargets.refused > 0);
    CHECK(withTargets.longestWaitOfRefused <= milliseconds(simulatedTargetMs));
}

TEST_CASE("no request is refused while the load is below capacity")
{
    CHECK(simulateOverload(0.9, true).refused == 0);
}

TEST_CASE("a request that cannot finish before its deadline is refused on arrival")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    CHECK(enqueue(queue, requestOf(1, start, 300, 400, 500), start, generator).kind == enqueue_outcome::Refused);
    REQUIRE(enqueue(queue, requestOf(2, start, 900, 1000, 500), start, generator).kind == enqueue_outcome::Run);
    const enqueue_result late = enqueue(queue, requestOf(3, start, 900, 900, 500), start, generator);
    CHECK(late.kind == enqueue_outcome::Refused);
    CHECK(late.reason == queue_refusal::NoTime);
    CHECK(late.retryAfter <= milliseconds(300));
}

TEST_CASE("a late request is admitted only if it can start almost at once")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    const queued_request late = requestOf(1, start, -100, 1000, 100);
    CHECK(enqueue(queue, late, start, generator).kind == enqueue_outcome::Run);
    CHECK(enqueue(queue, requestOf(2, start, -100, 1000, 100), start, generator).reason
          == queue_refusal::WouldMissTarget);
}

TEST_CASE("a final attempt runs first and is not refused while it can finish before its deadline")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    REQUIRE(enqueue(queue, requestOf(1, start, 300, 1000, 100), start, generator).kind == enqueue_outcome::Run);
    REQUIRE(enqueue(queue, requestOf(2, start, 300, 1000, 100), start, generator).kind == enqueue_outcome::Wait);
    REQUIRE(enqueue(queue, requestOf(3, start, 50, 250, 30), start, generator).kind == enqueue_outcome::Wait);
    CHECK(removeUnservable(queue, start + milliseconds(60), generator).empty());
    finish(queue, 1);
    CHECK(startNext(queue, start + milliseconds(100)) == 3U);
    CHECK_FALSE(startNext(queue, start + milliseconds(100)).has_value());
}

TEST_CASE("a request past its target does not count as a final attempt")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    REQUIRE(enqueue(queue, requestOf(1, start, 300, 1000, 100), start, generator).kind == enqueue_outcome::Run);
    CHECK(enqueue(queue, requestOf(2, start, -10, 250, 30), start, generator).reason == queue_refusal::WouldMissTarget);
}

TEST_CASE("requests run by the priority of their route, then by the earliest target")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    REQUIRE(enqueue(queue, requestOf(1, start, 300, 1000, 10), start, generator).kind == enqueue_outcome::Run);
    queued_request lessUrgent = requestOf(2, start, 200, 1000, 10);
    lessUrgent.priority = 2;
    enqueue(queue, lessUrgent, start, generator);
    enqueue(queue, requestOf(3, start, 290, 1000, 10), start, generator);
    enqueue(queue, requestOf(4, start, 250, 1000, 10), start, generator);
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; running != 0;) {
        finish(queue, running);
        const auto next = startNext(queue, start);
        running = next.value_or(0);
        if (next) {
            order.push_back(*next);
        }
    }
    CHECK(order == std::vector<std::uint64_t>{4, 3, 2});
}

TEST_CASE("Retry-After delays vary and stay within a third of the time left")
{
    random_generator generator(3);
    const queued_request request = requestOf(1, start, -10, 900, 100);
    std::vector<milliseconds> delays(200);
    std::ranges::generate(delays, [&] {
        return retryAfterDelay(request, 800, start, generator);
    });
    const auto [least, most] = std::ranges::minmax(delays);
    CHECK(most <= milliseconds(300));
    CHECK(most - least >= milliseconds(100));
}

TEST_CASE("a closed queue refuses with its reason and removes all queued requests")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    enqueue(queue, requestOf(1, start, 300, 1000, 10), start, generator);
    enqueue(queue, requestOf(2, start, 300, 1000, 10), start, generator);
    queue.closedReason = queue_refusal::Draining;
    CHECK(enqueue(queue, requestOf(3, start, 300, 1000, 10), start, generator).reason == queue_refusal::Draining);
    const auto refused = removeAllQueued(queue, queue_refusal::Draining);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().ticket == 2);
}

TEST_CASE("a slow worker does not take a request that can be retried at a typical one for a final attempt")
{
    random_generator generator(3);
    request_queue queue;
    queue.slots = 1;
    // The run of a slow worker: most others need 95 ms for the route, this one 220 ms.
    queued_request running = requestOf(1, start, 250, 1200, 220);
    running.typicalRunMs = 95;
    REQUIRE(enqueue(queue, running, start, generator).kind == enqueue_outcome::Run);
    queued_request retried = requestOf(2, start, 230, 900, 220);
    retried.typicalRunMs = 95;
    const enqueue_result refused = enqueue(queue, retried, start, generator);
    CHECK(refused.kind == enqueue_outcome::Refused);
    CHECK(refused.reason == queue_refusal::WouldMissTarget);
    // A call of a worker has too little time for a retry anywhere.
    queued_request call = requestOf(3, start, 100, 300, 40);
    call.typicalRunMs = 25;
    CHECK(enqueue(queue, call, start, generator).kind == enqueue_outcome::Wait);
}

// Guards against a worker that was slow for seconds and then refuses a route with a short timeout for good.
TEST_CASE("a probe of an outdated estimate runs on an idle worker, but does not wait on a busy one")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 2;
    queued_request request = requestOf(1, start, 300, 1000, 912);
    const enqueue_result refused = enqueue(queue, request, start, generator);
    CHECK(refused.kind == enqueue_outcome::Refused);
    CHECK(refused.reason == queue_refusal::NoTime);
    request.isProbe = true;
    CHECK(enqueue(queue, request, start, generator).kind == enqueue_outcome::Run);
    queue.slots = 1;
    request.ticket = 2;
    CHECK(enqueue(queue, request, start, generator).kind == enqueue_outcome::Refused);
}

// Guards against overload that spreads from one service to its callers: refused calls fail the requests that made them.
TEST_CASE("calls of workers run before requests of callers, whatever time they have left")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    REQUIRE(enqueue(queue, requestOf(1, start, 1200, 3000, 400), start, generator).kind == enqueue_outcome::Run);
    queued_request caller = requestOf(2, start, 1200, 1300, 400);
    caller.origin = request_origin::Caller;
    REQUIRE(enqueue(queue, caller, start, generator).kind == enqueue_outcome::Wait);
    queued_request call = requestOf(3, start, -10, 3000, 90); // its target has passed, its caller still waits
    call.origin = request_origin::Worker;
    REQUIRE(enqueue(queue, call, start, generator).kind == enqueue_outcome::Wait);
    finish(queue, 1);
    CHECK(startNext(queue, start + milliseconds(1)) == 3);
}

TEST_CASE("a request of a caller with little time left is refused like others if it would be late")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    REQUIRE(enqueue(queue, requestOf(1, start, 1200, 3000, 900), start, generator).kind == enqueue_outcome::Run);
    queued_request request = requestOf(2, start, 700, 1600, 400);
    request.origin = request_origin::Caller;
    CHECK(enqueue(queue, request, start, generator).reason == queue_refusal::WouldMissTarget);
    request.origin = request_origin::Unknown; // taken for a call: its caller could not retry
    CHECK(enqueue(queue, request, start, generator).kind == enqueue_outcome::Wait);
}

// Guards against routes with few requests that an overloaded worker never serves.
TEST_CASE("a request of an underserved flow is admitted although it would be late")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    REQUIRE(enqueue(queue, requestOf(1, start, 1200, 3000, 900), start, generator).kind == enqueue_outcome::Run);
    queued_request request = requestOf(2, start, 700, 5000, 400);
    request.origin = request_origin::Caller;
    CHECK(enqueue(queue, request, start, generator).reason == queue_refusal::WouldMissTarget);
    request.isUnderserved = true;
    CHECK(enqueue(queue, request, start, generator).kind == enqueue_outcome::Wait);
    CHECK(removeUnservable(queue, start + milliseconds(600), generator).empty());
}

// Guards against an underserved request that is admitted, but waits behind a lasting stream of others until its
// deadline.
TEST_CASE("a request of an underserved flow runs before others of its priority")
{
    random_generator generator(1);
    request_queue queue;
    queue.slots = 1;
    REQUIRE(enqueue(queue, requestOf(1, start, 1200, 3000, 90), start, generator).kind == enqueue_outcome::Run);
    REQUIRE(enqueue(queue, requestOf(2, start, 400, 3000, 90), start, generator).kind == enqueue_outcome::Wait);
    queued_request request = requestOf(3, start + milliseconds(1), 800, 900, 90);
    request.origin = request_origin::Caller;
    request.isUnderserved = true;
    REQUIRE(enqueue(queue, request, start + milliseconds(1), generator).kind == enqueue_outcome::Wait);
    finish(queue, 1);
    CHECK(startNext(queue, start + milliseconds(90)) == 3);
}
