// Stand-ins for the platform, workers and clients, and a supervisor for the daemons, on loopback addresses. One thread
// for each connection; plain POSIX sockets, no libraries. Used by the cases of the third review.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand_ins {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

inline time_point now()
{
    return clock_type::now();
}
inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Lines with the milliseconds since the start of the case: what was sent, answered and run.
class record_file
{
public:
    explicit record_file(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    ~record_file()
    {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }
    long long ms() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_start).count();
    }
    void line(const char *format, ...)
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard guard(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8lld %s\n", ms(), text);
            std::fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    time_point m_start = now();
};

struct address
{
    std::string ip;
    int port = 0;
    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline sockaddr_in toSockaddr(const address &to)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(to.port));
    inet_pton(AF_INET, to.ip.c_str(), &raw.sin_addr);
    return raw;
}

inline int listenOn(const address &at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in raw = toSockaddr(at);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof(raw)) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const address &to, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in raw = toSockaddr(to);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&raw), sizeof(raw)) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd watched{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&watched, 1, timeoutMs) <= 0 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool writeAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct message
{
    std::string first; // request or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string target() const // of a request
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    int status() const // of a response
    {
        return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
    }
};

// Reads one message with a Content-Length or without a body. `rest` keeps bytes that were read beyond it.
inline bool readMessage(int fd, message &got, std::string &rest, int timeoutMs)
{
    const time_point until = now() + std::chrono::milliseconds(timeoutMs);
    std::vector<char> chunk(256 * 1024);
    const auto readMore = [&] {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now()).count();
        pollfd watched{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&watched, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        const ssize_t count = ::recv(fd, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            return false;
        }
        rest.append(chunk.data(), static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = std::string::npos;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore()) {
            return false;
        }
    }
    got = {};
    std::size_t at = 0;
    for (bool isFirst = true; at < end; isFirst = false) {
        const std::size_t lineEnd = std::min(rest.find("\r\n", at), end);
        const std::string line = rest.substr(at, lineEnd - at);
        at = lineEnd + 2;
        if (isFirst) {
            got.first = line;
            continue;
        }
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return std::tolower(letter);
        });
        const auto value = line.find_first_not_of(' ', colon + 1);
        got.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    rest.erase(0, end + 4);
    const std::size_t length = std::strtoull(got.header("content-length").c_str(), nullptr, 10);
    while (rest.size() < length) {
        if (!readMore()) {
            return false;
        }
    }
    got.body = rest.substr(0, length);
    rest.erase(0, length);
    return true;
}

// Serves each connection in a thread. The handler returns the bytes of the response, or nothing to reset the connection.
class http_server
{
public:
    using handler = std::function<std::optional<std::string>(const message &, int fd)>;

    http_server(address at, handler serve)
        : m_state(std::make_shared<state>())
        , m_at(std::move(at))
    {
        m_state->serve = std::move(serve);
    }
    ~http_server()
    {
        stop();
    }
    bool start()
    {
        const int fd = listenOn(m_at);
        if (fd < 0) {
            return false;
        }
        m_state->isStopped = false;
        m_state->listener = fd;
        std::thread([state = m_state, fd] {
            while (!state->isStopped) {
                pollfd watched{fd, POLLIN, 0};
                if (::poll(&watched, 1, 20) <= 0) {
                    continue;
                }
                const int connection = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    continue;
                }
                const int on = 1;
                ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                const std::lock_guard guard(state->mutex);
                state->open.push_back(connection);
                std::thread([state, connection] {
                    std::string rest;
                    message request;
                    while (!state->isStopped && readMessage(connection, request, rest, 600000)) {
                        const auto response = state->serve(request, connection);
                        if (!response) {
                            const linger reset{1, 0};
                            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                            break;
                        }
                        if (!writeAll(connection, *response)) {
                            break;
                        }
                    }
                    const std::lock_guard inner(state->mutex);
                    std::erase(state->open, connection);
                    ::close(connection);
                }).detach();
            }
            ::close(fd);
        }).detach();
        return true;
    }
    // stop closes the port and resets the connections.
    void stop()
    {
        if (m_state->isStopped.exchange(true)) {
            return;
        }
        {
            const std::lock_guard guard(m_state->mutex);
            for (const int fd : m_state->open) {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        sleepMs(50);
    }

private:
    struct state
    {
        std::atomic<bool> isStopped{true};
        int listener = -1;
        handler serve;
        std::mutex mutex;
        std::vector<int> open;
    };
    std::shared_ptr<state> m_state;
    address m_at;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string parameter(const std::string &target, const std::string &name)
{
    const auto query = target.find('?');
    const std::string text = query == std::string::npos ? "" : "&" + target.substr(query + 1);
    const auto at = text.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::string rest = text.substr(at + name.size() + 2);
    return rest.substr(0, rest.find('&'));
}

inline std::string bigEndian(std::uint64_t value, unsigned bytes)
{
    std::string text;
    for (unsigned index = bytes; index > 0; --index) {
        text += static_cast<char>((value >> (8U * (index - 1))) & 0xffU);
    }
    return text;
}

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t part = 0; part < 3; ++part) {
            group = (group << 8U) | (part < count ? static_cast<unsigned char>(bytes[index + part]) : 0U);
        }
        for (std::size_t part = 0; part < 4; ++part) {
            text += part <= count ? digits[(group >> (18 - 6 * part)) & 63U] : '=';
        }
    }
    return text;
}

inline std::string jsonText(const std::string &text)
{
    std::string quoted = "\"";
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            quoted += '\\';
        }
        quoted += letter;
    }
    return quoted + "\"";
}

// The platform's metadata store: keyed topics with one partition, as PROTOCOL.md describes them.
class store
{
public:
    explicit store(address at)
        : m_server(at, [this](const message &request, int fd) {
            return serve(request, fd);
        })
    {
    }
    bool start()
    {
        return m_server.start();
    }
    // goAway resets all connections and refuses new ones; comeBack serves again.
    void goAway()
    {
        m_isAway = true;
        m_server.stop();
    }
    bool comeBack()
    {
        m_isAway = false;
        return m_server.start();
    }
    // put appends a record, as the operator does, and returns its offset.
    std::uint64_t put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard guard(m_mutex);
        append(m_topics[topic], static_cast<char>(key.size()) + key + value);
        m_changed.notify_all();
        return m_topics[topic].size() - 1;
    }
    std::uint64_t end(const std::string &topic)
    {
        const std::lock_guard guard(m_mutex);
        return m_topics[topic].size();
    }
    std::vector<std::string> keys(const std::string &topic)
    {
        const std::lock_guard guard(m_mutex);
        std::vector<std::string> names;
        for (const auto &[key, entry] : newest(m_topics[topic])) {
            names.push_back(key);
        }
        return names;
    }
    // takeCopy keeps the state of the store; loadCopy returns to it, in a new era.
    void takeCopy()
    {
        const std::lock_guard guard(m_mutex);
        m_copy = m_topics;
    }
    void loadCopy()
    {
        const std::lock_guard guard(m_mutex);
        m_topics = m_copy;
        ++m_era;
    }
    std::function<void(const std::string &)> onRead; // called with the target of each /log-read and /log-newest

private:
    using log = std::vector<std::string>;

    static void append(log &records, std::string record)
    {
        records.push_back(std::move(record));
    }
    static std::map<std::string, std::pair<std::string, std::uint64_t>> newest(const log &records)
    {
        std::map<std::string, std::pair<std::string, std::uint64_t>> found;
        for (std::size_t offset = 0; offset < records.size(); ++offset) {
            const std::string &record = records[offset];
            const std::size_t length = static_cast<unsigned char>(record.front());
            const std::string key = record.substr(1, length);
            if (record.size() == 1 + length) {
                found.erase(key);
            } else {
                found[key] = {record.substr(1 + length), offset};
            }
        }
        return found;
    }
    std::string headers(const std::string &type) const
    {
        return "Content-Type: " + type + "\r\nStore-Era: " + std::to_string(m_era) + "\r\n";
    }
    std::optional<std::string> serve(const message &request, int fd)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string topic = parameter(target, "topic");
        if (onRead && path != "/log-append") {
            onRead(target);
        }
        sleepMs(4);
        std::unique_lock lock(m_mutex);
        if (m_isAway) {
            return std::nullopt;
        }
        log &records = m_topics[topic];
        if (path == "/log-append") {
            if (topic == "keyed.op" || topic == "keyed.servers") {
                return response(403, headers("application/json"), "{}");
            }
            const std::string at = parameter(target, "at");
            if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != records.size()) {
                return response(412,
                                headers("application/json"),
                                "{\"endOffset\":" + std::to_string(records.size()) + "}");
            }
            const std::uint64_t offset = records.size();
            std::string_view rest = request.body;
            while (rest.size() >= 4) {
                std::size_t length = 0;
                for (const char byte : rest.substr(0, 4)) {
                    length = (length << 8U) | static_cast<unsigned char>(byte);
                }
                append(records, std::string(rest.substr(4, length)));
                rest.remove_prefix(std::min(rest.size(), 4 + length));
            }
            m_changed.notify_all();
            return response(200,
                            headers("application/json"),
                            "{\"offset\":" + std::to_string(offset)
                                + ",\"endOffset\":" + std::to_string(records.size()) + "}");
        }
        if (path == "/log-newest") {
            std::string items;
            for (const auto &[key, entry] : newest(records)) {
                items += (items.empty() ? "" : ",") + ("{\"key\":" + jsonText(key)) + ",\"value\":\""
                    + base64(entry.first) + "\",\"offset\":" + std::to_string(entry.second) + "}";
            }
            return response(200,
                            headers("application/json"),
                            "{\"items\":[" + items + "],\"hasMore\":false,\"endOffset\":"
                                + std::to_string(records.size()) + "}");
        }
        if (path == "/log-read") {
            const std::uint64_t from = std::strtoull(parameter(target, "from").c_str(), nullptr, 10);
            const long waitMs = std::atol(parameter(target, "waitMs").c_str());
            const time_point until = now() + std::chrono::milliseconds(waitMs);
            const std::uint64_t era = m_era;
            if (from > records.size()) {
                return response(410, headers("application/json"), "{\"firstOffset\":0}");
            }
            while (m_topics[topic].size() <= from && now() < until && !m_isAway && era == m_era) {
                m_changed.wait_until(lock, std::min(until, now() + std::chrono::milliseconds(20)));
            }
            if (m_isAway || era != m_era) {
                return std::nullopt;
            }
            const log &current = m_topics[topic];
            std::string body = bigEndian(current.size(), 8) + bigEndian(0, 8);
            for (std::uint64_t offset = from; offset < current.size(); ++offset) {
                body += bigEndian(current[offset].size(), 4) + current[offset];
            }
            return response(200, headers("application/octet-stream"), body);
        }
        (void)fd;
        return response(404, headers("application/json"), "{}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, log> m_topics;
    std::map<std::string, log> m_copy;
    std::uint64_t m_era = 1;
    std::atomic<bool> m_isAway{false};
    http_server m_server;
};

struct run_entry
{
    std::string id;
    std::string target;
    std::string tenant;
    std::size_t bodyBytes = 0;
    long long startedMs = 0; // of the record
    long long endedMs = -1; // -1: still running, or cut
};

// An application worker. Runs a request for `run=MS` of its query and answers with `bytes=N` bytes.
class worker
{
public:
    struct options
    {
        std::string id;
        std::string service;
        std::string zone;
        address at;
        address control; // of the node beside it
        int slots = 6;
        int beatMs = 1500;
    };

    worker(options settings, record_file &record)
        : m_options(std::move(settings))
        , m_record(record)
        , m_server(m_options.at, [this](const message &request, int fd) {
            return serve(request, fd);
        })
    {
    }
    ~worker()
    {
        m_isStopped = true;
        if (m_beats.joinable()) {
            m_beats.join();
        }
        m_server.stop();
    }
    bool start()
    {
        if (!m_server.start()) {
            return false;
        }
        m_beats = std::thread([this] {
            while (!m_isStopped) {
                beat();
                for (int waited = 0; waited < m_options.beatMs && !m_isStopped; waited += 20) {
                    sleepMs(20);
                }
            }
        });
        return true;
    }
    std::vector<run_entry> runs()
    {
        const std::lock_guard guard(m_mutex);
        return m_runs;
    }

private:
    void beat()
    {
        // A worker repeats a notice at once that was not acknowledged.
        for (int tries = 0; tries < 5 && !m_isStopped; ++tries) {
            const std::string body = "{\"address\":\"" + m_options.at.text() + "\",\"born\":" + std::to_string(m_born)
                + ",\"information\":{\"service\":\"" + m_options.service + "\",\"version\":\"v1\",\"zone\":\""
                + m_options.zone + "\",\"slots\":" + std::to_string(m_options.slots)
                + "},\"status\":{\"state\":\"ready\",\"sequence\":" + std::to_string(++m_sequence)
                + ",\"coldRemainingMs\":0}}";
            const address to = m_replyTo.value_or(m_options.control);
            const int fd = connectTo(to, 1000);
            message got;
            std::string rest;
            const bool isAnswered = fd >= 0
                && writeAll(fd,
                            "POST /instances/" + m_options.id + "/heartbeat HTTP/1.1\r\nHost: " + to.text()
                                + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body)
                && readMessage(fd, got, rest, 1000) && got.status() == 200;
            if (fd >= 0) {
                ::close(fd);
            }
            if (!isAnswered) {
                m_replyTo.reset();
                sleepMs(fd < 0 ? 200 : 10);
                continue;
            }
            const std::string field = "\"heartbeatAddress\":\"";
            const auto at = got.body.find(field);
            if (at != std::string::npos) {
                const std::string text = got.body.substr(at + field.size());
                const std::string named = text.substr(0, text.find('"'));
                const auto colon = named.find(':');
                m_replyTo = address{named.substr(0, colon), std::atoi(named.c_str() + colon + 1)};
            }
            return;
        }
    }
    std::optional<std::string> serve(const message &request, int fd)
    {
        const std::string id = request.header("request-attempt-id");
        const std::string echo = "Request-Attempt-Id: " + id + "\r\n";
        const std::string target = request.target();
        if (target == "/health") {
            return response(200, "Instance-Id: " + m_options.id + "\r\n", "");
        }
        if (id.empty()) {
            return response(400, "Not-Executed: 1\r\n", "");
        }
        const std::string expected = request.header("expected-instance");
        if (!expected.empty() && expected != m_options.id) {
            return response(421, echo, "");
        }
        std::size_t entry = 0;
        {
            const std::lock_guard guard(m_mutex);
            if (m_running >= m_options.slots) {
                return response(503, echo + "Not-Executed: 1\r\n", "");
            }
            ++m_running;
            entry = m_runs.size();
            m_runs.push_back({id, target, request.header("tenant"), request.body.size(), m_record.ms(), -1});
        }
        m_record.line("worker %s runs %s %s (body %zu bytes, tenant '%s')",
                      m_options.id.c_str(),
                      id.c_str(),
                      target.c_str(),
                      request.body.size(),
                      request.header("tenant").c_str());
        const long runMs = std::max(2L, std::atol(parameter(target, "run").c_str()));
        const time_point until = now() + std::chrono::milliseconds(runMs);
        bool isCut = false;
        while (now() < until && !isCut && !m_isStopped) {
            pollfd watched{fd, POLLRDHUP, 0};
            isCut = ::poll(&watched, 1, 5) > 0;
        }
        {
            const std::lock_guard guard(m_mutex);
            --m_running;
            if (!isCut) {
                m_runs[entry].endedMs = m_record.ms();
            }
        }
        m_record.line("worker %s %s %s", m_options.id.c_str(), isCut ? "drops" : "ends", id.c_str());
        if (isCut || m_isStopped) {
            return std::nullopt;
        }
        const std::size_t bytes = std::strtoull(parameter(target, "bytes").c_str(), nullptr, 10);
        return response(200,
                        echo + "Server-Signature: stand-in." + m_options.id
                            + "\r\nServer-Load: 1,0," + std::to_string(m_options.slots) + ",100\r\n",
                        std::string(bytes > 0 ? bytes : 5, 'b'));
    }

    options m_options;
    record_file &m_record;
    std::mutex m_mutex;
    std::vector<run_entry> m_runs;
    int m_running = 0;
    long long m_born = unixMs();
    std::uint64_t m_sequence = 0;
    std::optional<address> m_replyTo;
    std::atomic<bool> m_isStopped{false};
    std::thread m_beats;
    http_server m_server;
};

struct answer
{
    int status = 0; // 0: the connection ended without a complete answer
    bool isSigned = false;
    std::string retryAfter;
    std::size_t bytes = 0;
    long long sentMs = 0;
    long long endedMs = 0;
};

struct client_request
{
    std::string method = "GET";
    std::string host = "jepu9.example";
    std::string target;
    std::string id;
    std::string key; // of a tenant
    std::string body;
    long timeLeftMs = 2000;
};

inline std::string encode(const client_request &request)
{
    return request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\nRequest-Attempt-Id: "
        + request.id + "\r\nDeadline-Milliseconds: " + std::to_string(request.timeLeftMs) + "\r\n"
        + (request.key.empty() ? "" : "Authorization: Token " + request.key + "\r\n")
        + (request.body.empty() && request.method == "GET"
               ? ""
               : "Content-Length: " + std::to_string(request.body.size()) + "\r\n")
        + "\r\n" + request.body;
}

// Sends one request on a new connection and waits for its answer.
inline answer ask(const address &node, const client_request &request, record_file &record)
{
    answer got;
    got.sentMs = record.ms();
    const int fd = connectTo(node, 1000);
    message reply;
    std::string rest;
    record.line("client sends %s %s (time left %ld ms)", request.id.c_str(), request.target.c_str(), request.timeLeftMs);
    if (fd >= 0 && writeAll(fd, encode(request))
        && readMessage(fd, reply, rest, static_cast<int>(request.timeLeftMs + 1000))) {
        got.status = reply.status();
        got.isSigned = !reply.header("server-signature").empty();
        got.retryAfter = reply.header("retry-after");
        got.bytes = reply.body.size();
    }
    if (fd >= 0) {
        ::close(fd);
    }
    got.endedMs = record.ms();
    record.line("client gets %s status %d%s after %lld ms",
                request.id.c_str(),
                got.status,
                got.status == 0 ? " (no complete answer)" : got.isSigned ? " (signed)" : "",
                got.endedMs - got.sentMs);
    return got;
}

// A machine: a daemon as the deploy file starts it, and its settings.
struct node_options
{
    std::string name;
    std::string service;
    std::string zone;
    int memoryMb = 260;
    double linkMbps = 1000;
    int beatMs = 1500;
    std::string bounds; // further lines of terms.bounds
};

class node
{
public:
    static constexpr int inboundPort = 0;
    static constexpr int workerPort = 1;
    static constexpr int readyPort = 2;
    static constexpr int outboundPort = 4;
    static constexpr int controlPort = 6;
    static constexpr int internalPort = 10; // the first of 16

    node(node_options settings, std::string ip, int basePort, std::string folder, address store, record_file &record)
        : m_options(std::move(settings))
        , m_ip(std::move(ip))
        , m_base(basePort)
        , m_folder(std::move(folder))
        , m_store(std::move(store))
        , m_record(record)
    {
    }
    ~node()
    {
        kill();
    }
    address at(int offset) const
    {
        return {m_ip, m_base + offset};
    }
    const node_options &options() const
    {
        return m_options;
    }
    std::string logPath() const
    {
        return m_folder + "/" + m_options.name + ".log";
    }
    // start runs `target/packages/pistachioquayd/pistachioquayd --platform --fixed-slots` in the repository's root.
    bool start()
    {
        const std::string settings = m_folder + "/" + m_options.name + ".toml";
        std::FILE *file = std::fopen(settings.c_str(), "w");
        if (file == nullptr) {
            return false;
        }
        std::fputs(text().c_str(), file);
        std::fclose(file);
        const std::string variable = "PISTACHIOQUAY_NODE_FILE=" + settings;
        const std::string log = logPath();
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(127);
            }
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const char *program = "target/packages/pistachioquayd/pistachioquayd";
            const char *arguments[] = {program, "--platform", "--fixed-slots", nullptr};
            const char *environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr};
            ::execve(program, const_cast<char **>(arguments), const_cast<char **>(environment));
            ::_exit(127);
        }
        m_record.line("machine %s: daemon started, pid %d", m_options.name.c_str(), static_cast<int>(m_pid));
        return m_pid > 0;
    }
    void signal(int number)
    {
        if (m_pid > 0 && isRunning()) {
            m_record.line("machine %s: signal %d", m_options.name.c_str(), number);
            ::kill(m_pid, number);
        }
    }
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            int status = 0;
            ::waitpid(m_pid, &status, 0);
            m_pid = -1;
        }
    }
    // isRunning returns false once the process has ended, and records how.
    bool isRunning()
    {
        if (m_pid <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_record.line("machine %s: daemon ended, %s %d",
                          m_options.name.c_str(),
                          WIFSIGNALED(status) ? "signal" : "exit code",
                          WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
            m_pid = -1;
            return false;
        }
        return true;
    }
    // memoryKb returns the resident memory of the process, or its largest value so far.
    long memoryKb(bool isPeak) const
    {
        std::FILE *file = m_pid > 0 ? std::fopen(("/proc/" + std::to_string(m_pid) + "/status").c_str(), "r") : nullptr;
        long kb = 0;
        char line[256];
        while (file != nullptr && std::fgets(line, sizeof(line), file) != nullptr) {
            if (std::strncmp(line, isPeak ? "VmHWM:" : "VmRSS:", 6) == 0) {
                kb = std::atol(line + 6);
            }
        }
        if (file != nullptr) {
            std::fclose(file);
        }
        return kb;
    }
    bool isReady() const
    {
        const int fd = connectTo(at(readyPort), 300);
        message got;
        std::string rest;
        const bool isGood = fd >= 0 && writeAll(fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            && readMessage(fd, got, rest, 1000) && got.status() == 200;
        if (fd >= 0) {
            ::close(fd);
        }
        return isGood;
    }
    // metric returns the value of a metric of the daemon; -1 if it has none.
    double metric(const std::string &name) const
    {
        const int fd = connectTo(at(readyPort), 300);
        message got;
        std::string rest;
        double value = -1;
        if (fd >= 0 && writeAll(fd, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n") && readMessage(fd, got, rest, 1000)) {
            const auto found = ("\n" + got.body).find("\n" + name + " ");
            if (found != std::string::npos) {
                value = std::atof(got.body.c_str() + found + name.size() + 1);
            }
        }
        if (fd >= 0) {
            ::close(fd);
        }
        return value;
    }

private:
    std::string text() const
    {
        const auto quoted = [this](int offset) {
            return "\"" + at(offset).text() + "\"\n";
        };
        std::string settings = "[self]\nnodeName = \"" + m_options.name + "\"\nrole = \"node\"\nmachineClass = \"sidecar\"\n"
            + "serves = [\"sidecar\"]\nipAddress = \"" + m_ip + "\"\nzone = \"" + m_options.zone
            + "\"\nregion = \"dakar\"\ncountsTowardTolerance = false\nfirstStart = true\napplicationAddress = "
            + quoted(workerPort) + "service = \"" + m_options.service
            + "\"\n[self.limits]\ncpuShare = 0.2\ncpuCores = 1\nmemoryMb = " + std::to_string(m_options.memoryMb)
            + "\nfileDescriptors = 4100\nlinkBandwidthMbps = " + std::to_string(m_options.linkMbps)
            + "\ndiskMb = 0\n[network]\ninternalPortRange = [" + std::to_string(m_base + internalPort) + ","
            + std::to_string(m_base + internalPort + 15) + "]\nseeds = []\n[network.listenAddresses]\ninbound = "
            + quoted(inboundPort) + "outbound = " + quoted(outboundPort) + "ready = " + quoted(readyPort)
            + "control = " + quoted(controlPort) + "[platform]\ndiscovery = \"local\"\nentry = \"local\"\n"
            + "heartbeatIntervalMs = " + std::to_string(m_options.beatMs) + "\n[platform.platform]\naddress = \""
            + m_store.text() + "\"\nform = \"log\"\nwritesPerS = 400\nreadsPerS = 2000\nparts = 8\nappendMs = 4.0\n"
            + "partitionMbS = 20.0\nreadMbS = 80.0\nrecordBytes = 262144\ncallBytes = 2097152\nkeep_s = 300\n"
            + "partitionMb = 200\nminTtlMs = 1000\n[terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\","
            + "\"retry\",\"recover\",\"platform\"]\n[terms.faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
            + "[terms.bounds]\nseedLagS = 3\naddressReuseS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\n"
            + "drainTimeoutMs = 2000\ngracePeriodS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
            + "rollbackSlackMs = 250\nouterBoundMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
            + "budgetExtraRetries = 64\nrecoveryS = 15\n" + m_options.bounds;
        return settings;
    }

    node_options m_options;
    std::string m_ip;
    int m_base;
    std::string m_folder;
    address m_store;
    record_file &m_record;
    pid_t m_pid = -1;
};

// Free loopback addresses for one case, and a temporary folder that is removed at the end.
class site
{
public:
    site()
    {
        std::random_device device;
        char pattern[] = "/tmp/review-3-XXXXXX";
        m_folder = ::mkdtemp(pattern) != nullptr ? pattern : "/tmp";
        for (int tries = 0; tries < 200; ++tries) {
            m_prefix = "127." + std::to_string(1 + device() % 250) + "." + std::to_string(device() % 250) + ".";
            m_base = 20000 + static_cast<int>(device() % 10000);
            bool isFree = true;
            for (int offset = 0; offset < 30 && isFree; ++offset) {
                const int fd = listenOn({m_prefix + "1", m_base + offset});
                isFree = fd >= 0;
                if (fd >= 0) {
                    ::close(fd);
                }
            }
            if (isFree) {
                return;
            }
        }
    }
    ~site()
    {
        if (std::getenv("KEEP") == nullptr && m_folder != "/tmp") {
            for (const std::string &name : m_files) {
                ::unlink((m_folder + "/" + name).c_str());
            }
            ::rmdir(m_folder.c_str());
        }
    }
    void addFiles(const std::string &node)
    {
        m_files.push_back(node + ".toml");
        m_files.push_back(node + ".log");
    }
    const std::string &folder() const
    {
        return m_folder;
    }
    int basePort() const
    {
        return m_base;
    }
    std::string ip(int number) const
    {
        return m_prefix + std::to_string(number);
    }
    address storeAddress() const
    {
        return {ip(250), m_base + 9};
    }

private:
    std::string m_folder;
    std::string m_prefix;
    int m_base = 0;
    std::vector<std::string> m_files;
};

// A small deployment: a store, and machines with a daemon and a worker each.
class deployment
{
public:
    deployment(const std::string &recordPath, std::vector<node_options> machines, int slots = 6)
        : record(recordPath)
        , platform(m_site.storeAddress())
    {
        int number = 1;
        for (node_options &options : machines) {
            m_site.addFiles(options.name);
            const std::string ip = m_site.ip(number++);
            nodes.push_back(
                std::make_unique<node>(options, ip, m_site.basePort(), m_site.folder(), m_site.storeAddress(), record));
            const node &each = *nodes.back();
            workers.push_back(std::make_unique<worker>(worker::options{"i-" + options.name,
                                                                       options.service,
                                                                       options.zone,
                                                                       each.at(node::workerPort),
                                                                       each.at(node::controlPort),
                                                                       slots,
                                                                       options.beatMs},
                                                       record));
        }
    }
    bool startMachine(std::size_t index)
    {
        return nodes[index]->start() && workers[index]->start();
    }
    // waitFor waits until the condition holds; false after `ms`.
    static bool waitFor(long ms, const std::function<bool()> &condition)
    {
        const time_point until = now() + std::chrono::milliseconds(ms);
        while (now() < until) {
            if (condition()) {
                return true;
            }
            sleepMs(20);
        }
        return condition();
    }

    record_file record;

private:
    site m_site;

public:
    store platform;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<worker>> workers;
};

// One route of a configuration.
struct route
{
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 1000;
    int targetMs = 300;
    int attempts = 2;
};

// configText returns a configuration as the operator writes it. `tenants` is the JSON of the list, if there is one.
inline std::string configText(int version,
                              const std::vector<route> &routes,
                              const std::vector<std::string> &services,
                              const std::string &tenants = {})
{
    std::string rules;
    for (const route &each : routes) {
        rules += (rules.empty() ? "" : ",") + ("{\"name\":\"r-" + each.prefix) + "\",\"kind\":\"" + each.kind
            + "\",\"targetLatencyMs\":" + std::to_string(each.targetMs) + ",\"priority\":1,\"match\":{\"pathPrefix\":\""
            + each.prefix + "\"},\"action\":{\"service\":\"" + each.service
            + "\",\"timeoutMs\":" + std::to_string(each.timeoutMs)
            + ",\"maxAttempts\":" + std::to_string(each.attempts) + "}}";
    }
    std::string clusters;
    for (const std::string &service : services) {
        clusters += (clusters.empty() ? "" : ",") + ("{\"name\":\"" + service)
            + "\",\"healthCheckPath\":\"/health\",\"connectionLimit\":130,\"protocol\":\"h1\",\"tls\":false}";
    }
    return "{\"version\":" + std::to_string(version)
        + ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
          "\"idleTimeoutMs\":15000},"
        + (tenants.empty() ? "" : "\"tenants\":" + tenants + ",") + "\"listeners\":[{\"host\":\"jepu9.example\",\"rules\":["
        + rules + "]}],\"clusters\":[" + clusters + "]}";
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

} // namespace stand_ins
