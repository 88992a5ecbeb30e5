#include "connection/http/client.h"

#include <algorithm>
#include <array>
#include <cstring>

#include "connection/http/connection.h"

namespace pistachioquay {

namespace {

constexpr std::size_t responseBufferBytes = 32UL * 1024;
constexpr milliseconds longestPoll{1000};
constexpr unsigned firstFinalStatus = 200; // responses below are interim

struct slist_deleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};
using header_lines = std::unique_ptr<curl_slist, slist_deleter>;

void append(header_lines &lines, const std::string &line)
{
    lines.reset(curl_slist_append(lines.release(), line.c_str()));
}

header_lines headerLines(const request_head &head)
{
    header_lines lines;
    for (const header_field &field : head.headers) {
        // libcurl sends a header with an empty value only in the form "Name;".
        append(lines, field.value.empty() ? field.name + ";" : field.name + ": " + field.value);
    }
    if (!findHeader(head.headers, "accept")) {
        append(lines, "Accept:"); // suppresses the default of libcurl
    }
    append(lines, head.expectsContinue ? "Expect: 100-continue" : "Expect:");
    return lines;
}

std::string_view withoutLineEnd(std::string_view line)
{
    const auto end = line.find_last_not_of("\r\n");
    return end == std::string_view::npos ? std::string_view{} : line.substr(0, end + 1);
}

header_field parseHeaderLine(std::string_view line)
{
    const auto colon = line.find(':');
    const std::string_view value = line.substr(std::min(colon + 1, line.size()));
    const auto first = std::min(value.find_first_not_of(" \t"), value.size());
    const auto last = value.find_last_not_of(" \t");
    return {std::string(line.substr(0, colon)),
            last == std::string_view::npos ? std::string{} : std::string(value.substr(first, last - first + 1))};
}

// Returns the status of a status line; empty if the line is not one of HTTP/1.0 or 1.1, or if no request of this client
// can have this status.
std::optional<unsigned> parseStatusLine(std::string_view line)
{
    constexpr unsigned leastStatus = 100;
    constexpr unsigned greatestStatus = 599;
    constexpr unsigned switchingProtocols = 101; // the client sends no `Upgrade`
    constexpr std::size_t versionLength = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t statusLength = 3;
    if (!line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.0 ")) {
        return std::nullopt;
    }
    const std::string_view rest = line.substr(versionLength);
    const auto status = parseCount(rest.substr(0, statusLength));
    const bool isDelimited = rest.size() == statusLength || (rest.size() > statusLength && rest[statusLength] == ' ');
    if (!status || !isDelimited || *status < leastStatus || *status > greatestStatus || *status == switchingProtocols) {
        return std::nullopt;
    }
    return static_cast<unsigned>(*status);
}

// How the head of a response delimits its body.
struct response_framing
{
    std::optional<std::uint64_t> length;
    bool isChunked = false;
    call_failure failure = call_failure::None;
};

// Returns the framing that the headers announce. libcurl takes the last of several lengths and undoes other transfer
// codings than chunks; both would pass on another body than the one that the headers describe.
response_framing framingOf(const header_list &headers)
{
    response_framing framing;
    bool hasCoding = false;
    for (const header_field &field : headers) {
        if (isSameHeaderName(field.name, "transfer-encoding")) {
            framing.isChunked = isSameHeaderName(field.value, "chunked");
            const bool isOnlyCoding = framing.isChunked && !std::exchange(hasCoding, true);
            framing.failure = isOnlyCoding ? framing.failure : call_failure::Malformed;
        } else if (isSameHeaderName(field.name, "content-length")) {
            const auto length = parseCount(field.value);
            const bool isConsistent = length && framing.length.value_or(*length) == *length;
            framing.failure = isConsistent ? framing.failure : call_failure::Malformed;
            framing.length = length;
        }
    }
    if (framing.failure == call_failure::None && framing.isChunked && framing.length) {
        framing.failure = call_failure::Malformed;
    } else if (framing.failure == call_failure::None && !framing.isChunked && !framing.length) {
        framing.failure = call_failure::Undelimited;
    }
    return framing;
}

milliseconds timeLeft(time_point until, time_point now)
{
    return std::chrono::ceil<milliseconds>(until - now);
}

} // namespace

std::string_view failureName(call_failure failure)
{
    static constexpr std::array<std::string_view, 9> names = {"none",
                                                              "connection failed",
                                                              "truncated",
                                                              "undelimited",
                                                              "malformed",
                                                              "deadline passed",
                                                              "stalled",
                                                              "cancelled",
                                                              "busy"};
    return names.at(static_cast<std::size_t>(failure));
}

struct http_call::state
{
    state(client_pool &pool, client_request request, const caller_watch &watch)
        : pool(pool)
        , request(std::move(request))
        , watch(watch)
    {
    }

    client_pool &pool;
    client_request request;
    const caller_watch &watch;
    std::unique_ptr<internal::connection> link;
    header_lines lines;
    std::string url;

    std::string_view pending; // body bytes that libcurl has not taken yet
    bool isLast = false;
    bool isBodyWanted = false;
    bool isSendPaused = false;

    response_head head;
    bool hasHead = false;
    bool hasStatus = false;
    std::string received;
    std::size_t consumed = 0;
    bool isReceivePaused = false;

    bool isDone = false;
    call_progress progress = call_progress::NoConnection;
    call_failure failure = call_failure::None;

    void start();
    void setUpload();
    bool addHeadLine(std::string_view line);
    void endHead();
    void resume();
    template<class Condition>
    void drive(Condition isMet, time_point until, call_failure timeoutFailure);
    void finish(CURLcode code);
    void abandon(call_failure reason);
    void wait(time_point until);
    call_progress progressNow() const;

    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onReceive(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onSend(char *data, std::size_t size, std::size_t count, void *self);
};

void http_call::state::start()
{
    link = pool.take(request.target);
    if (!link) {
        isDone = true;
        failure = call_failure::TargetBusy;
        return;
    }
    link->begin();
    CURL *const easy = link->easy;
    lines = headerLines(request.head);
    url = "http://" + toText(request.target) + "/";
    const milliseconds connectTimeout = std::min(request.connectTimeout, timeLeft(request.deadline, steadyNow()));
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.head.target.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines.get());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, std::max<long>(1, connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &state::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &state::onReceive);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    setUpload();
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.head.method.c_str());
    curl_multi_add_handle(link->multi, easy);
}

void http_call::state::setUpload()
{
    CURL *const easy = link->easy;
    const auto length = request.head.bodyLength;
    const bool isBodyUsual = request.head.method != "GET" && request.head.method != "HEAD";
    if (request.head.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (length != 0 || isBodyUsual) {
        curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &state::onSend);
        curl_easy_setopt(easy, CURLOPT_READDATA, this);
        curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, length ? static_cast<curl_off_t>(*length) : -1);
        // The body is sent only after the target asked for it; the deadline of the call bounds the wait.
        curl_easy_setopt(easy, CURLOPT_EXPECT_100_TIMEOUT_MS, 3600L * 1000);
    }
}

std::size_t http_call::state::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &call = *static_cast<state *>(self);
    const bool isAccepted = call.hasHead // the rest are trailers
        || call.addHeadLine(withoutLineEnd({data, size * count}));
    return isAccepted ? size * count : 0; // 0 ends the call
}

// Adds a line of the head; returns false if the call has to end.
bool http_call::state::addHeadLine(std::string_view line)
{
    constexpr unsigned expectationFailed = 417;
    if (line.starts_with("HTTP/")) {
        const auto status = parseStatusLine(line);
        if (!status) {
            failure = call_failure::Malformed;
            return false;
        }
        head = response_head{*status, {}, std::nullopt};
        hasStatus = *status >= firstFinalStatus;
        // After 417 libcurl sends the request again without `Expect`; ending the call here prevents that.
        return *status != expectationFailed || !request.head.expectsContinue;
    }
    if (!line.empty()) {
        head.headers.push_back(parseHeaderLine(line));
        const header_field &added = head.headers.back();
        if (line.find(':') == std::string_view::npos || !isHeaderName(added.name) || !isHeaderValue(added.value)) {
            failure = call_failure::Malformed;
        }
    } else if (hasStatus) {
        endHead();
    }
    return failure != call_failure::Malformed;
}

void http_call::state::endHead()
{
    const response_framing framing = framingOf(head.headers);
    const bool hasNoBody = isBodiless(request.head.method, head.status);
    head.bodyLength = hasNoBody && !framing.length ? 0 : framing.length;
    const bool isAccepted = hasNoBody || request.acceptsUndelimited;
    if (framing.failure == call_failure::Malformed || !isAccepted) {
        failure = framing.failure;
    }
    hasHead = failure != call_failure::Malformed;
}

std::size_t http_call::state::onReceive(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &call = *static_cast<state *>(self);
    if (call.received.size() - call.consumed + size * count > responseBufferBytes) {
        call.isReceivePaused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    call.received.erase(0, std::exchange(call.consumed, 0));
    call.received.append(data, size * count);
    return size * count;
}

std::size_t http_call::state::onSend(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &call = *static_cast<state *>(self);
    call.isBodyWanted = true;
    if (call.pending.empty()) {
        call.isSendPaused = !call.isLast;
        return call.isLast ? 0 : CURL_READFUNC_PAUSE;
    }
    const std::size_t taken = std::min(size * count, call.pending.size());
    std::memcpy(data, call.pending.data(), taken);
    call.pending.remove_prefix(taken);
    return taken;
}

void http_call::state::resume()
{
    const bool canSend = isSendPaused && (!pending.empty() || isLast);
    const bool canReceive = isReceivePaused && consumed == received.size();
    if (isDone || (!canSend && !canReceive)) {
        return;
    }
    isSendPaused = isSendPaused && !canSend;
    isReceivePaused = isReceivePaused && !canReceive;
    // The callbacks set the flags again if they run inside this call and have to pause.
    curl_easy_pause(link->easy, (isSendPaused ? CURLPAUSE_SEND : 0) | (isReceivePaused ? CURLPAUSE_RECV : 0));
}

template<class Condition>
void http_call::state::drive(Condition isMet, time_point until, call_failure timeoutFailure)
{
    resume();
    while (!isDone && !isMet()) {
        int running = 0;
        curl_multi_perform(link->multi, &running);
        int queued = 0;
        while (const CURLMsg *const message = curl_multi_info_read(link->multi, &queued)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->data.result);
                return;
            }
        }
        if (failure == call_failure::Undelimited) {
            abandon(failure);
        } else if (isMet()) {
            return;
        } else if (steadyNow() >= until) {
            abandon(timeoutFailure);
        } else if (watch.isGone()) {
            abandon(call_failure::Cancelled);
        } else {
            wait(until);
        }
    }
}

void http_call::state::wait(time_point until)
{
    curl_waitfd caller{watch.fd(), CURL_WAIT_POLLIN, 0};
    const milliseconds left = std::clamp(timeLeft(until, steadyNow()), milliseconds(0), longestPoll);
    curl_multi_poll(link->multi, &caller, watch.fd() >= 0 ? 1 : 0, static_cast<int>(left.count()), nullptr);
}

call_progress http_call::state::progressNow() const
{
    if (hasStatus) {
        return call_progress::PartialResponse;
    }
    long sentBytes = 0;
    curl_easy_getinfo(link->easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    return sentBytes > 0 ? call_progress::SentNoResponse : call_progress::NoConnection;
}

void http_call::state::finish(CURLcode code)
{
    isDone = true;
    if (code == CURLE_OK && hasHead && failure == call_failure::None) {
        progress = call_progress::Complete;
    } else {
        progress = progressNow();
        failure = failure != call_failure::None ? failure
            : hasHead                           ? call_failure::Truncated
                                                : call_failure::Connection;
    }
    curl_multi_remove_handle(link->multi, link->easy);
    pool.giveBack(request.target, std::move(link), progress == call_progress::Complete);
}

void http_call::state::abandon(call_failure reason)
{
    isDone = true;
    failure = reason;
    progress = progressNow();
    curl_multi_remove_handle(link->multi, link->easy);
    pool.giveBack(request.target, std::move(link), false);
}

http_call::http_call(client_pool &pool, client_request request, const caller_watch &watch)
    : m_state(std::make_unique<state>(pool, std::move(request), watch))
{
    m_state->start();
}

http_call::~http_call()
{
    if (!m_state->isDone) {
        m_state->abandon(call_failure::Cancelled);
    }
}

bool http_call::awaitBodyWanted()
{
    state &call = *m_state;
    call.drive(
        [&] {
            return call.isBodyWanted || call.hasHead;
        },
        call.request.deadline,
        call_failure::DeadlinePassed);
    return !call.isDone && !call.hasHead;
}

bool http_call::send(std::string_view piece)
{
    state &call = *m_state;
    call.pending = piece;
    const time_point stalledAt = steadyNow() + call.request.stallTimeout;
    const bool isDeadlineFirst = call.request.deadline < stalledAt;
    call.drive(
        [&] {
            return call.pending.empty() || call.hasHead;
        },
        std::min(call.request.deadline, stalledAt),
        isDeadlineFirst ? call_failure::DeadlinePassed : call_failure::Stalled);
    const bool isTaken = call.pending.empty();
    call.pending = {};
    return isTaken && !call.isDone && !call.hasHead;
}

void http_call::provideLast(std::string_view piece)
{
    m_state->pending = piece;
    m_state->isLast = true;
}

const response_head *http_call::awaitHead()
{
    state &call = *m_state;
    call.drive(
        [&] {
            return call.hasHead;
        },
        call.request.deadline,
        call_failure::DeadlinePassed);
    return call.hasHead && call.failure != call_failure::Undelimited ? &call.head : nullptr;
}

bool http_call::awaitSmallBody()
{
    state &call = *m_state;
    if (!call.hasHead || call.head.bodyLength.value_or(responseBufferBytes + 1) > responseBufferBytes) {
        return call.progress == call_progress::Complete;
    }
    call.drive(
        [] {
            return false;
        },
        call.request.deadline,
        call_failure::DeadlinePassed);
    return call.progress == call_progress::Complete;
}

std::optional<std::string> http_call::takeWhole()
{
    state &call = *m_state;
    if (call.progress != call_progress::Complete) {
        return std::nullopt;
    }
    call.received.erase(0, std::exchange(call.consumed, 0));
    return std::exchange(call.received, {});
}

read_result http_call::read(std::span<char> buffer)
{
    state &call = *m_state;
    call.drive(
        [&] {
            return call.consumed < call.received.size();
        },
        call.request.deadline,
        call_failure::DeadlinePassed);
    const std::size_t bytes = std::min(buffer.size(), call.received.size() - call.consumed);
    if (bytes == 0) {
        return {call.progress == call_progress::Complete ? read_state::End : read_state::Cut, 0};
    }
    std::memcpy(buffer.data(), call.received.data() + call.consumed, bytes);
    call.consumed += bytes;
    return {read_state::Data, bytes};
}

call_progress http_call::progress() const
{
    return m_state->isDone ? m_state->progress : m_state->progressNow();
}

call_failure http_call::failure() const
{
    return m_state->failure;
}

std::optional<std::string> readBody(http_call &call, std::size_t maxBytes)
{
    std::string body;
    std::array<char, 16384> buffer{};
    read_result piece = call.read(buffer);
    while (piece.state == read_state::Data && body.size() + piece.bytes <= maxBytes) {
        body.append(buffer.data(), piece.bytes);
        piece = call.read(buffer);
    }
    return piece.state == read_state::End ? std::optional(std::move(body)) : std::nullopt;
}

} // namespace pistachioquay
