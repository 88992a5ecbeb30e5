#include "testing/platform/worker_stand_in.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>
#include <thread>

#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "testing/harness/process.h"

namespace pistachioquay::testing {

namespace {

constexpr milliseconds defaultRunDuration{2};
constexpr milliseconds heartbeatTimeout{1000};
constexpr milliseconds listenRetryTimeout{2000};

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return 0;
    }
    const std::string rest = target.substr(at + name.size() + 1);
    return parseCount(rest.substr(0, rest.find('&'))).value_or(0);
}

} // namespace

worker_stand_in::worker_stand_in(worker_options options)
    : m_options(std::move(options))
    , m_startedMs(unixNowMs())
{
    m_node =
        std::make_unique<async_http_client>(m_loop.executor(), async_http_client_options{.target = m_options.control});
    // A child process between fork and exec may still hold the listening socket of an earlier worker at this address,
    // so a failed listen is retried.
    const time_point until = steadyNow() + listenRetryTimeout;
    bool isStarted = listen();
    while (!isStarted && steadyNow() < until) {
        std::this_thread::sleep_for(milliseconds(20));
        isStarted = listen();
    }
    if (!isStarted) {
        throw std::runtime_error("the stand-in of a worker cannot listen on " + toText(m_options.address));
    }
}

worker_stand_in::~worker_stand_in()
{
    m_loop.run([this] {
        m_isStopped = true;
        m_server->stop();
        m_node->closeAll();
        if (m_replyTo) {
            m_replyTo->closeAll();
        }
        std::ranges::for_each(m_sleepTimers, [](net::steady_timer *timer) {
            timer->cancel();
        });
        return 0;
    });
    // Suspended coroutines use the client and the server, so they must end before those are destroyed.
    const auto isIdle = [this] {
        return m_loop.run([this] {
            return m_activeCoroutines == 0;
        });
    };
    const time_point until = steadyNow() + 2 * heartbeatTimeout;
    while (!isIdle() && steadyNow() < until) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    m_loop.stop();
}

bool worker_stand_in::listen()
{
    m_server = std::make_unique<async_http_server>(m_loop.executor(),
                                                   async_http_server_options{.address = m_options.address},
                                                   [this](const whole_request &request, caller_connection &caller) {
                                                       return run(request, caller);
                                                   });
    return m_loop.run([this] {
        const bool isListening = static_cast<bool>(attempt([this] {
            return m_server->start();
        }));
        if (isListening) {
            net::co_spawn(
                m_loop.executor(),
                [this] {
                    return heartbeatLoop();
                },
                net::detached);
        }
        return isListening;
    });
}

// Suspends the coroutine for `length`, or until the stand-in is stopped.
awaitable<void> worker_stand_in::pause(milliseconds length)
{
    net::steady_timer timer(m_loop.executor(), m_isStopped ? milliseconds(0) : length);
    m_sleepTimers.insert(&timer);
    co_await timer.async_wait(awaitResult);
    m_sleepTimers.erase(&timer);
}

std::string worker_stand_in::heartbeatBody(const std::string &state)
{
    const boost::json::value body = {
        {"address", toText(m_options.announcedAddress.port > 0 ? m_options.announcedAddress : m_options.address)},
        {"born", m_startedMs},
        {"information",
         {{"service", m_options.service},
          {"version", m_options.version},
          {"zone", m_options.dataCentre},
          {"slots", m_options.slots}}},
        {"status", {{"state", state}, {"sequence", m_sequence++}, {"coldRemainingMs", 0}}}};
    return boost::json::serialize(body);
}

awaitable<std::optional<whole_response>>
worker_stand_in::postTo(async_http_client &node, std::string action, std::string body)
{
    whole_request request;
    request.method = "POST";
    request.target = "/instances/" + m_options.id + "/" + action;
    request.headers = {{"Host", toText(m_options.control)}, {"Content-Type", "application/json"}};
    request.body = std::move(body);
    cancellation_token control;
    const exchange_result got = co_await node.send(request, {.deadline = steadyNow() + heartbeatTimeout}, control);
    const bool isAcknowledged = got.end == exchange_end::Complete && got.response.status == 200;
    co_return isAcknowledged ? std::optional(got.response) : std::nullopt;
}

awaitable<bool> worker_stand_in::post(std::string action, std::string body)
{
    const auto response = co_await postTo(*m_node, std::move(action), std::move(body));
    co_return response.has_value();
}

// Sends the next heartbeats to the address that the response names, if it names one.
void worker_stand_in::followReplyAddress(const whole_response &response)
{
    boost::system::error_code failure;
    const boost::json::value body = boost::json::parse(response.body, failure);
    const boost::json::value *address =
        !failure && body.is_object() ? body.as_object().if_contains("heartbeatAddress") : nullptr;
    if (!m_options.followsReplyAddress || address == nullptr) {
        return;
    }
    const endpoint target = requireValue([&] {
        return parseEndpoint(std::string(address->as_string()));
    });
    m_replyTo = target == m_options.control
        ? nullptr
        : std::make_shared<async_http_client>(m_loop.executor(), async_http_client_options{.target = target});
}

awaitable<bool> worker_stand_in::announce(std::string state)
{
    const std::shared_ptr<async_http_client> replyTo = m_replyTo;
    const auto response = co_await postTo(replyTo ? *replyTo : *m_node, "heartbeat", heartbeatBody(state));
    if (response) {
        followReplyAddress(*response);
    } else {
        m_replyTo.reset();
    }
    co_return response.has_value();
}

awaitable<void> worker_stand_in::heartbeatLoop()
{
    ++m_activeCoroutines;
    while (!m_isStopped) {
        std::string state;
        {
            const std::lock_guard guard(m_mutex);
            state = m_state;
        }
        if (!m_hasLeft && !m_hasCrashed) {
            co_await announce(state);
        }
        co_await pause(m_options.noticeInterval);
    }
    --m_activeCoroutines;
}

bool worker_stand_in::repeatUntilAcknowledged(milliseconds atMost, const std::function<bool()> &send)
{
    const time_point until = steadyNow() + atMost;
    while (steadyNow() < until) {
        if (send()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

bool worker_stand_in::drain(milliseconds atMost)
{
    {
        const std::lock_guard guard(m_mutex);
        m_state = "draining";
    }
    return repeatUntilAcknowledged(atMost, [this] {
        return m_loop.await(announce("draining"));
    });
}

bool worker_stand_in::leave(milliseconds atMost, bool tellsStart)
{
    m_loop.run([this] {
        m_hasLeft = true;
        return 0;
    });
    const std::string body =
        tellsStart ? boost::json::serialize(boost::json::value{{"born", m_startedMs}}) : std::string("{}");
    return repeatUntilAcknowledged(atMost, [this, &body] {
        return m_loop.await(post("leave", body));
    });
}

std::string worker_stand_in::takeHeartbeat()
{
    return m_loop.run([this] {
        return heartbeatBody("ready");
    });
}

bool worker_stand_in::deliver(const std::string &heartbeat)
{
    return m_loop.await(post("heartbeat", heartbeat));
}

awaitable<whole_response> worker_stand_in::run(const whole_request &request, caller_connection &)
{
    const std::string id(findHeader(request.headers, "Request-Attempt-Id").value_or(""));
    const auto expected = findHeader(request.headers, "Expected-Instance");
    whole_response response = textReply(200, m_options.id + " " + request.target);
    response.headers.push_back({"Request-Attempt-Id", id});
    if (expected && *expected != m_options.id) {
        response.status = 421;
        co_return response;
    }
    if (m_running >= 2 * m_options.slots) {
        response.status = 503;
        response.headers.push_back({"Not-Executed", "1"});
        co_return response;
    }
    bool isHanging = false;
    {
        const std::lock_guard guard(m_mutex);
        isHanging = m_isHanging;
        seen_request &seen = m_seen[id];
        ++seen.runs;
        seen.callerService = findHeader(request.headers, "Caller-Service").value_or("");
        seen.headers = request.headers;
        seen.expectedWorker = expected.value_or("");
        seen.startedAt = m_lastStart = steadyNow();
    }
    if (queryNumber(request.target, "crash") > 0) {
        m_hasCrashed = true;
        m_server->stop();
        response.status = 0;
        co_return response;
    }
    ++m_running;
    const std::uint64_t runMs = queryNumber(request.target, "run");
    const milliseconds runDuration = runMs > 0 ? milliseconds(runMs) : defaultRunDuration;
    ++m_activeCoroutines;
    co_await pause(isHanging ? hangDuration : runDuration);
    --m_activeCoroutines;
    --m_running;
    if (const std::uint64_t bytes = queryNumber(request.target, "bytes"); bytes > 0) {
        response.body.assign(bytes, 'b');
    }
    const bool isFailing = m_options.failEvery > 0 && ++m_runCount % m_options.failEvery == 0;
    const std::uint64_t failure = isFailing ? 500 : queryNumber(request.target, "fail");
    response.status = queryNumber(request.target, "lose") > 0 ? 0 : failure > 0 ? static_cast<unsigned>(failure) : 200;
    response.headers.push_back({"Server-Signature", "stand-in." + m_options.id});
    response.headers.push_back(
        {"Server-Load", std::to_string(m_running) + ",0," + std::to_string(m_options.slots) + ",100"});
    co_return response;
}

void worker_stand_in::hang(bool isHanging)
{
    const std::lock_guard guard(m_mutex);
    m_isHanging = isHanging;
}

std::map<std::string, unsigned> worker_stand_in::runsById() const
{
    const std::lock_guard guard(m_mutex);
    std::map<std::string, unsigned> runs;
    for (const auto &[id, seen] : m_seen) {
        runs[id] = seen.runs;
    }
    return runs;
}

seen_request worker_stand_in::seen(const std::string &id) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_seen.find(id);
    return found == m_seen.end() ? seen_request{} : found->second;
}

time_point worker_stand_in::lastStart() const
{
    const std::lock_guard guard(m_mutex);
    return m_lastStart;
}

unsigned worker_stand_in::totalRuns() const
{
    const std::lock_guard guard(m_mutex);
    return std::accumulate(m_seen.begin(), m_seen.end(), 0U, [](unsigned sum, const auto &item) {
        return sum + item.second.runs;
    });
}

std::vector<std::string> worker_stand_in::idsRunMoreThanOnce() const
{
    const std::lock_guard guard(m_mutex);
    std::vector<std::string> ids;
    for (const auto &[id, seen] : m_seen) {
        if (seen.runs > 1) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace pistachioquay::testing
