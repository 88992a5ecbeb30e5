// Guards against two runs of a request with the same `Idempotency-Key`, and against the outcome `not-run` for a key
// that ran. Both can happen when nodes crash or pause, when appends to the log are lost or duplicated, or when a caller
// sends the same key through several nodes at once.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "request/once/once.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};
constexpr std::int64_t startMs = 1'000'000;

// One record of the simulated log.
struct log_record
{
    std::int64_t timeMs = 0;
    std::vector<claim_record> records;
};

struct open_request
{
    hash128 key;
    time_point arrivedAt;
};

struct node_model
{
    at_most_once_state state;
    std::map<hash128, open_request> requests; // requests without an outcome, by claim
    std::vector<hash128> ready; // claims that hold their key and have not started
    std::vector<hash128> running; // claims whose request runs
};

// Three nodes and one log. Each word is decoded into one step: the low bits choose the event, the others the node and
// the details.
class once_model
{
public:
    void step(std::uint32_t word)
    {
        m_now += milliseconds((word >> 4U) % 40U);
        const std::uint32_t choice = word >> 10U;
        node_model &node = m_nodes.at(choice % m_nodes.size());
        const std::uint32_t rest = choice / 4U;
        switch (word % 16U) {
        case 0:
        case 1:
        case 2:
            begin(node, rest);
            break;
        case 3:
        case 4:
        case 5:
            append(node, rest);
            break;
        case 6:
        case 7:
        case 8:
            read(node, rest);
            break;
        case 9:
        case 10:
            run(node, rest);
            break;
        case 11:
            abandon(node, rest);
            break;
        case 12:
            deliverLate(rest);
            break;
        case 13:
            if (rest % 2U == 0) {
                node = {}; // the VM crashed and was replaced
            } else {
                restartReplay(node.state, 1);
            }
            break;
        default:
            endRuns(node);
            break;
        }
    }

    std::size_t runs() const
    {
        return m_runs.size();
    }

private:
    void begin(node_model &node, std::uint32_t choice)
    {
        const hash128 key{0, choice % 3U};
        const hash128 claim{1, ++m_lastClaim};
        const time_point deadline = m_now + milliseconds(50 + choice / 4U % 4000U);
        const claim_decision result = beginClaim(node.state, key, claim, deadline, m_now);
        node.requests[claim] = {key, m_now};
        if (result.kind == claim_action::Respond) {
            checkOutcome(node, claim, result.outcome);
        }
    }

    void append(node_model &node, std::uint32_t choice)
    {
        const auto batch = beginAppend(node.state.queue, m_now);
        if (batch.empty()) {
            return;
        }
        const std::vector<claim_record> records(batch.begin(), batch.end());
        const bool isStored = choice % 4U != 0;
        const bool isAcknowledged = isStored && choice / 4U % 4U != 0;
        if (isStored) {
            store(records);
        } else if (choice / 4U % 2U == 0) {
            m_late.push_back(records);
        }
        endAppend(node.state.queue, isAcknowledged, m_now, m_generator);
    }

    void deliverLate(std::uint32_t choice)
    {
        if (!m_late.empty()) {
            store(m_late.at(choice % m_late.size()));
        }
    }

    void store(const std::vector<claim_record> &records)
    {
        m_log.push_back({startMs + millisBetween(start, m_now), records});
    }

    void read(node_model &node, std::uint32_t choice)
    {
        std::vector<claim_decision> decisions;
        std::size_t remaining = 1U + choice % 16U;
        std::int64_t offset = node.state.index.position;
        for (; offset <= static_cast<std::int64_t>(m_log.size()) && remaining > 0; ++offset, --remaining) {
            const log_record &record = m_log.at(static_cast<std::size_t>(offset - 1));
            RC_ASSERT(applyRecord(node.state, offset, record.timeMs, record.records, m_now, decisions));
        }
        if (offset > static_cast<std::int64_t>(m_log.size())) {
            recordCaughtUp(node.state, m_now);
        }
        for (const claim_decision &decision : decisions) {
            if (decision.kind == claim_action::Run) {
                node.ready.push_back(decision.claim);
            } else {
                checkOutcome(node, decision.claim, decision.outcome);
            }
        }
    }

    void run(node_model &node, std::uint32_t choice)
    {
        if (node.ready.empty()) {
            return;
        }
        const hash128 claim = node.ready.at(choice % node.ready.size());
        if (!startRun(node.state, claim, m_now)) {
            checkOutcome(node, claim, abandonRun(node.state, claim));
        } else if (choice / 8U % 4U == 0) {
            checkOutcome(node, claim, abandonUnsentRun(node.state, claim));
        } else {
            const hash128 key = node.requests.at(claim).key;
            RC_ASSERT(m_runs.count(key) == 0U);
            m_runs[key] = m_now;
            node.running.push_back(claim);
            node.requests.erase(claim);
        }
        std::erase(node.ready, claim);
    }

    void abandon(node_model &node, std::uint32_t choice)
    {
        if (!node.requests.empty()) {
            const hash128 claim = std::next(node.requests.begin(), choice % node.requests.size())->first;
            checkOutcome(node, claim, abandonRun(node.state, claim));
            std::erase(node.ready, claim);
        }
    }

    void endRuns(node_model &node)
    {
        for (const hash128 &claim : node.running) {
            endRun(node.state, claim);
        }
        node.running.clear();
    }

    // Checks an outcome against the runs of its key and closes the request.
    void checkOutcome(node_model &node, const hash128 &claim, key_outcome outcome)
    {
        const auto found = node.requests.find(claim);
        if (found == node.requests.end()) {
            return;
        }
        const auto ran = m_runs.find(found->second.key);
        if (outcome == key_outcome::NotRun) {
            RC_ASSERT((ran == m_runs.end() || ran->second >= found->second.arrivedAt));
        }
        if (outcome == key_outcome::Ran || outcome == key_outcome::Running) {
            RC_ASSERT((ran != m_runs.end()));
        }
        node.requests.erase(found);
    }

    std::array<node_model, 3> m_nodes;
    std::vector<log_record> m_log;
    std::vector<std::vector<claim_record>> m_late; // failed appends that may still take effect, any number of times
    std::map<hash128, time_point> m_runs; // start of the run, by key
    random_generator m_generator{1};
    std::uint64_t m_lastClaim = 0;
    time_point m_now = start;
};

// One node whose appends succeed and are read back at once.
struct single_node
{
    at_most_once_state state;
    std::int64_t offset = 0;

    std::vector<claim_decision> flush(time_point now)
    {
        const auto batch = beginAppend(state.queue, now);
        const std::vector<claim_record> records(batch.begin(), batch.end());
        random_generator generator(1);
        endAppend(state.queue, true, now, generator);
        std::vector<claim_decision> decisions;
        applyRecord(state, ++offset, startMs + millisBetween(start, now), records, now, decisions);
        recordCaughtUp(state, now);
        return decisions;
    }
};

const hash128 key = keyOf("orders", "k1");
const hash128 first{1, 1};
const hash128 second{1, 2};

} // namespace

TEST_CASE("a key runs at most once and not-run is never false, despite lost, late or duplicate appends and restarts")
{
    std::size_t runs = 0;
    CHECK(holds("a key runs at most once", 40000, [&](const std::vector<std::uint32_t> &words) {
        once_model model;
        for (const std::uint32_t word : words) {
            model.step(word);
        }
        runs += model.runs();
    }));
    CHECK(runs > 1000); // the property would also hold if nothing ran
}

TEST_CASE("a request runs once its claim is read back; a second request with the key does not")
{
    single_node node;
    REQUIRE(beginClaim(node.state, key, first, start + seconds(1), start).kind == claim_action::Wait);
    CHECK_FALSE(startRun(node.state, first, start));
    const auto decisions = node.flush(start);
    CHECK(decisions == std::vector<claim_decision>{{claim_action::Run, first, key_outcome::NotRun}});
    CHECK(startRun(node.state, first, start));
    CHECK_FALSE(startRun(node.state, first, start));
    CHECK(beginClaim(node.state, key, second, start + seconds(1), start).outcome == key_outcome::Running);
    endRun(node.state, first);
    CHECK(beginClaim(node.state, key, second, start + seconds(1), start).outcome == key_outcome::Ran);
}

TEST_CASE("abandoning a claim frees the key for the next request")
{
    single_node node;
    beginClaim(node.state, key, first, start + seconds(1), start);
    node.flush(start);
    CHECK(abandonRun(node.state, first) == key_outcome::NotRun);
    node.flush(start + seconds(1));
    REQUIRE(beginClaim(node.state, key, second, start + seconds(9), start + seconds(2)).kind == claim_action::Wait);
    CHECK(node.flush(start + seconds(2)).front().kind == claim_action::Run);
}

TEST_CASE("the outcome of a claim by a crashed node stays unknown, also to the node after its restart")
{
    single_node node;
    beginClaim(node.state, key, first, start + seconds(1), start);
    node.flush(start);
    single_node restarted;
    std::vector<claim_decision> decisions;
    const std::vector<claim_record> records = {{claim_kind::Claim, key, first}};
    applyRecord(restarted.state, 1, startMs, records, start, decisions);
    recordCaughtUp(restarted.state, start + seconds(5));
    CHECK(decisions.empty());
    CHECK(outcomeFor(restarted.state, key, start) == key_outcome::Unknown);
    CHECK(beginClaim(restarted.state, key, second, start + seconds(9), start).outcome == key_outcome::Unknown);
}

TEST_CASE("without access to the log no request runs and the outcome is unknown")
{
    at_most_once_state state;
    REQUIRE(beginClaim(state, key, first, start + seconds(1), start).kind == claim_action::Wait);
    beginAppend(state.queue, start);
    CHECK(abandonRun(state, first) == key_outcome::Unknown);
    CHECK_FALSE(startRun(state, first, start));
}

TEST_CASE("a node that was paused beyond the deadline does not run a request whose claim holds the key")
{
    single_node node;
    beginClaim(node.state, key, first, start + seconds(1), start);
    node.flush(start);
    CHECK_FALSE(startRun(node.state, first, start + seconds(60)));
    CHECK(abandonRun(node.state, first) == key_outcome::NotRun);
}

TEST_CASE("a gap in the log is detected, and keys expire after the retention time")
{
    claim_index index;
    const std::vector<claim_record> records = {{claim_kind::Claim, key, first}};
    REQUIRE(applyClaims(index, 1, startMs, records));
    CHECK_FALSE(applyClaims(index, 3, startMs, records));
    REQUIRE(applyClaims(index, 2, startMs + keyRetentionMs - 1, {}));
    CHECK(findClaim(index, key) != nullptr);
    REQUIRE(applyClaims(index, 3, startMs + keyRetentionMs, {}));
    CHECK(findClaim(index, key) == nullptr);
    CHECK(index.keysByTime.empty());
}

TEST_CASE("a late duplicate of a release does not free the key from a later claim")
{
    claim_index index;
    const std::vector<claim_record> records = {{claim_kind::Claim, key, first},
                                               {claim_kind::Release, key, first},
                                               {claim_kind::Claim, key, second},
                                               {claim_kind::Release, key, first},
                                               {claim_kind::Claim, key, first}};
    REQUIRE(applyClaims(index, 1, startMs, records));
    REQUIRE(findClaim(index, key) != nullptr);
    CHECK(findClaim(index, key)->claim == second);
}

TEST_CASE("a node has one append in progress, and sends a failed batch again first")
{
    claim_queue queue;
    random_generator generator(1);
    enqueueClaim(queue, {claim_kind::Claim, key, first});
    CHECK(beginAppend(queue, start).size() == 1);
    enqueueClaim(queue, {claim_kind::Claim, key, second});
    CHECK(beginAppend(queue, start + seconds(1)).empty()); // one append at a time
    endAppend(queue, false, start + seconds(1), generator);
    CHECK(beginAppend(queue, start + seconds(4)).front().claim == first);
    CHECK_FALSE(withdrawClaim(queue, first));
    CHECK(withdrawClaim(queue, second));
    endAppend(queue, true, start + seconds(4), generator);
    CHECK(beginAppend(queue, start + seconds(5)).empty());
}
