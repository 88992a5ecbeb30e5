// Guards against a request that crashes one worker after the other, and against the refusal of innocent requests that
// happened to run beside it.
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

// Nodes with one worker each. Requests are numbers; those below `killers` crash the worker that runs them. Reports
// travel when the sequence says so, so that views differ.
class crash_model
{
public:
    crash_model(std::size_t killers, std::uint64_t seed)
        : m_killers(killers)
        , m_generator(seed)
    {
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
            checkInnocent(each);
        }
    }

private:
    struct node_model
    {
        quarantine_state state;
        std::vector<fingerprint> running;
    };

    bool isKiller(const fingerprint &request) const
    {
        return request.low < m_killers;
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
                return isKiller(each);
            })) {
            reportCrash(node.state, randomId(m_generator), node.running, m_nowMs);
            node.running.clear();
        }
    }

    void complete(node_model &node, std::uint32_t choice)
    {
        if (node.running.empty() || isKiller(node.running.at(choice % node.running.size()))) {
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

    void checkInnocent(const node_model &node) const
    {
        for (std::uint64_t number = m_killers; number < 8; ++number) {
            RC_ASSERT(suspicionOf(node.state, requestOf(number), m_nowMs) != suspicion::Quarantined);
        }
    }

    std::size_t m_killers;
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

quarantine_state merged(const std::vector<crash_report> &reports)
{
    quarantine_state state;
    for (const crash_report &report : reports) {
        mergeReports(state, std::span(&report, 1), startMs);
    }
    return state;
}

suspicion standingIn(const quarantine_state &state, std::uint64_t number, std::int64_t nowMs = startMs)
{
    return suspicionOf(state, requestOf(number), nowMs);
}

} // namespace

TEST_CASE("with one cause of all crashes no innocent request is quarantined, in whatever order reports arrive")
{
    CHECK(holds("one cause", 5000, [](std::uint64_t seed, const std::vector<std::uint32_t> &words) {
        crash_model model(1, seed);
        for (const std::uint32_t word : words) {
            model.step(word);
        }
    }));
}

TEST_CASE("reports merge to the same state in any order and any number")
{
    CHECK(holds("merge", 3000, [](const std::vector<std::uint32_t> &words) {
        std::vector<crash_report> reports;
        std::ranges::transform(words, std::back_inserter(reports), randomReport);
        const quarantine_state forward = merged(reports);
        std::ranges::reverse(reports);
        const std::vector<crash_report> once = reports;
        reports.insert(reports.end(), once.begin(), once.end());
        const quarantine_state backward = merged(reports);
        RC_ASSERT(forward.reports == backward.reports);
        for (std::uint64_t number = 0; number < 6; ++number) {
            RC_ASSERT(standingIn(forward, number) == standingIn(backward, number));
        }
    }));
}

TEST_CASE("a request that is sent again at once through another node crashes two workers, not three")
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
    for (const std::uint64_t innocent : {1, 2, 5, 6}) {
        CHECK(mayRun(nodes[2], {}, requestOf(innocent), startMs + 15) == run_decision::Run);
    }
    CHECK(mayRun(nodes[2], {}, requestOf(0), startMs + 10 + quarantineMs) == run_decision::Run);
}

TEST_CASE("a popular request that is in flight at many crashes is cleared by its first response")
{
    quarantine_state node;
    const std::vector<fingerprint> running = {requestOf(0), requestOf(7)};
    reportCrash(node, {0, 1}, running, startMs);
    CHECK(standingIn(node, 7) == suspicion::Suspect);
    CHECK(recordCompleted(node, requestOf(7), startMs + 1).size() == 1);
    CHECK(standingIn(node, 7) == suspicion::None);
    CHECK(standingIn(node, 0) == suspicion::Suspect);
}

TEST_CASE("an innocent request named because of a second cause is lifted by the next crash of that cause")
{
    quarantine_state node;
    const std::vector<fingerprint> first = {requestOf(0), requestOf(7)};
    const std::vector<fingerprint> second = {requestOf(1), requestOf(7)};
    const std::vector<fingerprint> third = {requestOf(1)};
    reportCrash(node, {0, 1}, first, startMs);
    reportCrash(node, {0, 2}, second, startMs + 2000);
    REQUIRE(standingIn(node, 7, startMs + 2000) == suspicion::Quarantined);
    reportCrash(node, {0, 3}, third, startMs + 4000);
    CHECK(standingIn(node, 1, startMs + 4000) == suspicion::Quarantined);
    CHECK(standingIn(node, 7, startMs + 4000) == suspicion::Suspect);
}

TEST_CASE("one known crash quarantines nobody, even if its report says that a suspect was isolated")
{
    const crash_report second{{0, 2}, startMs + 10, {{requestOf(0), false}}, true, requestOf(0)};
    const crash_report first{{0, 1}, startMs, {{requestOf(0), false}, {requestOf(1), false}}, false, {}};
    CHECK(standingIn(merged({second}), 0) == suspicion::Suspect);
    CHECK(standingIn(merged({second, first}), 0) == suspicion::Quarantined);
}

TEST_CASE("the state stays bounded under many crashes")
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
    CHECK(node.standings.empty());
}

TEST_CASE("fingerprints differ by each part and ignore the body beyond its start")
{
    const std::string body(fingerprintBodyBytes, 'x');
    const auto base = fingerprintOf("POST", "/orders", "k1", body);
    CHECK(fingerprintOf("POST", "/orders", "k1", body + "tail") == base);
    CHECK(fingerprintOf("PUT", "/orders", "k1", body) != base);
    CHECK(fingerprintOf("POST", "/order", "sk1", body) != base);
    CHECK(fingerprintOf("POST", "/orders", "k2", body) != base);
}

TEST_CASE("a failure is held back until the other nodes know, at most for the stated time")
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
