// Guards against keys that are accepted after the limit, against proofs that grow old while the store is in reach, and
// against a storm of reads while it is not.
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <vector>

#include "base/random.h"
#include "process/freshness/freshness.h"
#include "process/store_reading/store_reading.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds limit{5000};
const boot_time start{std::chrono::hours(5)};

freshness_state provenState(boot_time at)
{
    freshness_state state{.limit = limit, .startedAt = start};
    recordStoreProof(state, at);
    return state;
}

// Nodes that read a store and ask each other, in any order and with any delay between the parts of a step. Some
// versions cannot be decoded. A version takes away a key of the one before.
class mesh_history
{
public:
    explicit mesh_history(bool trustsNews)
        : m_trustsNews(trustsNews)
    {
        std::ranges::for_each(m_nodes, [](node &each) {
            each.freshness = {.limit = limit, .startedAt = start};
        });
    }

    void step(std::uint32_t word)
    {
        // Mostly short delays, and now and then a freeze or a cut.
        const bool isLongPause = (word >> 8U) % 16 == 0;
        m_now += milliseconds((word >> 12U) % (isLongPause ? 4000 : 200));
        node &self = m_nodes.at((word >> 4U) % m_nodes.size());
        node &other = m_nodes.at((word >> 6U) % m_nodes.size());
        // The store turns the first node away most of the time, so that it depends on the others.
        const bool isRefused = &self == &m_nodes.front() && (word >> 24U) % 16 > 0;
        switch (word % 16) {
        case 0:
            m_versions.push_back({m_now, (word >> 20U) % 4 > 0});
            break;
        case 1: // sends a read
        case 2:
            if (!isRefused) {
                self.reads.push_back({m_now, 0});
            }
            break;
        case 3: // the store executes the newest read
        case 4:
            if (!self.reads.empty()) {
                self.reads.back().version = m_versions.size();
            }
            break;
        case 5: // the node receives the oldest answer
        case 6:
            receiveRead(self);
            break;
        case 7: // asks and is answered later
        case 8:
        case 9:
            recordQuery(self.freshness, ++m_lastQuery, m_now);
            self.asked.push_back({m_lastQuery, &other});
            break;
        case 10: // the asked node answers
        case 11:
        case 12:
            if (!self.asked.empty()) {
                const auto &[id, peer] = self.asked.front();
                self.answers.push_back(answerQuery(peer->freshness, id, peer->applied, m_now));
                self.asked.erase(self.asked.begin());
            }
            break;
        case 13:
        case 14:
            if (!self.answers.empty()) {
                recordAnswer(self.freshness, self.answers.front(), self.applied, m_now);
                self.answers.erase(self.answers.begin());
            }
            break;
        default:
            receiveNews(self, other);
        }
    }

    // Whether a node accepts keys longer than the limit after a version that it does not apply was acknowledged.
    bool hasAcceptedLate() const
    {
        return std::ranges::any_of(m_nodes, [this](const node &each) {
            const bool accepts = each.applied > 0 && isProven(each.freshness, m_now);
            return accepts && each.applied < m_versions.size()
                && m_now - m_versions.at(each.applied).acknowledgedAt >= limit;
        });
    }

private:
    struct version
    {
        boot_time acknowledgedAt;
        bool isReadable = true;
    };
    struct store_read
    {
        boot_time sentAt;
        std::size_t version = 0; // 0: not executed yet
    };
    struct node
    {
        freshness_state freshness;
        std::size_t applied = 0; // version; 0: none
        std::vector<store_read> reads;
        std::vector<std::pair<std::uint64_t, const node *>> asked;
        std::vector<peer_proof> answers;
        std::size_t news = 0; // version of which the node hears later
    };

    void receiveRead(node &self)
    {
        if (self.reads.empty() || self.reads.front().version == 0) {
            return;
        }
        const store_read read = self.reads.front();
        self.reads.erase(self.reads.begin());
        if (m_versions.at(read.version - 1).isReadable) {
            self.applied = std::max(self.applied, read.version);
            recordStoreProof(self.freshness, read.sentAt);
        }
    }

    // Receives what `other` said some time ago, and notes what it says now.
    void receiveNews(node &self, const node &other)
    {
        self.applied = std::max(self.applied, self.news);
        if (m_trustsNews && self.news > 0) {
            recordStoreProof(self.freshness, m_now);
        }
        self.news = other.applied;
    }

    bool m_trustsNews;
    boot_time m_now = start;
    std::uint64_t m_lastQuery = 0;
    std::vector<version> m_versions = {{start, true}};
    std::array<node, 3> m_nodes;
};

bool acceptsLate(const std::vector<std::uint32_t> &words, bool trustsNews)
{
    mesh_history history(trustsNews);
    return std::ranges::any_of(words, [&](std::uint32_t word) {
        history.step(word);
        return history.hasAcceptedLate();
    });
}

} // namespace

TEST_CASE("no node accepts a key later than the limit after it was taken away, whatever is delayed")
{
    CHECK(holds("no late accept", 20000, [](const std::vector<std::uint32_t> &words) {
        RC_ASSERT(!acceptsLate(words, false));
    }));
}

TEST_CASE("the history finds the fault of a node that takes unasked news for a proof")
{
    random_generator generator(1);
    bool isFound = false;
    for (int history = 0; history < 3000 && !isFound; ++history) {
        std::vector<std::uint32_t> words(200);
        std::ranges::generate(words, [&] {
            return static_cast<std::uint32_t>(generator());
        });
        CHECK_FALSE(acceptsLate(words, false));
        isFound = acceptsLate(words, true);
    }
    CHECK(isFound);
}

TEST_CASE("a proof counts from the time at which the read was sent or the node was asked")
{
    freshness_state state = provenState(start);
    CHECK(isProven(state, start + limit / 2));
    CHECK_FALSE(isProven(state, start + limit));
    recordQuery(state, 7, start + limit);
    // The answer is delayed, as by a freeze of this process; the proof is as old as if it had come at once.
    const boot_time late = start + 2 * limit;
    CHECK(recordAnswer(state, {7, 3, milliseconds(100)}, 3, late));
    CHECK(state.provenAt == start + limit - milliseconds(100));
    CHECK_FALSE(isProven(state, late));
    CHECK_FALSE(recordAnswer(state, {7, 3, milliseconds(0)}, 3, late)); // the query has been answered
}

TEST_CASE("answers with a newer version, without a proof or with an odd age prove nothing")
{
    const peer_proof odd = GENERATE(peer_proof{7, 4, milliseconds(0)},
                                    peer_proof{7, 3, std::nullopt},
                                    peer_proof{7, 0, milliseconds(0)},
                                    peer_proof{7, 3, milliseconds(-1)},
                                    peer_proof{7, 3, milliseconds::min()},
                                    peer_proof{7, 3, milliseconds::max()},
                                    peer_proof{8, 3, milliseconds(0)});
    freshness_state state{.limit = limit, .startedAt = start};
    recordQuery(state, 7, start);
    CHECK_FALSE(recordAnswer(state, odd, 3, start));
    CHECK_FALSE(isProven(state, start));
}

TEST_CASE("without a limit no proof is needed, and nothing is asked or read for one")
{
    const freshness_state state{.startedAt = start};
    CHECK(isProven(state, start + 10 * limit));
    CHECK(planQueries(state, start + 10 * limit) == query_plan{});
    CHECK_FALSE(shouldReadForProof(state, 0, start, start + 10 * limit));
    CHECK_FALSE(answerQuery(state, 1, 5, start).age.has_value());
}

TEST_CASE("the store is read by rank, and only by nodes that nobody proves")
{
    CHECK_FALSE(shouldReadForProof(provenState(start), 0, start, start + limit * 3 / 10));
    CHECK(shouldReadForProof(provenState(start), 0, start, start + limit / 2));
    CHECK_FALSE(shouldReadForProof(provenState(start), maxStaggers, start, start + limit / 2));
    CHECK(shouldReadForProof(provenState(start), 1000, start, start + limit * 4 / 5));
    // While no read can be a proof, nobody reads for one; the first ones come by rank again.
    const boot_time provableFrom = start + limit;
    CHECK_FALSE(shouldReadForProof(provenState(start), 0, provableFrom, start + limit));
    CHECK(shouldReadForProof(provenState(start), 0, provableFrom, start + limit + milliseconds(1)));
    CHECK_FALSE(shouldReadForProof(provenState(start), 1, provableFrom, start + limit + milliseconds(1)));
    // A poll of the reader that begins when the last one ends keeps its proof and those of the nodes that ask it young.
    CHECK(2 * proofReadWait(limit) <= limit / 3);
}

TEST_CASE("nodes ask the reader regularly, and any node if that does not help; open queries are bounded")
{
    freshness_state state = provenState(start);
    CHECK(planQueries(state, start + limit / 5) == query_plan{}); // reads itself
    state.readAt.reset();
    CHECK(planQueries(state, start + limit / 20) == query_plan{});
    CHECK(planQueries(state, start + limit / 5) == query_plan{true, false});
    CHECK(planQueries(state, start + limit / 2) == query_plan{true, true});
    recordQuery(state, 1, start + limit / 2);
    CHECK(planQueries(state, start + limit / 2 + milliseconds(1)) == query_plan{});
    for (std::uint64_t id = 2; id < 1000; ++id) {
        recordQuery(state, id, start + limit);
    }
    CHECK(state.openQueries.size() < 100);
}
