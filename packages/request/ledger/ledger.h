// Deduplication table of the requests that a node has received for its worker, by id. It prevents that a request runs
// twice when its sender sends it again after losing the connection.
//
//   switch (table.begin(id, now)) {
//   case deduplication_state::New: ...          // the id was not received before
//   case deduplication_state::Open: ...         // the request is queued or running: respond when it ends
//   case deduplication_state::Completed: ...    // it has completed; its response is kept for `responseRetention`
//   case deduplication_state::Void: ...         // the sender was told that it has not run, so it must never run
//   }
//
// Load pattern: connections between nodes break while requests are in transit, and data of the old connection may
// arrive after the request was sent again on the new one.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr seconds responseRetention{3}; // a sender that lost its connection reconnects within this time
inline constexpr seconds idRetention{20}; // longer than the lifetime of any request
// Memory of kept responses; the oldest are dropped first.
inline constexpr std::size_t maxRetainedBytes = 8UL * 1024 * 1024;

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
    // begin adds a request if its id is new, and returns its state before the call.
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

    // end marks a request as completed and keeps its response.
    void end(const std::string &id, Response response, std::size_t bytes, time_point now)
    {
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            return;
        }
        found->second = {deduplication_state::Completed, std::move(response), bytes};
        m_retainedBytes += bytes;
        m_responses.push_back({id, now + responseRetention});
        m_ids.push_back({id, now + idRetention});
    }

    // forget removes a request that was refused, so that its id may be sent again.
    void forget(const std::string &id)
    {
        m_entries.erase(id);
    }

    // markNeverRun marks a request as one that will never run.
    void markNeverRun(const std::string &id, time_point now)
    {
        m_entries[id] = {deduplication_state::Void, std::nullopt, 0};
        m_ids.push_back({id, now + idRetention});
    }

    // response returns the kept response of a request; null if there is none.
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
            m_retainedBytes -= found->second.bytes;
            found->second.response.reset();
        }
    }

    void expire(time_point now)
    {
        while (!m_responses.empty() && (m_responses.front().at <= now || m_retainedBytes > maxRetainedBytes)) {
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
    std::size_t m_retainedBytes = 0;
};

} // namespace pistachioquay
