// Guards against a request that crashes one worker after another because each node sees it for the first time, and
// against the refusal of harmless requests that were in flight at the same crashes.
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "base/random.h"
#include "request/quarantine/quarantine.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

constexpr std::int64_t startMs = 1'000'000;

fingerprint requestOf(std::uint64_t number)
{
    return {0, number};
}

// Three nodes with one worker each. Requests are numbers; those below `crashingRequests` crash the worker that runs
// them. A step delivers one report from one node to another, so that the nodes' states differ.
class crash_model
{
public:
    crash_model(std::size_t crashingRequests, std::uint64_t seed, std::uint32_t isolateFrom = 1)
        : m_crashingRequests(crashingRequests)
        , m_generator(seed)
    {
        for (node_model &node : m_nodes) {
            node.state.rules.isolateFrom = isolateFrom;
        }
    }

    void step(std::uint32_t word)
    {
        m_nowMs += (word >> 3U) % 50U;
        const std::uint32_t choice = word >> 9U;
        const std::size_t node = choice % m_nodes.size();
        switch (word % 8U) {
        case 0:
        case 1:
        case 2:
            run(m_nodes.at(node), requestOf(choice / 4U % 8U));
            break;
        case 3:
        case 4:
            crash(m_nodes.at(node));
            break;
        case 5:
            complete(m_nodes.at(node), choice / 4U);
            break;
        default:
            deliver(choice / 4U % m_nodes.size(), node, choice / 16U);
            break;
        }
        for (const node_model &each : m_nodes) {
            checkHarmless(each);
        }
    }

private:
    struct node_model
    {
        quarantine_state state;
        std::vector<fingerprint> running;
    };

    bool crashesWorker(const fingerprint &request) const
    {
        return request.low < m_crashingRequests;
    }

    void run(node_model &node, const fingerprint &request)
    {
        if (mayRun(node.state, node.running, request, m_nowMs) == run_decision::Run) {
            node.running.push_back(request);
        }
    }

    void crash(node_model &node)
    {
        if (std::ranges::any_of(node.running, [&](const fingerprint &each) {
                return crashesWorker(each);
            })) {
            reportCrash(node.state, randomId(m_generator), node.running, m_nowMs);
            node.running.clear();
        }
    }

    void complete(node_model &node, std::uint32_t choice)
    {
        if (node.running.empty() || crashesWorker(node.running.at(choice % node.running.size()))) {
            return;
        }
        const auto chosen = node.running.begin() + static_cast<std::ptrdiff_t>(choice % node.running.size());
        recordCompleted(node.state, *chosen, m_nowMs);
        node.running.erase(chosen);
    }

    void deliver(std::size_t from, std::size_t to, std::uint32_t choice)
    {
        const auto &reports = m_nodes.at(from).state.reports;
        if (!reports.empty()) {
            const crash_report report = std::next(reports.begin(), choice % reports.size())->second;
            mergeReports(m_nodes.at(to).state, std::span(&report, 1), m_nowMs);
        }
    }

    void checkHarmless(const node_model &node) const
    {
        for (std::uint64_t number = m_crashingRequests; number < 8; ++number) {
            RC_ASSERT(suspicionOf(node.state, requestOf(number), m_nowMs) != suspicion::Quarantined);
        }
    }

    std::size_t m_crashingRequests;
    random_generator m_generator;
    std::array<node_model, 3> m_nodes;
    std::int64_t m_nowMs = startMs;
};

crash_report randomReport(std::uint32_t word)
{
    crash_report report{{0, word % 5U}, startMs + word % 5U, {}, (word & 64U) != 0, requestOf(word / 128U % 6U)};
    for (std::uint64_t number = 0; number < 6; ++number) {
        if ((word >> (10U + number) & 1U) != 0) {
            report.suspects.push_back({requestOf(number), (word >> (16U + number) & 1U) != 0});
        }
    }
    report.isolated = report.hasIsolated ? report.isolated : fingerprint{};
    return report;
}

quarantine_state mergedState(const std::vector<crash_report> &reports)
{
    quarantine_state state;
    for (const crash_report &report : reports) {
        mergeReports(state, std::span(&report, 1), startMs);
    }
    return state;
}

suspicion suspicionIn(const quarantine_state &state, std::uint64_t number, std::int64_t nowMs = startMs)
{
    return suspicionOf(state, requestOf(number), nowMs);
}

} // namespace

TEST_CASE("if one request causes all crashes, no harmless request is quarantined, in whatever order reports arrive")
{
    CHECK(holds("one crashing request", 5000, [](std::uint64_t seed, const std::vector<std::uint32_t> &words) {
        crash_model model(1, seed, 1 + static_cast<std::uint32_t>(seed % 2));
        for (const std::uint32_t word : words) {
            model.step(word);
        }
    }));
}

TEST_CASE("merging gives the same state for any order and number of deliveries")
{
    CHECK(holds("merge order", 3000, [](const std::vector<std::uint32_t> &words) {
        std::vector<crash_report> reports;
        std::ranges::transform(words, std::back_inserter(reports), randomReport);
        const quarantine_state forward = mergedState(reports);
        std::ranges::reverse(reports);
        const std::vector<crash_report> once = reports;
        reports.insert(reports.end(), once.begin(), once.end());
        const quarantine_state backward = mergedState(reports);
        RC_ASSERT(forward.reports == backward.reports);
        for (std::uint64_t number = 0; number < 6; ++number) {
            RC_ASSERT(suspicionIn(forward, number) == suspicionIn(backward, number));
        }
    }));
}

TEST_CASE("a request that is sent again at once through other nodes crashes two workers, not three")
{
    std::array<quarantine_state, 3> nodes;
    const std::vector<fingerprint> first = {requestOf(0), requestOf(1), requestOf(2)};
    const crash_report one = reportCrash(nodes[0], {0, 1}, first, startMs);
    mergeReports(nodes[1], std::span(&one, 1), startMs);
    mergeReports(nodes[2], std::span(&one, 1), startMs);
    const std::vector<fingerprint> fresh = {requestOf(5), requestOf(6)};
    REQUIRE(mayRun(nodes[1], fresh, requestOf(0), startMs + 5) == run_decision::Run);
    const std::vector<fingerprint> second = {requestOf(5), requestOf(6), requestOf(0)};
    CHECK(mayRun(nodes[1], second, requestOf(1), startMs + 5) == run_decision::RunElsewhere);
    const crash_report two = reportCrash(nodes[1], {0, 2}, second, startMs + 10);
    mergeReports(nodes[2], std::span(&two, 1), startMs + 10);
    CHECK(mayRun(nodes[2], {}, requestOf(0), startMs + 15) == run_decision::Refuse);
    for (const std::uint64_t harmless : {1, 2, 5, 6}) {
        CHECK(mayRun(nodes[2], {}, requestOf(harmless), startMs + 15) == run_decision::Run);
    }
    CHECK(mayRun(nodes[2], {}, requestOf(0), startMs + 10 + quarantineMs) == run_decision::Run);
}

// Load pattern: a worker crashes with all slots in use, and the requests that may be repeated go to few other workers.
TEST_CASE("the requests of one crash run side by side, and the cause is identified by the third crash at the latest")
{
    quarantine_state node;
    node.rules.isolateFrom = 2;
    const std::vector<fingerprint> first = {requestOf(0), requestOf(1), requestOf(2)};
    reportCrash(node, {0, 1}, first, startMs);
    const std::vector<fingerprint> beside = {requestOf(1), requestOf(2)};
    CHECK(mayRun(node, beside, requestOf(0), startMs + 5) == run_decision::Run);
    reportCrash(node, {0, 2}, first, startMs + 10);
    REQUIRE(suspicionIn(node, 0, startMs + 10) == suspicion::Suspect);
    CHECK(mayRun(node, beside, requestOf(0), startMs + 15) == run_decision::RunElsewhere);
    const std::vector<fingerprint> alone = {requestOf(0)};
    CHECK(mayRun(node, {}, requestOf(0), startMs + 15) == run_decision::Run);
    CHECK(mayRun(node, alone, requestOf(1), startMs + 15) == run_decision::RunElsewhere);
    CHECK(mayRun(node, alone, requestOf(5), startMs + 15) == run_decision::Run);
    reportCrash(node, {0, 3}, alone, startMs + 20);
    CHECK(mayRun(node, {}, requestOf(0), startMs + 25) == run_decision::Refuse);
    CHECK(quarantinedFor(node, requestOf(0), startMs + 25) == quarantineMs - 5);
    CHECK(mayRun(node, {}, requestOf(1), startMs + 25) == run_decision::Run);
}

TEST_CASE("after its quarantine a request runs once more: a response clears it, and one crash returns it there")
{
    quarantine_state node;
    node.rules = {2, 6 * quarantineMs};
    const std::vector<fingerprint> cause = {requestOf(0)};
    reportCrash(node, {0, 1}, cause, startMs);
    reportCrash(node, {0, 2}, cause, startMs + 5);
    reportCrash(node, {0, 3}, cause, startMs + 10);
    REQUIRE(suspicionIn(node, 0, startMs + 20) == suspicion::Quarantined);
    const std::int64_t afterMs = startMs + 10 + quarantineMs;
    REQUIRE(mayRun(node, {}, requestOf(0), afterMs) == run_decision::Run);
    SECTION("it still crashes its worker")
    {
        reportCrash(node, {0, 4}, cause, afterMs);
        CHECK(mayRun(node, {}, requestOf(0), afterMs + 1) == run_decision::Refuse);
    }
    SECTION("its fault was mended")
    {
        recordCompleted(node, requestOf(0), afterMs);
        CHECK(suspicionIn(node, 0, afterMs + 1) == suspicion::None);
    }
}

TEST_CASE("nodes with the same reports have the same digest, whatever their clocks")
{
    quarantine_state left;
    quarantine_state right;
    CHECK(left.digest == 0);
    const std::vector<fingerprint> running = {requestOf(0), requestOf(1)};
    crash_report report = reportCrash(left, {0, 1}, running, startMs);
    report.crashedAtMs += 77'000;
    mergeReports(right, std::span(&report, 1), startMs + 77'000);
    CHECK(left.digest == right.digest);
    recordCompleted(left, requestOf(1), startMs + 1);
    CHECK(left.digest != right.digest);
}

TEST_CASE("a harmless request that was in flight at a crash is cleared by its first response")
{
    quarantine_state node;
    const std::vector<fingerprint> running = {requestOf(0), requestOf(7)};
    reportCrash(node, {0, 1}, running, startMs);
    CHECK(suspicionIn(node, 7) == suspicion::Suspect);
    CHECK(recordCompleted(node, requestOf(7), startMs + 1).size() == 1);
    CHECK(suspicionIn(node, 7) == suspicion::None);
    CHECK(suspicionIn(node, 0) == suspicion::Suspect);
}

TEST_CASE("a harmless request quarantined because of a second cause is released by the next crash of that cause")
{
    quarantine_state node;
    const std::vector<fingerprint> first = {requestOf(0), requestOf(7)};
    const std::vector<fingerprint> second = {requestOf(1), requestOf(7)};
    const std::vector<fingerprint> third = {requestOf(1)};
    reportCrash(node, {0, 1}, first, startMs);
    reportCrash(node, {0, 2}, second, startMs + 2000);
    REQUIRE(suspicionIn(node, 7, startMs + 2000) == suspicion::Quarantined);
    reportCrash(node, {0, 3}, third, startMs + 4000);
    CHECK(suspicionIn(node, 1, startMs + 4000) == suspicion::Quarantined);
    CHECK(suspicionIn(node, 7, startMs + 4000) == suspicion::Suspect);
}

TEST_CASE("a single known crash quarantines no request, even if its report has an isolated suspect")
{
    const crash_report second{{0, 2}, startMs + 10, {{requestOf(0), false}}, true, requestOf(0)};
    const crash_report first{{0, 1}, startMs, {{requestOf(0), false}, {requestOf(1), false}}, false, {}};
    CHECK(suspicionIn(mergedState({second}), 0) == suspicion::Suspect);
    CHECK(suspicionIn(mergedState({second, first}), 0) == suspicion::Quarantined);
}

TEST_CASE("the number of stored reports is bounded, and all expire after the quarantine time")
{
    quarantine_state node;
    random_generator generator(1);
    for (std::uint64_t each = 0; each < 1000; ++each) {
        const std::vector<fingerprint> running = {requestOf(each)};
        reportCrash(node, randomId(generator), running, startMs + static_cast<std::int64_t>(each));
    }
    CHECK(node.reports.size() == maxReports);
    mergeReports(node, {}, startMs + 1000 + quarantineMs);
    CHECK(node.reports.empty());
    CHECK(node.statuses.empty());
}

TEST_CASE("fingerprints depend on method, path, key and the start of the body only")
{
    const std::string body(fingerprintBodyBytes, 'x');
    const auto base = fingerprintOf("POST", "/orders", "k1", body);
    CHECK(fingerprintOf("POST", "/orders", "k1", body + "tail") == base);
    CHECK(fingerprintOf("PUT", "/orders", "k1", body) != base);
    CHECK(fingerprintOf("POST", "/order", "sk1", body) != base);
    CHECK(fingerprintOf("POST", "/orders", "k2", body) != base);
}

TEST_CASE("a response is held back until all other nodes acknowledge the report, for at most maxHoldBack")
{
    const time_point now{seconds(1000)};
    const std::vector<std::string_view> peers = {"a", "b"};
    hold_back hold = beginHoldBack(peers, now);
    acknowledgeReport(hold, "a");
    CHECK_FALSE(mayRespond(hold, now));
    CHECK(mayRespond(hold, now + maxHoldBack));
    acknowledgeReport(hold, "b");
    CHECK(mayRespond(hold, now));
}
