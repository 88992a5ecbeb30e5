#include "base/log_line.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <poll.h>
#include <unistd.h>

namespace pistachioquay {

namespace {

constexpr std::size_t flushBytes = 16UL * 1024; // a fuller buffer is written before the owner's timer
constexpr std::size_t pipeBytes = 4096; // a writable pipe takes at least this many bytes without blocking

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::ranges::any_of(value, [](unsigned char letter) {
               return letter <= ' ' || letter == '"' || letter == '=' || letter == 0x7f;
           });
}

void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            text += '\\';
            text += letter;
        } else {
            text += code < ' ' || code == 0x7f ? '?' : letter;
        }
    }
    text += '"';
}

template<class Number>
std::string_view numberText(Number value, std::array<char, 32> &buffer)
{
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), static_cast<std::size_t>(end - buffer.data())};
}

} // namespace

log_line::log_line(std::string_view part, std::string_view event)
{
    m_text.reserve(192);
    m_text += '[';
    m_text += part;
    m_text += "] ";
    m_text += event;
}

log_line &log_line::add(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (needsQuotes(value)) {
        appendQuoted(m_text, value);
    } else {
        m_text += value;
    }
    return *this;
}

log_line &log_line::add(std::string_view key, const char *value)
{
    return add(key, std::string_view(value));
}

log_line &log_line::add(std::string_view key, std::int64_t value)
{
    std::array<char, 32> buffer{};
    return add(key, numberText(value, buffer));
}

log_line &log_line::add(std::string_view key, std::uint64_t value)
{
    std::array<char, 32> buffer{};
    return add(key, numberText(value, buffer));
}

log_line &log_line::add(std::string_view key, int value)
{
    return add(key, static_cast<std::int64_t>(value));
}

log_line &log_line::add(std::string_view key, unsigned value)
{
    return add(key, static_cast<std::uint64_t>(value));
}

log_line &log_line::add(std::string_view key, double value)
{
    std::array<char, 32> buffer{};
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, 1).ptr;
    return add(key, std::string_view(buffer.data(), static_cast<std::size_t>(end - buffer.data())));
}

log_line &log_line::add(std::string_view key, bool value)
{
    return add(key, value ? std::string_view("yes") : std::string_view("no"));
}

log_writer::log_writer(int descriptor, log_options options)
    : m_descriptor(descriptor)
    , m_options(options)
{
}

log_writer::~log_writer()
{
    flush();
}

bool log_writer::takeToken(std::int64_t unixMs)
{
    const std::int64_t second = unixMs / 1000;
    if (second != m_second) {
        m_second = second;
        m_linesInSecond = 0;
    }
    return m_linesInSecond++ < m_options.linesPerSecond;
}

void log_writer::append(const log_line &line, std::int64_t unixMs)
{
    m_buffer += std::to_string(unixMs);
    m_buffer += ' ';
    m_buffer += line.text();
    m_buffer += '\n';
}

void log_writer::write(const log_line &line, std::int64_t unixMs)
{
    if (!takeToken(unixMs) || m_buffer.size() + line.text().size() + 32 > m_options.bufferBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_droppedReported) {
        append(log_line("log", "dropped").add("lines", m_dropped - m_droppedReported), unixMs);
        m_droppedReported = m_dropped;
    }
    append(line, unixMs);
    if (m_buffer.size() >= flushBytes) {
        flush();
    }
}

void log_writer::flush()
{
    while (!m_buffer.empty()) {
        pollfd state{m_descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
            return;
        }
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), pipeBytes));
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace pistachioquay
