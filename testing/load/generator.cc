#include "testing/load/generator.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

#include <curl/curl.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "testing/harness/head_watch.h"
#include "testing/load/response_check.h"

namespace pistachioquay {

namespace {

struct easy_deleter
{
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};

struct list_deleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct multi_deleter
{
    void operator()(CURLM *multi) const
    {
        curl_multi_cleanup(multi);
    }
};

// One request in flight; kept for the next request after its end.
struct transfer
{
    std::unique_ptr<CURL, easy_deleter> handle{curl_easy_init()};
    std::unique_ptr<curl_slist, list_deleter> headers;
    std::size_t index = 0;
    int sends = 0;
    received_response received;
    head_watch head;
};

// Requests of one target.
struct target_state
{
    std::size_t inFlight = 0;
    std::deque<std::size_t> waiting;
};

std::size_t onBody(char *data, std::size_t, std::size_t size, void *context)
{
    static_cast<transfer *>(context)->received.body.append(data, size);
    return size;
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *context)
{
    constexpr std::string_view name = "X-Pq-Outcome:";
    const std::string_view line(data, size);
    addHeadLine(static_cast<transfer *>(context)->head, line);
    if (line.size() > name.size() && strncasecmp(data, name.data(), name.size()) == 0) {
        const std::size_t start = std::min(line.find_first_not_of(' ', name.size()), line.size());
        const std::size_t end = std::min(line.find_first_of("\r\n", start), line.size());
        static_cast<transfer *>(context)->received.outcomeHeader = line.substr(start, end - start);
    }
    return size;
}

// libcurl sends a request again by itself when a kept connection closes before the response. A caller must not do so
// with a request that is not idempotent, and the record of runs would blame the system for it.
int onBeforeSend(void *context, char *, char *, int, int)
{
    return ++static_cast<transfer *>(context)->sends > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

class load_run
{
public:
    explicit load_run(const load_plan &plan)
        : m_plan(plan)
        , m_arrivals(planArrivals(plan))
        , m_results(m_arrivals.size())
        , m_targets(plan.targets.size())
        , m_multi(curl_multi_init())
        , m_epoll(epoll_create1(EPOLL_CLOEXEC))
        , m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK))
    {
        for (const load_class &each : plan.classes) {
            m_bodies.emplace_back(each.requestBytes, 'x');
        }
        const auto all = static_cast<long>(plan.connectionsPerTarget * plan.targets.size());
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, all);
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETFUNCTION, &onSocket);
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERFUNCTION, &onTimer);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERDATA, this);
        epoll_event event{EPOLLIN, {.fd = m_timer}};
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_timer, &event);
    }
    ~load_run()
    {
        for (const auto &each : m_transfers) {
            curl_multi_remove_handle(m_multi.get(), each->handle.get());
        }
        m_multi.reset();
        close(m_timer);
        close(m_epoll);
    }
    load_run(const load_run &) = delete;
    load_run &operator=(const load_run &) = delete;

    bool isReady() const
    {
        return m_multi && m_epoll >= 0 && m_timer >= 0;
    }

    std::vector<request_result> run(const std::stop_token &stop)
    {
        m_start = steadyNow();
        std::size_t next = 0;
        while (m_inFlight > 0 || m_waiting > 0 || (next < m_arrivals.size() && !stop.stop_requested())) {
            while (next < m_arrivals.size() && m_start + m_arrivals[next].at <= steadyNow()) {
                enqueue(next++);
            }
            armTimer(next);
            waitAndAct();
            collectEnds();
        }
        m_results.resize(next);
        return std::move(m_results);
    }

private:
    static int onSocket(CURL *, curl_socket_t socket, int what, void *self, void *)
    {
        const int epoll = static_cast<load_run *>(self)->m_epoll;
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(epoll, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event{};
        event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        event.data.fd = socket;
        if (epoll_ctl(epoll, EPOLL_CTL_MOD, socket, &event) != 0) {
            epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event);
        }
        return 0;
    }

    static int onTimer(CURLM *, long timeoutMs, void *self)
    {
        auto &run = *static_cast<load_run *>(self);
        run.m_curlDue = timeoutMs < 0 ? time_point::max() : steadyNow() + milliseconds(timeoutMs);
        return 0;
    }

    // The kernel wakes the run when the next request is due or libcurl wants to act, to the microsecond.
    void armTimer(std::size_t next)
    {
        constexpr milliseconds longestSleep(100); // bounds the reaction to a stop request
        constexpr std::int64_t nanosPerSecond = 1'000'000'000;
        time_point due = std::min(m_curlDue, steadyNow() + longestSleep);
        if (next < m_arrivals.size()) {
            due = std::min(due, m_start + m_arrivals[next].at);
        }
        const std::int64_t nanos = std::chrono::nanoseconds(due.time_since_epoch()).count();
        const itimerspec when{{0, 0}, {nanos / nanosPerSecond, nanos % nanosPerSecond}};
        timerfd_settime(m_timer, TFD_TIMER_ABSTIME, &when, nullptr);
    }

    void waitAndAct()
    {
        constexpr int maxEvents = 256;
        constexpr int longestWaitMs = 1000;
        std::array<epoll_event, maxEvents> events{};
        const int count = epoll_wait(m_epoll, events.data(), maxEvents, longestWaitMs);
        int running = 0;
        for (int index = 0; index < count; ++index) {
            const epoll_event &event = events.at(static_cast<std::size_t>(index));
            if (event.data.fd == m_timer) {
                continue;
            }
            const int in = (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 ? CURL_CSELECT_IN : 0;
            const int out = (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
            curl_multi_socket_action(m_multi.get(), event.data.fd, in | out, &running);
        }
        if (m_curlDue <= steadyNow()) {
            m_curlDue = time_point::max();
            curl_multi_socket_action(m_multi.get(), CURL_SOCKET_TIMEOUT, 0, &running);
        }
    }

    transfer &freeTransfer()
    {
        if (m_free.empty()) {
            m_transfers.push_back(std::make_unique<transfer>());
            m_free.push_back(m_transfers.back().get());
        }
        transfer &chosen = *m_free.back();
        m_free.pop_back();
        chosen.sends = 0;
        chosen.received = {};
        chosen.head = {};
        curl_easy_reset(chosen.handle.get());
        return chosen;
    }

    void setHeaders(transfer &chosen, const load_class &wanted, const arrival &planned, const std::string &id)
    {
        curl_slist *list = curl_slist_append(nullptr, ("X-Test-Request-Id: " + id).c_str());
        list = curl_slist_append(list, "Expect:"); // no wait for `100 Continue`
        list = curl_slist_append(list, "Content-Type: application/octet-stream");
        if (wanted.hasKey) {
            list = curl_slist_append(list, ("Idempotency-Key: " + id).c_str());
        }
        if (wanted.service.meanMs >= 0) {
            const double millis = std::chrono::duration<double, std::milli>(planned.service).count();
            list = curl_slist_append(list, ("X-Test-Service-Ms: " + std::to_string(millis)).c_str());
        }
        if (wanted.responseBytes > 0) {
            const std::string bytes = std::to_string(wanted.responseBytes);
            list = curl_slist_append(list, ("X-Test-Response-Bytes: " + bytes).c_str());
        }
        for (const auto &[name, value] : wanted.headers) {
            std::string line = name;
            line.append(": ").append(value);
            list = curl_slist_append(list, line.c_str());
        }
        chosen.headers.reset(list);
        curl_easy_setopt(chosen.handle.get(), CURLOPT_HTTPHEADER, list);
    }

    void setCallbacks(transfer &chosen)
    {
        CURL *handle = chosen.handle.get();
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &chosen);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &chosen);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onBeforeSend);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &chosen);
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &chosen);
    }

    // libcurl does not serve transfers that wait for a connection in order, so they wait here.
    void enqueue(std::size_t index)
    {
        if (m_plan.chooseTarget) {
            m_arrivals[index].target = m_plan.chooseTarget();
        }
        request_result &result = m_results[index];
        result.id = requestId(m_plan, index);
        result.planned = m_arrivals[index];
        result.sendDelay = steadyNow() - (m_start + result.planned.at);
        m_targets[result.planned.target].waiting.push_back(index);
        ++m_waiting;
        launchWaiting(result.planned.target);
    }

    void launchWaiting(std::size_t target)
    {
        target_state &state = m_targets[target];
        while (!state.waiting.empty() && state.inFlight < m_plan.connectionsPerTarget) {
            const std::size_t index = state.waiting.front();
            state.waiting.pop_front();
            --m_waiting;
            const duration waited = steadyNow() - (m_start + m_arrivals[index].at);
            const milliseconds timeout = m_plan.classes[m_arrivals[index].classIndex].timeout;
            const auto left = std::chrono::duration_cast<milliseconds>(timeout - waited);
            if (left > milliseconds(0)) {
                launch(index, left);
            } else {
                m_results[index].outcome = request_outcome::NoConnection;
                m_results[index].latency = waited;
            }
        }
    }

    void launch(std::size_t index, milliseconds timeout)
    {
        const arrival &planned = m_arrivals[index];
        const load_class &wanted = m_plan.classes[planned.classIndex];
        const std::string &body = m_bodies[planned.classIndex];
        transfer &chosen = freeTransfer();
        chosen.index = index;
        CURL *handle = chosen.handle.get();
        const std::string url = "http://" + toText(m_plan.targets[planned.target]) + wanted.path;
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
        if (wanted.method != "GET" || !body.empty()) {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
        }
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, wanted.method.c_str());
        setHeaders(chosen, wanted, planned, m_results[index].id);
        setCallbacks(chosen);
        curl_multi_add_handle(m_multi.get(), handle);
        ++m_inFlight;
        ++m_targets[planned.target].inFlight;
    }

    void collectEnds()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi.get(), &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *handle, CURLcode code)
    {
        char *context = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &context);
        auto &done = *reinterpret_cast<transfer *>(context);
        request_result &result = m_results[done.index];
        result.latency = steadyNow() - (m_start + result.planned.at);
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &done.received.status);
        result.status = done.received.status;
        const load_class &wanted = m_plan.classes[result.planned.classIndex];
        if (code == CURLE_OK && isWholeHead(done.head, done.received.status)) {
            result.outcome = classify(done.received, {result.id, wanted.requestBytes, wanted.responseBytes});
        } else if (done.sends == 0 && code == CURLE_COULDNT_CONNECT) {
            result.outcome = request_outcome::NoConnection;
        }
        curl_multi_remove_handle(m_multi.get(), handle);
        m_free.push_back(&done);
        --m_inFlight;
        --m_targets[result.planned.target].inFlight;
        launchWaiting(result.planned.target);
    }

    const load_plan &m_plan;
    std::vector<arrival> m_arrivals;
    std::vector<request_result> m_results;
    std::vector<target_state> m_targets;
    std::vector<std::string> m_bodies;
    std::vector<std::unique_ptr<transfer>> m_transfers;
    std::vector<transfer *> m_free;
    std::unique_ptr<CURLM, multi_deleter> m_multi;
    int m_epoll = -1;
    int m_timer = -1;
    std::size_t m_inFlight = 0;
    std::size_t m_waiting = 0;
    time_point m_start;
    time_point m_curlDue = time_point::max();
};

} // namespace

result<std::vector<request_result>> runLoad(const load_plan &plan, const std::stop_token &stop)
{
    if (plan.targets.empty() || plan.classes.empty()) {
        return fail(error_kind::InvalidArgument, "the plan has no target or no class", "add at least one of each");
    }
    load_run run(plan);
    if (!run.isReady()) {
        return fail(error_kind::Io, "cannot set up libcurl or the timer", "raise the limit of open files");
    }
    return run.run(stop);
}

} // namespace pistachioquay
