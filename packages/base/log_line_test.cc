// Guards against log lines that cannot be parsed, and against a reader of the log that blocks the loop.
#include <catch2/catch.hpp>

#include <array>

#include <unistd.h>

#include "base/log_line.h"

using namespace pistachioquay;

namespace {

std::string readAll(int descriptor)
{
    std::array<char, 65536> buffer{};
    const ssize_t count = ::read(descriptor, buffer.data(), buffer.size());
    return {buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
}

} // namespace

TEST_CASE("values are quoted where a reader could mistake them")
{
    const log_line line =
        log_line("part", "event").add("plain", "a-1").add("blank", "a b").add("empty", "").add("n", 3);
    CHECK(line.text() == "[part] event plain=a-1 blank=\"a b\" empty=\"\" n=3");
    CHECK(log_line("part", "event").add("text", "a\"\nb").text() == "[part] event text=\"a\\\"?b\"");
}

TEST_CASE("a writer stops at its lines per second and tells how many it dropped")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    {
        log_writer writer(ends[1], {.bufferBytes = 4096, .linesPerSecond = 3});
        for (int index = 0; index < 5; ++index) {
            writer.write(log_line("part", "event"), 1000);
        }
        CHECK(writer.dropped() == 2);
        writer.write(log_line("part", "later"), 2000);
    }
    const std::string text = readAll(ends[0]);
    CHECK(text.find("[log] dropped lines=2") != std::string::npos);
    CHECK(text.find("[part] later") != std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("a reader that reads nothing does not block the writer")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    {
        log_writer writer(ends[1], {.bufferBytes = 200000, .linesPerSecond = 100000});
        for (int index = 0; index < 20000; ++index) {
            writer.write(log_line("part", "event").add("index", index), 1000);
        }
        writer.flush();
        CHECK(writer.dropped() > 0);
    }
    ::close(ends[0]);
    ::close(ends[1]);
}
