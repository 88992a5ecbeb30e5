// Messages of the sync port. A node that is behind pulls records from a peer, or a snapshot if the peer no longer
// buffers the records.
//
//   sendFrame(stream, encodeMessage(pull_request{nodeId, position}, syncFormat), deadline);
//   const auto response = decodeMessage<pull_response>(frame, syncFormat, counters);
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "process/spread/version_state.h"
#include "request/quarantine/quarantine.h"

namespace pistachioquay {

inline constexpr std::uint16_t syncFormat = 2;
inline constexpr std::size_t maxPulledBytes = 512 * 1024; // of record data in one response
inline constexpr std::size_t maxSyncFrameBytes = 64 * 1024 * 1024; // the largest planned snapshot is a few MB

// Request of a node to a peer for records, the member list, or both.
struct pull_request
{
    std::string nodeId; // of the requesting node
    std::uint64_t position = 0; // next offset that the requesting node folds
    bool wantsRecords = true;
    bool wantsMembers = false;
    std::vector<crash_report> crashReports; // merged by the receiver before it responds

    friend bool operator==(const pull_request &, const pull_request &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(nodeId, position, wantsRecords, wantsMembers, crashReports);
    }
};

struct pull_response
{
    bool isBusy = false; // too many concurrent pulls; the requester should try another node later
    std::uint64_t position = 0; // of the responding node, like `version`
    std::uint64_t version = 0;
    std::vector<timed_record> records;
    std::vector<std::string> snapshotParts; // instead of `records` if these are no longer buffered
    std::string memberList; // encoded by the membership library

    friend auto operator<=>(const pull_response &, const pull_response &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(isBusy, position, version, records, snapshotParts, memberList);
    }
};

} // namespace pistachioquay
