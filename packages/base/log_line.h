// Structured log lines on standard output: `key=value` pairs behind a time and a part, one line for each event.
//
//   log_writer log(standardOutput, {});
//   log.write(log_line("outbound", "refused", now).add("id", requestId).add("reason", "queue-full"));
//   log.flush(now);                                            // from a timer of the owner
//
// A writer keeps a bounded buffer. It never blocks: what the descriptor does not take at once stays in the buffer, and
// lines that do not fit are dropped and counted. The next line that fits is preceded by a line with that count.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace pistachioquay {

inline constexpr int standardOutput = 1;

// One line that is being built. Values with blanks, quotes or control characters are quoted.
class log_line
{
public:
    log_line(std::string_view part, std::string_view event);

    log_line &add(std::string_view key, std::string_view value);
    log_line &add(std::string_view key, const char *value);
    log_line &add(std::string_view key, std::int64_t value);
    log_line &add(std::string_view key, std::uint64_t value);
    log_line &add(std::string_view key, int value);
    log_line &add(std::string_view key, unsigned value);
    log_line &add(std::string_view key, double value);
    log_line &add(std::string_view key, bool value);

    // text returns the line without its time and line end.
    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

struct log_options
{
    std::size_t bufferBytes = 256UL * 1024; // lines beyond this are dropped
    std::uint32_t linesPerSecond = 2000; // upper bound of the volume
};

// Not thread safe: one writer for each loop.
class log_writer
{
public:
    explicit log_writer(int descriptor, log_options options = {});
    log_writer(const log_writer &) = delete;
    log_writer &operator=(const log_writer &) = delete;
    ~log_writer();

    // write queues a line; `unixMs` is its time.
    void write(const log_line &line, std::int64_t unixMs);
    // flush hands queued lines to the descriptor as far as it takes them without blocking.
    void flush();
    // dropped returns how many lines were dropped since the start.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    bool takeToken(std::int64_t unixMs);
    void append(const log_line &line, std::int64_t unixMs);

    int m_descriptor;
    log_options m_options;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    std::int64_t m_second = 0;
    std::uint32_t m_linesInSecond = 0;
};

} // namespace pistachioquay
