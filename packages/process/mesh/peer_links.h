// Links to other nodes, and the calls and pulls on them. Private to the mesh library.
//
//   const peer_result got = co_await links.call(target, message, deadline, *control);
#pragma once

#include <map>
#include <memory>
#include <unordered_map>

#include "connection/loop/frame_link.h"
#include "connection/loop/http_client.h"
#include "process/mesh/context.h"

namespace pistachioquay::internal {

// How a call at another node ended for the caller's node.
enum class peer_end : std::uint8_t
{
    Replied,
    NotSent, // no link could be made
    LinkLost, // the call was sent and the link ended before the reply
    TimedOut,
    Cancelled,
};

std::string_view endName(peer_end end);

struct peer_result
{
    peer_end end = peer_end::NotSent;
    call_reply reply;
};

// Calls and messages that arrive on links.
struct peer_events
{
    std::function<awaitable<call_reply>(call_message, std::shared_ptr<cancellation_token>)> onCall;
    std::function<void(const config_message &)> onConfig;
    std::function<config_message(const config_request &)> config;
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
    // call sends a call and waits for its reply.
    awaitable<peer_result>
    call(endpoint target, const call_message &message, time_point deadline, cancellation_token &control);
    // reserve asks a node for room on its link for a large body.
    awaitable<peer_end> reserve(endpoint target, const std::string &id, std::size_t bytes, cancellation_token &control);
    // isLarge tells whether a body needs a reservation.
    static bool isLarge(std::size_t bytes);
    // requestConfig asks a node for its configuration; the answer goes to `onConfig`.
    awaitable<void> requestConfig(endpoint target, std::uint64_t haveVersion);
    // check pings links on which replies are due and closes silent ones. Call it about every `checkInterval`.
    void check(time_point now);
    // stop closes the port and, after what is queued, the links.
    void stop();

    static constexpr milliseconds checkInterval{200};

private:
    struct pending_call
    {
        explicit pending_call(const net::any_io_executor &executor)
            : done(executor)
        {
        }
        async_event done;
        bool isLost = false;
        std::optional<call_reply> reply;
        std::optional<bool> isGranted;
    };
    struct outgoing
    {
        std::shared_ptr<frame_link> link;
        std::vector<std::shared_ptr<async_event>> waiters; // while it connects
        bool isConnecting = false;
        std::unordered_map<std::string, std::shared_ptr<pending_call>> calls; // by id
        time_point lastUsed;
        time_point lastPing;
    };
    using link_key = std::pair<endpoint, bool>; // address, and whether the link carries large bodies

    awaitable<std::shared_ptr<frame_link>> linkTo(link_key key);
    awaitable<void> acceptLoop();
    void onFrame(const link_key &key, frame_link &link, std::uint8_t kind, std::string_view payload);
    void onClosed(const link_key &key, std::string_view reason);
    void serveFrame(frame_link &link, std::uint8_t kind, std::string_view payload);
    void serveCall(frame_link &link, std::string_view payload);
    void failAll(outgoing &state);

    mesh_context &m_context;
    peer_events m_events;
    net::ip::tcp::acceptor m_acceptor;
    std::map<link_key, outgoing> m_links;
    struct served_call
    {
        std::shared_ptr<cancellation_token> control;
        bool isRetryable = false;
    };
    struct incoming
    {
        std::shared_ptr<frame_link> link;
        std::unordered_map<std::string, served_call> calls;
    };
    std::map<frame_link *, incoming> m_incoming;
    decode_counters m_garbled;
};

} // namespace pistachioquay::internal
