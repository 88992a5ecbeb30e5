// Guards against a choice of workers by their reported slots where their nodes have learned that they run fewer
// requests well, or that their run times grow with the load.
#include <catch2/catch.hpp>

#include "request/placement/placement.h"

using namespace pistachioquay;

namespace {

const time_point start{}; // the epoch of the clock
const std::string service = "orders";

placement_state stateWith(const std::string &first, const std::string &second)
{
    placement_state state;
    state.nodeId = "self";
    state.dataCentre = "dc-1";
    setWorkers(state, service, {{first, 1, "dc-1", 6}, {second, 2, "dc-1", 6}});
    return state;
}

std::string chosen(const placement_state &state)
{
    placement_request request;
    request.route = "sign";
    request.priority = 1;
    request.targetMs = request.targetLeftMs = 400;
    request.timeLeftMs = 2000;
    random_generator generator(5);
    return chooseWorker(state, service, request, start, generator).nodeId.value_or("");
}

} // namespace

TEST_CASE("requests beyond those that a worker runs well count as waiting there")
{
    placement_state state = stateWith("early", "late");
    worker_report busy;
    busy.running = 3;
    recordReport(state, service, "late", busy, start);
    busy.usableSlots = 2;
    recordReport(state, service, "early", busy, start);
    CHECK(chosen(state) == "late");
    busy.usableSlots = 1000; // more than the worker has slots
    recordReport(state, service, "early", busy, start);
    busy.running = 4;
    recordReport(state, service, "late", busy, start);
    CHECK(chosen(state) == "early");
}
