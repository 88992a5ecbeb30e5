// Passes TCP connections on to a target, and harms them on demand.
//
//   fault_relay relay(store.address());
//   relay.setMode(relay_mode::Silent);
#pragma once

#include <atomic>
#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>

#include "base/endpoint.h"
#include "connection/loop/loop_fixture.h"

namespace pistachioquay::testing {

enum class relay_mode : std::uint8_t
{
    Pass,
    Delay, // each piece comes `relayDelay` late
    Silent, // nothing passes until the mode ends
    OneWay, // what the target sends is held back until the mode ends
};

inline constexpr milliseconds relayDelay{120};

// All functions are thread safe.
class fault_relay
{
public:
    explicit fault_relay(endpoint target);
    ~fault_relay();
    fault_relay(const fault_relay &) = delete;
    fault_relay &operator=(const fault_relay &) = delete;

    endpoint address() const
    {
        return m_address;
    }
    void setMode(relay_mode mode)
    {
        m_mode = mode;
    }
    // reset ends all open connections with a reset; new ones pass.
    void reset();

private:
    struct passage;

    awaitable<void> acceptLoop();
    awaitable<void> open(std::shared_ptr<passage> opened);
    awaitable<void> pump(std::shared_ptr<passage> through, bool isAnswer);

    endpoint m_target;
    endpoint m_address;
    std::atomic<relay_mode> m_mode = relay_mode::Pass;
    loop_thread m_loop;
    net::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<passage>> m_passages; // belongs to the loop
};

} // namespace pistachioquay::testing
