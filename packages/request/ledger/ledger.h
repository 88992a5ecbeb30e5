// The requests that a node has taken for its worker, by id, so that none runs twice when a sender repeats it after it
// lost its connection.
//
//   switch (beginEntry(ledger, id, now)) {
//   case deduplication_state::New: ...          // this send is the first one
//   case deduplication_state::Open: ...         // it waits or runs: the sender gets the response when it ends
//   case deduplication_state::Ended: ...        // its response is kept for `responseKept`
//   case deduplication_state::Void: ...         // the sender was told that it has not run; it never will
//   }
//
// Load pattern: connections between nodes break while requests are on them, and bytes of the old connection may arrive
// after the repeat on the new one.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr seconds responseKept{3}; // a sender that lost its connection is back within this time
inline constexpr seconds idKept{20}; // longer than any request lives
inline constexpr std::size_t maxKeptBytes = 8UL * 1024 * 1024; // of kept responses; the oldest go first

enum class deduplication_state : std::uint8_t
{
    New,
    Open,
    Completed,
    Void,
};

template<class Response>
class deduplication_table
{
public:
    // begin enters a request and returns what was known of it before.
    deduplication_state begin(const std::string &id, time_point now)
    {
        expire(now);
        const auto [found, isNew] = m_entries.try_emplace(id);
        if (isNew) {
            found->second.state = deduplication_state::Open;
            return deduplication_state::New;
        }
        return found->second.state;
    }

    // end keeps the response of an open request.
    void end(const std::string &id, Response response, std::size_t bytes, time_point now)
    {
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            return;
        }
        found->second = {deduplication_state::Completed, std::move(response), bytes};
        m_keptBytes += bytes;
        m_responses.push_back({id, now + responseKept});
        m_ids.push_back({id, now + idKept});
    }

    // forget drops an open request that was refused, so that the same id may be sent again.
    void forget(const std::string &id)
    {
        m_entries.erase(id);
    }

    // markNeverRun marks a request as one that will never run.
    void markNeverRun(const std::string &id, time_point now)
    {
        m_entries[id] = {deduplication_state::Void, std::nullopt, 0};
        m_ids.push_back({id, now + idKept});
    }

    // response returns the kept response; null if it is no longer kept.
    const Response *response(const std::string &id) const
    {
        const auto found = m_entries.find(id);
        return found != m_entries.end() && found->second.response ? &*found->second.response : nullptr;
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct entry
    {
        deduplication_state state = deduplication_state::Open;
        std::optional<Response> response;
        std::size_t bytes = 0;
    };
    struct expiry
    {
        std::string id;
        time_point at;
    };

    void dropResponse(const std::string &id)
    {
        const auto found = m_entries.find(id);
        if (found != m_entries.end() && found->second.response) {
            m_keptBytes -= found->second.bytes;
            found->second.response.reset();
        }
    }

    void expire(time_point now)
    {
        while (!m_responses.empty() && (m_responses.front().at <= now || m_keptBytes > maxKeptBytes)) {
            dropResponse(m_responses.front().id);
            m_responses.pop_front();
        }
        while (!m_ids.empty() && m_ids.front().at <= now) {
            m_entries.erase(m_ids.front().id);
            m_ids.pop_front();
        }
    }

    std::unordered_map<std::string, entry> m_entries;
    std::deque<expiry> m_responses; // oldest first
    std::deque<expiry> m_ids; // oldest first
    std::size_t m_keptBytes = 0;
};

} // namespace pistachioquay
