// Guards against requests that a stopping node accepts and cuts without an answer when it exits.
#include <catch2/catch.hpp>

#include "process/stopping/stopping.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // a clock that begins at zero
const stop_times stop{start, start + milliseconds(5750)};

late_request requestAt(milliseconds arrival, milliseconds timeLeft)
{
    late_request request;
    request.arrivedAt = start + arrival;
    request.latestEnd = request.arrivedAt + timeLeft;
    request.expectedTime = milliseconds(400);
    return request;
}

} // namespace

// Calls of the own worker were accepted up to the exit of the node, and cut there.
TEST_CASE("a call of the own worker is accepted late in the grace only if it ends before the node exits")
{
    late_request call = requestAt(milliseconds(5000), milliseconds(250));
    CHECK_FALSE(mayAcceptWhileStopping(stop, call));
    call.mayBeFromWorker = true;
    CHECK(mayAcceptWhileStopping(stop, call));
    call = requestAt(milliseconds(5400), milliseconds(250));
    call.mayBeFromWorker = true;
    CHECK_FALSE(mayAcceptWhileStopping(stop, call));
    call.isRetryable = true;
    CHECK_FALSE(mayAcceptWhileStopping(stop, call));
}

TEST_CASE("a request of a caller is accepted while its caller cannot know of the stop, and ends in time")
{
    CHECK(mayAcceptWhileStopping(stop, requestAt(milliseconds(0), milliseconds(2500))));
    CHECK(mayAcceptWhileStopping(stop, requestAt(milliseconds(2300), milliseconds(2500))));
    CHECK_FALSE(mayAcceptWhileStopping(stop, requestAt(milliseconds(2301), milliseconds(100))));
}

TEST_CASE("a request whose deadline lies behind the exit is accepted only if it may be repeated and is short")
{
    late_request request = requestAt(milliseconds(1000), milliseconds(6000));
    CHECK_FALSE(mayAcceptWhileStopping(stop, request));
    request.isRetryable = true;
    CHECK(mayAcceptWhileStopping(stop, request));
    request.expectedTime = milliseconds(2400);
    CHECK_FALSE(mayAcceptWhileStopping(stop, request));
}
