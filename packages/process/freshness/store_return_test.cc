// Guards against configurations that are never read, and keys that are accepted too long, after the store has come back
// from a copy: searches orders of writes, copies, outages, returns, reads and restarts.
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"
#include "process/freshness/freshness.h"
#include "process/store_reading/store_era.h"
#include "process/store_reading/version_log.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

constexpr milliseconds limit{5000};
const boot_time start{std::chrono::hours(5)};

// How nodes treat a return of the store.
enum class belief : std::uint8_t
{
    Eras, // as the product does
    OffsetsAlone, // the position is kept, unless the log has become shorter
    CompleteReads, // a complete read counts as a proof at once
};

// Nodes that read the log of a store, which can come back from a copy. The operator then writes again the newest
// version, or all that were lost, within `rewriteTime`; it may write further ones at once.
class store_history
{
public:
    explicit store_history(belief trusted)
        : m_trusted(trusted)
    {
        m_acknowledgedAt[1] = start;
        std::ranges::for_each(m_nodes, [](node &each) {
            each.freshness = {.limit = limit, .startedAt = start};
        });
    }

    void step(std::uint32_t word)
    {
        const bool isLongPause = (word >> 8U) % 16 == 0;
        advance(milliseconds((word >> 12U) % (isLongPause ? 6000 : 300)));
        node &self = m_nodes.at((word >> 4U) % m_nodes.size());
        switch (word % 16) {
        case 0:
            if (!m_isAway && m_lost.empty()) {
                publish(++m_lastVersion);
            }
            break;
        case 1:
            if (!m_isAway) {
                m_copy = m_log;
            }
            break;
        case 2:
            m_isAway = true;
            break;
        case 3:
            comeBack((word >> 20U) % 2 == 0);
            break;
        case 4:
            rewrite();
            break;
        case 5: // a node is killed and starts again
            self = {.freshness = {.limit = limit, .startedAt = m_now}};
            break;
        case 6: // hears of another node
            hear(self, m_nodes.at((word >> 24U) % m_nodes.size()));
            break;
        case 7: // asks another node, which answers at once
            ask(self, m_nodes.at((word >> 24U) % m_nodes.size()));
            break;
        case 11: // receives the answer
            recordAnswer(self.freshness, self.answer, self.applied, m_now);
            break;
        case 8:
        case 9:
        case 10:
            send(self);
            break;
        default:
            receive(self);
        }
    }

    // Whether a node accepts keys longer than the limit after a version that it does not apply was acknowledged.
    bool hasAcceptedLate() const
    {
        return std::ranges::any_of(m_nodes, [this](const node &each) {
            return each.applied > 0 && isProven(each.freshness, m_now)
                && std::ranges::any_of(m_acknowledgedAt, [&](const auto &acknowledged) {
                       const auto &[version, at] = acknowledged;
                       return version > each.applied && m_now - at >= limit;
                   });
        });
    }

    // Whether a node lacks the newest version although it has read the store twice since it returned for good.
    bool hasMissedVersion()
    {
        comeBack(true);
        rewrite();
        return std::ranges::any_of(m_nodes, [this](node &each) {
            for (int read = 0; read < 2; ++read) {
                advance(rewriteTime);
                each.open.reset();
                send(each);
                receive(each);
            }
            return each.applied < m_log.back();
        });
    }

private:
    struct open_read
    {
        boot_time sentAt;
        std::uint64_t applied = 0;
        std::uint64_t era = 0;
        log_read result;
    };
    struct node
    {
        freshness_state freshness;
        store_eras eras;
        version_log log;
        std::uint64_t applied = 0; // version
        std::optional<open_read> open;
        peer_proof answer; // that is under way
    };

    void advance(milliseconds time)
    {
        m_now += time;
        if (!m_isAway && !m_lost.empty() && m_now - m_returnedAt >= rewriteTime) {
            const boot_time now = m_now;
            m_now = m_returnedAt + rewriteTime - milliseconds(1); // the operator was in time
            rewrite();
            m_now = now;
        }
    }
    void publish(std::uint64_t version)
    {
        m_log.push_back(version);
        m_acknowledgedAt.try_emplace(version, m_now);
    }
    void comeBack(bool writesAllAgain)
    {
        if (!m_isAway) {
            return;
        }
        m_isAway = false;
        m_returnedAt = m_now;
        const std::vector<std::uint64_t> before = std::exchange(m_log, m_copy);
        ++m_era;
        std::ranges::copy_if(before, std::inserter(m_lost, m_lost.end()), [&](std::uint64_t version) {
            return version > m_log.back();
        });
        if (!writesAllAgain && !m_lost.empty()) {
            m_lost = {*m_lost.rbegin()};
        }
    }
    void rewrite()
    {
        if (!m_isAway) {
            std::ranges::for_each(std::exchange(m_lost, {}), [this](std::uint64_t version) {
                m_log.push_back(version);
            });
        }
    }

    void hear(node &self, const node &other) const
    {
        self.applied = std::max(self.applied, other.applied);
        if (other.eras.current) {
            const auto age = std::chrono::floor<milliseconds>(m_now - other.eras.knownSince);
            recordToldEra(self.eras, *other.eras.current, age, m_now);
        }
    }
    void ask(node &self, const node &other)
    {
        recordQuery(self.freshness, ++m_lastQuery, m_now);
        self.answer = answerQuery(other.freshness, m_lastQuery, other.applied, m_now);
    }
    // Sends a read, which the store executes at once.
    void send(node &self)
    {
        if (self.open || m_isAway) {
            return;
        }
        auto position = readPosition(self.log, self.eras, self.applied);
        if (m_trusted == belief::OffsetsAlone && self.log.position && self.log.appliedVersion == self.applied
            && self.log.position->offset <= m_log.size()) {
            position = store_position{m_era, self.log.position->offset};
        }
        open_read read{.sentAt = m_now, .applied = self.applied, .era = m_era};
        read.result.position = {m_era, m_log.size()};
        read.result.isComplete = true;
        const bool isReadOn = position && position->era == m_era;
        read.result.hasNewest = !isReadOn || position->offset < m_log.size();
        read.result.version = m_log.back();
        self.open = read;
    }
    void receive(node &self)
    {
        if (!self.open) {
            return;
        }
        const open_read read = *std::exchange(self.open, std::nullopt);
        if (recordEra(self.eras, read.era, read.sentAt, m_now) == era_change::Outdated) {
            return;
        }
        if (read.result.hasNewest) {
            self.applied = std::max(self.applied, read.result.version.value_or(0));
        }
        const auto shown = recordLogRead(self.log, read.result, read.applied, read.sentAt < provableFrom(self.eras));
        self.log.appliedVersion = self.applied;
        const bool isProof = m_trusted == belief::Eras ? provesNewest(shown) : shown.isComplete;
        if (isProof) {
            recordStoreProof(self.freshness, read.sentAt);
        }
    }

    belief m_trusted;
    boot_time m_now = start;
    boot_time m_returnedAt = start;
    bool m_isAway = false;
    std::uint64_t m_era = 1;
    std::uint64_t m_lastVersion = 1;
    std::uint64_t m_lastQuery = 0;
    std::vector<std::uint64_t> m_log = {1}; // versions by offset
    std::vector<std::uint64_t> m_copy = {1};
    std::set<std::uint64_t> m_lost; // versions that the operator has to write again
    std::map<std::uint64_t, boot_time> m_acknowledgedAt; // by version, for the first time
    std::array<node, 3> m_nodes;
};

bool breaksRule(const std::vector<std::uint32_t> &words, belief trusted)
{
    store_history history(trusted);
    const bool acceptsLate = std::ranges::any_of(words, [&](std::uint32_t word) {
        history.step(word);
        return history.hasAcceptedLate();
    });
    return acceptsLate || history.hasMissedVersion();
}

} // namespace

TEST_CASE("no key is accepted late and no version is missed, whenever the store comes back from a copy")
{
    CHECK(holds("returns of the store", 20000, [](const std::vector<std::uint32_t> &words) {
        RC_ASSERT(!breaksRule(words, belief::Eras));
    }));
}

TEST_CASE("the search finds the faults of nodes that ignore the era")
{
    const belief trusted = GENERATE(belief::OffsetsAlone, belief::CompleteReads);
    random_generator generator(1);
    bool isFound = false;
    for (int history = 0; history < 3000 && !isFound; ++history) {
        std::vector<std::uint32_t> words(200);
        std::ranges::generate(words, [&] {
            return static_cast<std::uint32_t>(generator());
        });
        CHECK_FALSE(breaksRule(words, belief::Eras));
        isFound = breaksRule(words, trusted);
    }
    CHECK(isFound);
}
