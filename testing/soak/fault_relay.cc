#include "testing/soak/fault_relay.h"

#include <algorithm>
#include <array>

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace pistachioquay::testing {

using net::ip::tcp;

namespace {

constexpr milliseconds modePoll{10};
constexpr std::size_t pieceBytes = 16384;

} // namespace

struct fault_relay::passage
{
    explicit passage(const net::any_io_executor &executor)
        : client(executor)
        , target(executor)
    {
    }
    tcp::socket client;
    tcp::socket target;

    void close(bool isReset)
    {
        for (tcp::socket *socket : {&client, &target}) {
            boost::system::error_code ignored; // closed already
            if (isReset) {
                socket->set_option(net::socket_base::linger(true, 0), ignored);
            }
            socket->close(ignored);
        }
    }
};

fault_relay::fault_relay(endpoint target)
    : m_target(std::move(target))
    , m_acceptor(m_loop.executor(), tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
{
    m_address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
    m_loop.run([this] {
        net::co_spawn(
            m_loop.executor(),
            [this] {
                return acceptLoop();
            },
            net::detached);
        return 0;
    });
}

fault_relay::~fault_relay()
{
    m_loop.run([this] {
        m_acceptor.close();
        return 0;
    });
    reset();
    m_loop.stop();
}

void fault_relay::reset()
{
    m_loop.run([this] {
        std::ranges::for_each(m_passages, [](const auto &each) {
            each->close(true);
        });
        m_passages.clear();
        return 0;
    });
}

awaitable<void> fault_relay::acceptLoop()
{
    while (m_acceptor.is_open()) {
        const auto accepted = std::make_shared<passage>(m_loop.executor());
        const auto [failure] = co_await m_acceptor.async_accept(accepted->client, awaitResult);
        if (failure) {
            continue;
        }
        m_passages.insert(accepted);
        net::co_spawn(
            m_loop.executor(),
            [this, accepted] {
                return open(accepted);
            },
            net::detached);
    }
}

awaitable<void> fault_relay::open(std::shared_ptr<passage> opened)
{
    const tcp::endpoint to(net::ip::make_address(m_target.ip), m_target.port);
    const auto [failure] = co_await opened->target.async_connect(to, awaitResult);
    if (failure) {
        opened->close(true); // like the closed port of the target
        m_passages.erase(opened);
        co_return;
    }
    net::co_spawn(
        m_loop.executor(),
        [this, opened] {
            return pump(opened, true);
        },
        net::detached);
    co_await pump(opened, false);
}

awaitable<void> fault_relay::pump(std::shared_ptr<passage> through, bool isAnswer)
{
    tcp::socket &from = isAnswer ? through->target : through->client;
    tcp::socket &to = isAnswer ? through->client : through->target;
    std::array<char, pieceBytes> piece{};
    net::steady_timer timer(m_loop.executor());
    for (;;) {
        const auto [failure, bytes] = co_await from.async_read_some(net::buffer(piece), awaitResult);
        if (m_mode == relay_mode::Delay) {
            timer.expires_after(relayDelay);
            co_await timer.async_wait(awaitResult);
        }
        while (m_mode == relay_mode::Silent || (m_mode == relay_mode::OneWay && isAnswer)) {
            timer.expires_after(modePoll);
            co_await timer.async_wait(awaitResult);
        }
        if (failure) {
            break;
        }
        const auto [lost, written] = co_await net::async_write(to, net::buffer(piece.data(), bytes), awaitResult);
        if (lost) {
            break;
        }
    }
    through->close(false);
    m_passages.erase(through);
}

} // namespace pistachioquay::testing
