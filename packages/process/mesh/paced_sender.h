// Sends frames on the links to other nodes as the schedule of the VM's network link tells: small frames at once, large
// ones in parts. Private to the mesh library.
//
//   const std::uint64_t ticket = sender.send(link, frame_kind::Reply, std::move(bytes), {.targetAt = ..., .onEnd =
//   ...}); if (ticket != 0) sender.cancel(ticket);                               // nobody waits for it any more
#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "connection/loop/frame_link.h"
#include "process/mesh/context.h"

namespace pistachioquay::internal {

// Frames up to this size are sent at once, and larger ones in parts if the VM's link is paced. Bodies above it use the
// separate links for large bodies.
inline constexpr std::size_t largeFrameBytes = largeResponseBytes;

// How the sending of a large frame ended.
enum class transfer_end : std::uint8_t
{
    Sent,
    Undeliverable, // it could not arrive before its deadline, or the memory for waiting frames was used up
    Closed, // the link is closed
};

// What the schedule has to know about a frame.
struct transfer_terms
{
    transfer_class kind = transfer_class::Body;
    time_point targetAt;
    time_point deadline = time_point::max();
    std::function<void(transfer_end)> onEnd; // called once, also for frames that are sent at once; may be empty
};

// Not thread safe: belongs to one loop.
class paced_sender
{
public:
    explicit paced_sender(mesh_context &context);

    // send sends a frame or queues it for sending in parts; returns its ticket, or 0 if nothing remains to be sent.
    std::uint64_t
    send(const std::shared_ptr<frame_link> &link, frame_kind kind, std::string payload, transfer_terms terms);
    // cancel stops the sending of a queued frame without a call of `onEnd`. Unknown tickets are ignored.
    void cancel(std::uint64_t ticket);

private:
    struct open_transfer
    {
        std::shared_ptr<frame_link> link;
        frame_kind kind = frame_kind::Reply;
        std::string payload;
        std::size_t sentBytes = 0;
        std::function<void(transfer_end)> onEnd;
    };

    void sendDue();
    void sendPart(std::uint64_t ticket, std::size_t bytes);
    void abort(std::uint64_t ticket, transfer_end end);
    void scheduleNext();

    mesh_context &m_context;
    net::steady_timer m_timer;
    std::map<std::uint64_t, open_transfer> m_transfers; // by ticket
    std::size_t m_heldBytes = 0; // payloads of all transfers
    std::uint64_t m_lastTicket = 0;
    bool m_isTimerSet = false;
};

} // namespace pistachioquay::internal
