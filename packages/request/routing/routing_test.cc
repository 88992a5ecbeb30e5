// Guards the choice of workers: calls to workers that left or were tried, a slowed worker that keeps its share,
// ejection that takes out so many workers that the rest collapses, and state that grows with churn.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "request/routing/routing.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};

worker workerOf(std::size_t index, std::uint64_t incarnation = 1, std::string_view dataCentre = "be-1")
{
    return {"node-" + std::to_string(index),
            incarnation,
            std::string(dataCentre),
            "orders",
            {},
            6,
            start - seconds(60)};
}

service_workers workersOf(std::size_t count)
{
    service_workers workers;
    for (std::size_t each = 0; each < count; ++each) {
        workers.local.push_back(workerOf(each));
    }
    return workers;
}

call_result completed(milliseconds latency)
{
    return {call_outcome::Completed, latency, std::nullopt};
}

// Runs calls one at a time, 10 ms apart; `latencyOf` tells how long a worker takes. Returns the calls per node.
template<class LatencyOf>
std::map<std::string, int> runCalls(routing_state &state, int count, time_point &now, LatencyOf &&latencyOf)
{
    random_generator generator(7);
    std::map<std::string, int> calls;
    for (int each = 0; each < count; ++each) {
        const call_choice call = beginCall(state, {}, now, generator);
        REQUIRE(call.target);
        ++calls[call.target->nodeId];
        const milliseconds latency = latencyOf(call.target->nodeId);
        endCall(state, call, completed(latency), now + latency);
        now += milliseconds(10);
    }
    return calls;
}

class routing_model
{
public:
    void step(std::uint32_t word, random_generator &generator)
    {
        m_now += milliseconds((word >> 3U) % 50U);
        const std::uint32_t choice = word >> 9U;
        if (word % 8U == 0) {
            changeView(choice);
        } else if (word % 8U < 5U) {
            begin(choice, generator);
        } else if (!m_open.empty()) {
            end(choice);
        }
        RC_ASSERT(m_state.ejected * ejectedShareDivisor <= m_state.local.size());
        RC_ASSERT(static_cast<std::size_t>(std::ranges::count_if(m_state.local, &internal::tracked_worker::isEjected))
                  == m_state.ejected);
        RC_ASSERT(m_state.local.size() == m_view.local.size());
        for (const internal::tracked_worker &tracked : m_state.local) {
            RC_ASSERT(tracked.outstanding <= m_open.size());
            RC_ASSERT(tracked.open.size() <= m_open.size());
        }
    }

private:
    void changeView(std::uint32_t choice)
    {
        m_view = {};
        for (std::size_t each = 0; each < 7; ++each) {
            if ((choice >> each & 1U) != 0) {
                m_view.local.push_back(workerOf(each, 1 + (choice >> 8U) % 2U));
            }
        }
        m_view.remote.push_back(workerOf(20, 1, "be-2"));
        m_view.remoteSpareSlots["be-2"] = (choice >> 9U) % 4U;
        updateWorkers(m_state, m_view, m_now);
    }

    void begin(std::uint32_t choice, random_generator &generator)
    {
        const std::vector<std::string> tried = {"node-" + std::to_string(choice % 7U)};
        const bool wasSaturated = isSaturated(m_state, m_now);
        const call_choice call = beginCall(m_state, {static_cast<work_class>(choice % 4U), tried}, m_now, generator);
        if (!call.target) {
            return;
        }
        RC_ASSERT(call.target->nodeId != tried.front());
        const auto &known = call.isSpill ? m_view.remote : m_view.local;
        RC_ASSERT(std::ranges::find(known, *call.target) != known.end());
        if (call.isSpill) {
            RC_ASSERT(m_view.remoteSpareSlots.at("be-2") > 0U);
            RC_ASSERT(m_state.spill.front().outstanding <= m_view.remoteSpareSlots.at("be-2"));
            const bool mayBeLastSpare = m_state.local.size() <= 1U + m_state.ejected || !wasSaturated;
            RC_ASSERT(wasSaturated || mayBeLastSpare);
        }
        m_open.push_back(call);
    }

    void end(std::uint32_t choice)
    {
        const auto chosen = m_open.begin() + static_cast<std::ptrdiff_t>(choice % m_open.size());
        const auto ending = static_cast<call_outcome>(choice / 64U % 7U);
        const load_report load{choice / 16U % 8U, choice / 32U % 8U};
        endCall(m_state, *chosen, {ending, milliseconds(choice / 512U % 300U), load}, m_now);
        m_open.erase(chosen);
    }

    routing_state m_state;
    service_workers m_view;
    time_point m_now = start;
    std::vector<call_choice> m_open;
};

} // namespace

TEST_CASE("choices follow the view, and at most a third of the workers is ejected")
{
    CHECK(holds("routing", 3000, [](std::uint32_t seed, const std::vector<std::uint32_t> &words) {
        routing_model model;
        random_generator generator(seed);
        for (const std::uint32_t word : words) {
            model.step(word, generator);
        }
    }));
}

TEST_CASE("a slowed worker gets hardly any calls")
{
    routing_state state;
    time_point now = start;
    updateWorkers(state, workersOf(4), now);
    runCalls(state, 100, now, [](const std::string &) {
        return milliseconds(10);
    });
    const auto slowed = runCalls(state, 600, now, [](const std::string &node) {
        return milliseconds(node == "node-2" ? 100 : 10);
    });
    CHECK(slowed.at("node-2") <= 6); // in 6 s; its share of 600 calls would be 150
}

TEST_CASE("a worker is out after three slow calls, is probed by single calls and comes back")
{
    routing_state state;
    time_point now = start;
    updateWorkers(state, workersOf(4), now);
    runCalls(state, 100, now, [](const std::string &) {
        return milliseconds(10);
    });
    random_generator generator(1);
    const std::vector<std::string> others = {"node-0", "node-1", "node-3"};
    for (int each = 0; each < 3; ++each) {
        CHECK_FALSE(isSlow(state, "node-2"));
        const call_choice call = beginCall(state, {work_class::Interactive, others}, now, generator);
        REQUIRE(call.target->nodeId == "node-2");
        endCall(state, call, completed(milliseconds(100)), now);
    }
    CHECK(isSlow(state, "node-2"));
    const auto probes = runCalls(state, 500, now, [](const std::string &node) {
        return milliseconds(node == "node-2" ? 100 : 10);
    });
    CHECK(probes.at("node-2") <= 2); // 5 s: at 1.5 and 4 s
    CHECK(isSlow(state, "node-2"));
    runCalls(state, 500, now, [](const std::string &) {
        return milliseconds(10);
    });
    CHECK_FALSE(isSlow(state, "node-2"));
}

TEST_CASE("open calls that are overdue eject a worker before its first slow response")
{
    routing_state state;
    time_point now = start;
    updateWorkers(state, workersOf(4), now);
    runCalls(state, 100, now, [](const std::string &) {
        return milliseconds(10);
    });
    random_generator generator(3);
    int hanging = 0;
    for (int each = 0; each < 400; ++each) {
        const call_choice call = beginCall(state, {}, now, generator);
        if (call.target->nodeId == "node-1") {
            ++hanging;
        } else {
            endCall(state, call, completed(milliseconds(10)), now);
        }
        now += milliseconds(2);
    }
    CHECK(hanging <= 12); // 800 ms; those sent before the first one was overdue, and one probe
}

TEST_CASE("a worker that happens to serve long uploads is not taken for slow")
{
    routing_state state;
    time_point now = start;
    updateWorkers(state, workersOf(4), now);
    random_generator generator(5);
    for (int each = 0; each < 400; ++each) {
        const call_choice call = beginCall(state, {}, now, generator);
        endCall(state, call, completed(milliseconds(10)), now);
        call_choice upload = beginCall(state, {work_class::Upload, {}}, now, generator);
        const bool isFirst = upload.target->nodeId == "node-0";
        endCall(state,
                upload,
                isFirst ? completed(milliseconds(900)) : call_result{call_outcome::Cancelled, {}, {}},
                now);
        now += milliseconds(10);
    }
    CHECK(state.ejected == 0);
}

TEST_CASE("a worker that has just become ready gets a small share at first")
{
    service_workers workers = workersOf(4);
    workers.local[3].readySince = start;
    routing_state state;
    time_point now = start;
    updateWorkers(state, workers, now);
    const auto calls = runCalls(state, 100, now, [](const std::string &) {
        return milliseconds(5);
    });
    const auto share = calls.contains("node-3") ? calls.at("node-3") : 0;
    CHECK(share <= 15);
}

TEST_CASE("work spills to another data centre only when no local slot is spare, and only as far as told")
{
    service_workers workers = workersOf(2);
    workers.remote.push_back(workerOf(9, 1, "be-2"));
    workers.remoteSpareSlots["be-2"] = 8;
    routing_state state;
    updateWorkers(state, workers, start);
    random_generator generator(1);
    std::map<std::string, int> calls;
    for (int each = 0; each < 20; ++each) {
        ++calls[beginCall(state, {}, start, generator).target->nodeId];
    }
    CHECK(calls.at("node-9") == 2); // a quarter of 8 spare slots
    CHECK(calls.at("node-0") + calls.at("node-1") == 18);
    CHECK(isSaturated(state, start));
}

TEST_CASE("a worker without connection is left alone, and a higher incarnation starts afresh")
{
    routing_state state;
    time_point now = start;
    updateWorkers(state, workersOf(2), now);
    random_generator generator(2);
    call_choice call;
    do {
        call = beginCall(state, {}, now, generator);
    } while (call.target->nodeId != "node-0");
    endCall(state, call, {call_outcome::NoConnection, {}, {}}, now);
    CHECK_FALSE(runCalls(state, 5, now, [](const std::string &) {
                    return milliseconds(1);
                }).contains("node-0"));
    service_workers workers = workersOf(2);
    workers.local[0].incarnation = 2;
    updateWorkers(state, workers, now);
    CHECK(state.local[0].pausedUntil == time_point());
    endCall(state, call, completed(milliseconds(1)), now); // of the earlier incarnation: ignored
    CHECK(state.local[0].latency.at(1).count == 0);
}
