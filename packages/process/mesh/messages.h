// Messages between nodes: the payloads of frames on links, and of datagrams. Private to the mesh library.
//
//   link.send(static_cast<std::uint8_t>(frame_kind::Call), encodeMessage(message, meshFormatVersion));
#pragma once

#include <string>
#include <variant>
#include <vector>

#include <cereal/types/variant.hpp>

#include "connection/loop/http_server.h"
#include "connection/wire/codec.h"
#include "process/fleet/fleet.h"
#include "process/rollout/rollout.h"
#include "request/allowance/exchange.h"
#include "request/call_origin/call_origin.h"
#include "request/quarantine/quarantine.h"
#include "version/routes/routes.h"
#include "version/text_delta/text_delta.h"

namespace pistachioquay {

template<class Archive>
void serialize(Archive &archive, header_field &field)
{
    archive(field.name, field.value);
}

template<class Archive>
void serialize(Archive &archive, whole_request &request)
{
    archive(request.method, request.target, request.headers, request.body);
}

template<class Archive>
void serialize(Archive &archive, whole_response &response)
{
    archive(response.status, response.headers, response.body);
}

inline constexpr std::uint16_t meshFormatVersion = 7; // format of all messages between nodes

// Type of a frame on a link between two nodes.
enum class frame_kind : std::uint8_t
{
    Call = 1,
    Reply,
    Cancel,
    Ping,
    Pong,
    ConfigRequest,
    Config,
    Reserve,
    Reserved,
    Part, // of a large frame, see `frame_part`
};

// A request for the worker of the receiving node.
struct call_message
{
    std::string id;
    std::uint64_t expectedProcessId = 0; // process of the node that the sender expects to reach
    bool isRetransmission = false; // resent to the same node after the link was lost
    std::string service;
    std::string route;
    retry_policy repeat = retry_policy::AtMostOnce;
    std::uint32_t priority = 0;
    // Time until the latency target, after which the response is worth less; negative if it has passed.
    std::int64_t targetLeftMs = 0;
    std::int64_t timeLeftMs = 0; // until the deadline
    std::int64_t typicalRunMs = 0; // mean of the route at other workers, for a worker without a measurement
    // Probability that the request repeats work: 1 for a retry or a hedge, less for a call of a worker that may be
    // running a repeat.
    double repeatShare = 0;
    std::int64_t longestWaitMs = 0; // the node hands the call back if it would queue for longer; 0: no limit
    std::string callerService;
    std::string account; // name of the client account; empty: none
    bool hasCrossedLink = false; // not sent: set by the receiving node, unlike for requests of its own callers
    whole_request request;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id,
                expectedProcessId,
                isRetransmission,
                service,
                route,
                repeat,
                priority,
                targetLeftMs,
                timeLeftMs,
                typicalRunMs,
                repeatShare,
                longestWaitMs,
                callerService,
                account,
                request);
    }
};

// bounded returns the message with each number within its range: it comes from another node. Thread safe.
call_message bounded(call_message message);

// Reason of the reply to a call that was handed back: it would have queued for longer than `longestWaitMs`.
inline constexpr std::string_view handedBackReason = "handed-back";

// Reason of the reply to a call whose response would be late because of the link of the worker's VM.
inline constexpr std::string_view linkBookedReason = "link-booked";

// Reason of the reply to a call that no worker may run: it is quarantined, because it has crashed workers.
inline constexpr std::string_view quarantinedReason = "quarantined";

// How a call ended at the worker's node.
enum class reply_kind : std::uint8_t
{
    Response, // the worker responded
    NotRun, // the node refused the call: it has not run and never will
    RejectedByWorker, // the worker reported that it has not run the request
    Unknown, // the call may have run
};

// replyName returns the lower-case name of a kind for logs. Thread safe.
std::string_view replyName(reply_kind kind);

// The outcome of a call, with the current state of the worker.
struct call_reply
{
    std::string id;
    reply_kind kind = reply_kind::Unknown;
    std::string reason;
    std::int64_t retryAfterMs = 0;
    std::int64_t waitedMs = 0; // in the request queue of the node
    double runMs = 0; // mean run time of the route at the worker; 0 if not known
    request_origin origin = request_origin::Unknown; // of the requests of the route, as the node sees it
    worker_report report;
    whole_response response;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, kind, reason, retryAfterMs, waitedMs, runMs, origin, report, response);
    }
};

// makeNotRunReply returns the reply of a node that refuses a call. Thread safe.
call_reply makeNotRunReply(const std::string &id, std::string_view reason);

// isFinal returns whether a reply is a response that the caller gets: one that is no server error. Thread safe.
bool isFinal(const call_reply &reply);

// Cancels a call: its caller has left, its time is up, or another attempt was faster.
struct cancel_message
{
    std::string id;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id);
    }
};

// Requests a bandwidth reservation on the receiver's link before a large body is sent; also the answer.
struct reservation_message
{
    std::string id;
    std::uint64_t bytes = 0;
    bool isGranted = false; // set in the answer

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, bytes, isGranted);
    }
};

// Requests the configuration for a node that has an older version or none.
struct config_request
{
    std::uint64_t haveVersion = 0; // version of the sender; 0: none

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(haveVersion);
    }
};

// The text of a configuration, as the operator wrote it: a delta to an older version, or the whole text compressed.
struct config_message
{
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; // version that `delta` applies to; 0: `compressed` holds the whole text
    text_delta delta;
    std::uint64_t uncompressedBytes = 0; // size of the text in `compressed`
    std::string compressed;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, baseVersion, delta, uncompressedBytes, compressed);
    }
};

// A crash report as it is sent: the clocks of the nodes differ, so it tells the age of the crash.
struct aged_crash_report
{
    crash_report report;
    std::int64_t ageMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(report, ageMs);
    }
};

// The payload of a gossip datagram.
struct gossip_message
{
    node_record sender;
    bool wantsReply = false; // asks for the receiver's record, which the sender lacks or has not heard of lately
    bool isReaderAnnouncement = false; // the sender has just read the platform for its data centre
    std::vector<node_record> others; // records of other nodes that are passed on
    // Set in replies: what the sender holds for the receiver, and whether it knew an earlier process of the receiver.
    std::vector<worker_departure> receiverDepartures;
    bool knewPredecessor = false;
    std::uint64_t crashDigest = 0; // of all crash reports that the sender has
    std::vector<aged_crash_report> crashReports; // some of them
    std::vector<rollout_record> rollouts; // all that the sender knows

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sender, wantsReply, isReaderAnnouncement, others, receiverDepartures, knewPredecessor);
        archive(crashDigest, crashReports, rollouts);
    }
};

// Asks a node how old its proof is that it has the newest configuration.
struct freshness_query
{
    std::uint64_t id = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id);
    }
};

// The answer: at most `proofAgeMs` ago, no version newer than `version` was acknowledged.
struct freshness_answer
{
    std::uint64_t id = 0; // of the query
    bool hasProof = false;
    std::uint64_t version = 0;
    std::int64_t proofAgeMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, hasProof, version, proofAgeMs);
    }
};

// The payload of a datagram.
using mesh_datagram = std::variant<gossip_message, freshness_query, freshness_answer, allowance_ask, allowance_answer>;

// A departure as the platform's store keeps it, among the address records of the nodes.
struct stored_departure
{
    std::string nodeId; // beside which the worker ran
    worker_departure departure;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(nodeId, departure);
    }
};

// An entry of the directory that the nodes keep in the platform's store.
using directory_entry = std::variant<node_record, stored_departure>;

} // namespace pistachioquay
