// Guards against requests that wait in vain, late ones that make the next ones late, and calls that fail their callers.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "request/waiting/waiting.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero

queued_request requestOf(std::uint64_t ticket, time_point now, int targetMs, int leftMs, double runMs)
{
    queued_request request;
    request.ticket = ticket;
    request.priority = 1;
    request.arrivedAt = now;
    request.targetAt = now + milliseconds(targetMs);
    request.requestDeadline = now + milliseconds(leftMs);
    request.expectedRunMs = runMs;
    return request;
}

// Replays a swing of demand on one worker and counts the requests that end within their target.
struct swing_result
{
    unsigned onTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    duration longestWaitOfRefused{0};
};

constexpr double swingRunMs = 100;
constexpr int swingTargetMs = 300;
constexpr int swingLeftMs = 2000;

// `refusesLate` off is the simpler rule: whatever can end before its time is up waits, first come first served.
swing_result replaySwing(double overload, bool refusesLate)
{
    random_generator generator(7);
    request_queue line;
    line.slots = 6;
    swing_result result;
    std::map<std::uint64_t, queued_request> open;
    std::map<std::uint64_t, time_point> ends;
    std::uint64_t ticket = 0;
    const double perMs = overload * line.slots / swingRunMs;
    double due = 0;
    for (int ms = 0; ms < 8000; ++ms) {
        const time_point now = start + milliseconds(ms);
        for (auto end = ends.begin(); end != ends.end();) {
            if (end->second > now) {
                ++end;
                continue;
            }
            const bool isOnTime = now <= open.at(end->first).arrivedAt + milliseconds(swingTargetMs);
            ++(isOnTime ? result.onTime : result.late);
            finish(line, end->first);
            end = ends.erase(end);
        }
        for (const refused_request &refused : removeUnservable(line, now, generator)) {
            ++result.refused;
            result.longestWaitOfRefused =
                std::max(result.longestWaitOfRefused, now - open.at(refused.ticket).arrivedAt);
        }
        for (due += perMs; due >= 1; due -= 1) {
            queued_request request = requestOf(++ticket, now, swingTargetMs, swingLeftMs, swingRunMs);
            if (!refusesLate) {
                request.targetAt = request.requestDeadline;
            }
            open[ticket] = request;
            const enqueue_result verdict = enqueue(line, request, now, generator);
            if (verdict.kind == enqueue_outcome::Refused) {
                ++result.refused;
            } else if (verdict.kind == enqueue_outcome::Run) {
                ends[ticket] = now + milliseconds(100);
            }
        }
        for (auto started = startNext(line, now); started; started = startNext(line, now)) {
            ends[*started] = now + milliseconds(100);
        }
    }
    return result;
}

} // namespace

TEST_CASE("a swing above what the worker can do keeps most responses on time")
{
    const swing_result chosen = replaySwing(1.5, true);
    const swing_result simple = replaySwing(1.5, false);
    const unsigned possible = 8000 / 100 * 6;
    CHECK(chosen.onTime >= possible * 9 / 10);
    CHECK(simple.onTime < possible / 2);
    CHECK(chosen.late <= possible / 20);
}

TEST_CASE("a request that is refused in a swing has not waited for long")
{
    const swing_result chosen = replaySwing(1.5, true);
    CHECK(chosen.refused > 0);
    CHECK(chosen.longestWaitOfRefused <= milliseconds(swingTargetMs));
}

TEST_CASE("below what the worker can do nothing is refused")
{
    CHECK(replaySwing(0.9, true).refused == 0);
}

TEST_CASE("a request that cannot end in time is refused on arrival")
{
    random_generator generator(1);
    request_queue line;
    line.slots = 1;
    CHECK(enqueue(line, requestOf(1, start, 300, 400, 500), start, generator).kind == enqueue_outcome::Refused);
    REQUIRE(enqueue(line, requestOf(2, start, 900, 1000, 500), start, generator).kind == enqueue_outcome::Run);
    const enqueue_result late = enqueue(line, requestOf(3, start, 900, 900, 500), start, generator);
    CHECK(late.kind == enqueue_outcome::Refused);
    CHECK(late.reason == queue_refusal::NoTime);
    CHECK(late.retryAfter <= milliseconds(300));
}

TEST_CASE("a late request is taken while hardly anything waits")
{
    random_generator generator(1);
    request_queue line;
    line.slots = 1;
    const queued_request late = requestOf(1, start, -100, 1000, 100);
    CHECK(enqueue(line, late, start, generator).kind == enqueue_outcome::Run);
    CHECK(enqueue(line, requestOf(2, start, -100, 1000, 100), start, generator).reason == queue_refusal::Crowded);
}

TEST_CASE("a call of a worker goes first and is refused only when it cannot end in time")
{
    random_generator generator(1);
    request_queue line;
    line.slots = 1;
    REQUIRE(enqueue(line, requestOf(1, start, 300, 1000, 100), start, generator).kind == enqueue_outcome::Run);
    REQUIRE(enqueue(line, requestOf(2, start, 300, 1000, 100), start, generator).kind == enqueue_outcome::Wait);
    REQUIRE(enqueue(line, requestOf(3, start, 50, 250, 30), start, generator).kind == enqueue_outcome::Wait);
    CHECK(removeUnservable(line, start + milliseconds(60), generator).empty());
    finish(line, 1);
    CHECK(startNext(line, start + milliseconds(100)) == 3U);
    CHECK_FALSE(startNext(line, start + milliseconds(100)).has_value());
}

TEST_CASE("a caller that has passed its target gets no last chance")
{
    random_generator generator(1);
    request_queue line;
    line.slots = 1;
    REQUIRE(enqueue(line, requestOf(1, start, 300, 1000, 100), start, generator).kind == enqueue_outcome::Run);
    CHECK(enqueue(line, requestOf(2, start, -10, 250, 30), start, generator).reason == queue_refusal::Crowded);
}

TEST_CASE("the more urgent route goes first, and the earliest target within it")
{
    random_generator generator(1);
    request_queue line;
    line.slots = 1;
    REQUIRE(enqueue(line, requestOf(1, start, 300, 1000, 10), start, generator).kind == enqueue_outcome::Run);
    queued_request lessUrgent = requestOf(2, start, 200, 1000, 10);
    lessUrgent.priority = 2;
    enqueue(line, lessUrgent, start, generator);
    enqueue(line, requestOf(3, start, 290, 1000, 10), start, generator);
    enqueue(line, requestOf(4, start, 250, 1000, 10), start, generator);
    std::vector<std::uint64_t> order;
    for (std::uint64_t running = 1; running != 0;) {
        finish(line, running);
        const auto next = startNext(line, start);
        running = next.value_or(0);
        if (next) {
            order.push_back(*next);
        }
    }
    CHECK(order == std::vector<std::uint64_t>{4, 3, 2});
}

TEST_CASE("returns of refused callers are spread and within a third of their time")
{
    random_generator generator(3);
    const queued_request request = requestOf(1, start, -10, 900, 100);
    std::vector<milliseconds> delays(200);
    std::ranges::generate(delays, [&] {
        return returnDelay(request, 800, start, generator);
    });
    const auto [least, most] = std::ranges::minmax(delays);
    CHECK(most <= milliseconds(300));
    CHECK(most - least >= milliseconds(100));
}

TEST_CASE("a closed line refuses with its reason and gives back what waits")
{
    random_generator generator(1);
    request_queue line;
    line.slots = 1;
    enqueue(line, requestOf(1, start, 300, 1000, 10), start, generator);
    enqueue(line, requestOf(2, start, 300, 1000, 10), start, generator);
    line.closedReason = queue_refusal::Draining;
    CHECK(enqueue(line, requestOf(3, start, 300, 1000, 10), start, generator).reason == queue_refusal::Draining);
    const auto refused = removeAllQueued(line, queue_refusal::Draining);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().ticket == 2);
}
