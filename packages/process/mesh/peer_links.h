// Links to other nodes: sends calls, reservations and configuration requests, and serves those of other nodes. Private
// to the mesh library.
//
//   const peer_result got = co_await links.call(target, message, deadline, *cancellation);
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "connection/loop/frame_link.h"
#include "connection/loop/http_client.h"
#include "connection/pacing/part_assembly.h"
#include "process/mesh/context.h"
#include "process/mesh/paced_sender.h"

namespace pistachioquay::internal {

// How a call to another node ended, from the sender's view.
enum class peer_end : std::uint8_t
{
    Replied,
    NotSent, // no link could be opened
    Undelivered, // the VM's link was too busy to send the call before its deadline
    LinkLost, // the link was lost between the call and its reply
    TimedOut,
    Cancelled,
};

// endName returns the lower-case name of an end for logs. Thread safe.
std::string_view endName(peer_end end);

struct peer_result
{
    peer_end end = peer_end::NotSent;
    call_reply reply; // if Replied
};

// Callbacks for messages that arrive on links and for nodes that do not answer.
struct peer_events
{
    std::function<awaitable<call_reply>(call_message, std::shared_ptr<cancellation_token>)> onCall;
    std::function<void(const config_message &)> onConfig;
    std::function<config_message(const config_request &)> onConfigRequest; // returns the answer
    std::function<void(const endpoint &)> onSuspect; // a node has not answered a ping yet
    std::function<void(const endpoint &)> onSilent; // a node does not answer in time, or cannot be reached
};

// Not thread safe: belongs to one loop.
class peer_links
{
public:
    peer_links(mesh_context &context, peer_events events);
    ~peer_links();

    // listen opens the port for the links of other nodes.
    result<void> listen();
    // call sends a call and waits for its reply until `deadline`.
    awaitable<peer_result>
    call(endpoint target, const call_message &message, time_point deadline, cancellation_token &cancellation);
    // reserve requests a bandwidth reservation for a large body on the link of a node's VM. Replied: it is granted;
    // NotSent: it is denied.
    awaitable<peer_end>
    reserve(endpoint target, const std::string &id, std::size_t bytes, cancellation_token &cancellation);
    // isLarge returns whether a body of this size needs a reservation and uses the separate link for large bodies.
    static bool isLarge(std::size_t bytes);
    // requestConfig requests the configuration of a node; the answer goes to `onConfig`.
    awaitable<void> requestConfig(endpoint target, std::uint64_t haveVersion);
    // checkLiveness pings links that wait for replies, and closes silent and idle ones. Call it about every
    // `checkInterval`.
    void checkLiveness(time_point now);
    // stop closes the port, and the links of other nodes once their queued frames are written.
    void stop();

    static constexpr milliseconds checkInterval{200};

private:
    // A call or a reservation that waits for its answer.
    struct pending_call
    {
        explicit pending_call(const net::any_io_executor &executor)
            : done(executor)
        {
        }
        async_event done; // answered, lost or cancelled
        bool isLost = false;
        bool isUndelivered = false;
        std::optional<call_reply> reply;
        std::optional<bool> isGranted;
    };
    // A link to another node.
    struct outgoing_link
    {
        std::shared_ptr<frame_link> link;
        std::vector<std::shared_ptr<async_event>> waiters; // coroutines that wait for the connection
        bool isConnecting = false;
        std::unordered_map<std::string, std::shared_ptr<pending_call>> calls; // by id
        time_point lastUsed;
        time_point lastPing;
        part_assembly parts;
    };
    // What a link to a node is used for. Bodies, and configurations, have connections of their own, since a connection
    // whose receiver falls behind delays all frames on it.
    enum class link_purpose : std::uint8_t
    {
        Requests,
        Bodies, // large ones, of requests or of expected responses
        Configurations,
    };
    using link_key = std::pair<endpoint, link_purpose>;

    awaitable<std::shared_ptr<frame_link>> linkTo(link_key key);
    awaitable<void> acceptLoop();
    void onFrame(const link_key &key, frame_link &link, std::uint8_t kind, std::string_view payload);
    void onClosed(const link_key &key, std::string_view reason);
    void serveFrame(frame_link &link, std::uint8_t kind, std::string_view payload);
    // addReceivedPart adds a part to `parts` and returns its frame once it is complete; closes the link if it is false.
    std::optional<assembled_frame> addReceivedPart(part_assembly &parts, frame_link &link, std::string_view payload);
    void sendReply(const std::shared_ptr<frame_link> &link, const call_reply &reply, transfer_terms terms);
    link_purpose purposeOf(const call_message &message) const;
    void serveCall(frame_link &link, std::string_view payload);
    void failPendingCalls(outgoing_link &state);

    mesh_context &m_context;
    peer_events m_events;
    net::ip::tcp::acceptor m_acceptor;
    std::map<link_key, outgoing_link> m_outgoing;
    // A call of another node that runs here.
    struct served_call
    {
        std::shared_ptr<cancellation_token> cancellation;
        bool isRetryable = false;
    };
    // A link that another node has opened.
    struct incoming_link
    {
        std::shared_ptr<frame_link> link;
        std::unordered_map<std::string, served_call> calls;
        std::unordered_map<std::string, std::uint64_t> replies; // tickets of large replies that are being sent
        part_assembly parts;
    };
    std::map<frame_link *, incoming_link> m_incoming;
    decode_counters m_decodeCounters;
    paced_sender m_sender;
};

} // namespace pistachioquay::internal
