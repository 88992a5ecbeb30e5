#include "process/node/sync_server.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <glog/logging.h>

#include "connection/wire/codec.h"

namespace pistachioquay {

namespace {

constexpr milliseconds acceptPollInterval{200};
constexpr milliseconds requestTimeout{1000};
constexpr seconds responseTimeout{5};
constexpr std::size_t maxRequestBytes = 1024 * 1024; // a crash report can hold the ids of 256 requests

result<void> respondBusy(const tcp_stream &stream)
{
    pull_response busy;
    busy.isBusy = true;
    return sendFrame(stream, encodeMessage(busy, syncFormat), steadyNow() + requestTimeout);
}

} // namespace

sync_server::sync_server(tcp_listener listener, std::function<pull_response(const pull_request &)> respond)
    : m_listener(std::move(listener))
    , m_respond(std::move(respond))
{
}

sync_server::~sync_server()
{
    stop();
}

void sync_server::start()
{
    m_threads.emplace_back([this](const std::stop_token &stop) {
        acceptConnections(stop);
    });
    for (std::size_t count = 0; count < syncWorkerThreads; ++count) {
        m_threads.emplace_back([this](const std::stop_token &stop) {
            servePulls(stop);
        });
    }
}

void sync_server::stop()
{
    std::ranges::for_each(m_threads, [](std::jthread &each) {
        each.request_stop();
    });
    m_threads.clear();
}

std::uint64_t sync_server::transferredBytes() const
{
    return m_bytes;
}

void sync_server::acceptConnections(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        auto accepted = attempt([&] {
            return acceptTcp(m_listener, acceptPollInterval);
        });
        if (!accepted) {
            LOG_EVERY_N(WARNING, 100) << "[sync] Cannot accept a connection. " << describe(accepted.failure());
            std::this_thread::sleep_for(acceptPollInterval);
            continue;
        }
        if (!*accepted) {
            continue;
        }
        auto stream = std::make_shared<tcp_stream>(**std::move(accepted));
        if (!m_queue.tryPush(stream)) {
            attempt([&] {
                return respondBusy(*stream);
            });
        }
    }
}

void sync_server::servePulls(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        if (const auto stream = m_queue.pop(stop)) {
            servePull(**stream);
        }
    }
}

void sync_server::servePull(const tcp_stream &stream)
{
    decode_counters counters;
    const auto served = attempt([&]() -> result<void> {
        BOOST_LEAF_AUTO(frame, receiveFrame(stream, maxRequestBytes, steadyNow() + requestTimeout));
        BOOST_LEAF_AUTO(request, decodeMessage<pull_request>(frame, syncFormat, counters));
        const std::string response = encodeMessage(m_respond(request), syncFormat);
        m_bytes += frame.size() + response.size();
        return sendFrame(stream, response, steadyNow() + responseTimeout);
    });
    if (!served) {
        LOG_EVERY_N(WARNING, 100) << "[sync] Cannot serve a pull. " << describe(served.failure());
    }
}

} // namespace pistachioquay
