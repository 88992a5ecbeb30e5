// Guards against more running requests than slots, which overload the worker; a lost ticket, whose caller waits without
// end; and a ticket granted twice, which runs its request twice.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "request/admission/admission.h"
#include "testing/property.h"

using namespace pistachioquay;

namespace {

const time_point start{seconds(1000)};

admission_request requestOf(work_class workClass, time_point deadline)
{
    return {workClass, deadline, {}, {}};
}

bool isHeavy(work_class workClass)
{
    return workClass == work_class::Upload || workClass == work_class::Background;
}

// Tracks every ticket from admission to release and checks the rules of admission.h after each step.
class ticket_model
{
public:
    explicit ticket_model(std::uint32_t slots)
        : m_state(makeAdmission(slots, "n1", start - newNodeShareDelay))
    {
    }

    void step(std::uint32_t word)
    {
        m_now += milliseconds((word >> 3U) % 40U);
        const std::uint32_t choice = word >> 9U;
        switch (word % 8U) {
        case 0:
        case 1:
        case 2:
        case 3:
            request(static_cast<work_class>(choice % 4U), milliseconds(choice / 4U % 400U));
            break;
        case 4:
        case 5:
            end(choice, [&](std::uint64_t ticket) {
                release(m_state, ticket, choice % 3U != 0, m_now, m_events);
            });
            break;
        case 6:
            end(choice, [&](std::uint64_t ticket) {
                cancel(m_state, ticket, m_now, m_events);
            });
            break;
        default:
            advance(m_state, m_now, m_events);
            break;
        }
        applyEvents();
        checkInvariants();
    }

    void drain()
    {
        setMode(m_state, serving_mode::Draining, m_now, m_events);
        applyEvents();
        RC_ASSERT(m_queued.empty());
        RC_ASSERT(waitingCount(m_state) == 0U);
        checkInvariants();
    }

private:
    void request(work_class workClass, milliseconds left)
    {
        const limit_bound bound{0, 5};
        const admission_result result = admit(m_state, {workClass, m_now + left, "orders", bound}, m_now);
        if (result.kind == admission_kind::Refused) {
            RC_ASSERT(result.reason != refusal_reason::None);
            return;
        }
        RC_ASSERT(m_queued.count(result.ticket) + m_granted.count(result.ticket) == 0U);
        RC_ASSERT(left > milliseconds(0));
        auto &tickets = result.kind == admission_kind::Granted ? m_granted : m_queued;
        tickets[result.ticket] = {workClass, m_now + left};
    }

    // Ends a ticket that `choice` selects: cancels it if it is queued, calls `endGranted` otherwise.
    template<class EndGranted>
    void end(std::uint32_t choice, EndGranted &&endGranted)
    {
        auto &tickets = choice % 4U == 0 && !m_queued.empty() ? m_queued : m_granted;
        if (tickets.empty()) {
            return;
        }
        const auto chosen = std::next(tickets.begin(), choice / 4U % tickets.size());
        if (&tickets == &m_queued) {
            cancel(m_state, chosen->first, m_now, m_events);
        } else {
            endGranted(chosen->first);
        }
        tickets.erase(chosen);
    }

    void applyEvents()
    {
        for (const admission_event &event : m_events) {
            const auto found = m_queued.find(event.ticket);
            RC_ASSERT(found != m_queued.end());
            if (event.reason == refusal_reason::None) {
                RC_ASSERT(found->second.deadline > m_now);
                m_granted.insert(*found);
            }
            m_queued.erase(found);
        }
        m_events.clear();
    }

    void checkInvariants() const
    {
        const auto heavy = static_cast<std::uint32_t>(std::ranges::count_if(m_granted, [](const auto &each) {
            return isHeavy(each.second.workClass);
        }));
        RC_ASSERT(m_granted.size() <= m_state.slots);
        RC_ASSERT(runningCount(m_state) == m_granted.size());
        RC_ASSERT(waitingCount(m_state) == m_queued.size());
        RC_ASSERT(heavy <= heavySlots(m_state.slots));
        const auto &limits = m_state.limits.entries;
        const std::size_t inUse = limits.empty() ? 0 : limits.front().inUse;
        RC_ASSERT(inUse == m_granted.size() + m_queued.size());
        RC_ASSERT(m_state.slots == 1U || heavy < m_state.slots);
    }

    struct tracked_ticket
    {
        work_class workClass;
        time_point deadline;
    };
    admission_state m_state;
    time_point m_now = start;
    admission_events m_events;
    std::map<std::uint64_t, tracked_ticket> m_queued;
    std::map<std::uint64_t, tracked_ticket> m_granted;
};

// Returns the state of a worker with one slot, which ticket 1 holds.
admission_state makeBusy()
{
    admission_state state = makeAdmission(1, "n1", start);
    REQUIRE(admit(state, requestOf(work_class::Interactive, start + seconds(1)), start).kind
            == admission_kind::Granted);
    return state;
}

} // namespace

TEST_CASE(
    "slots and class shares are never exceeded, and no ticket is lost, granted twice or granted after its deadline")
{
    CHECK(holds("admission tickets", 4000, [](std::uint8_t slots, const std::vector<std::uint32_t> &words) {
        ticket_model model(1U + slots % 8U);
        for (const std::uint32_t word : words) {
            model.step(word);
        }
        model.drain();
    }));
}

TEST_CASE("a free slot goes to the class of highest priority, not to the earliest arrival")
{
    admission_state state = makeBusy();
    admission_events events;
    const auto upload = admit(state, requestOf(work_class::Upload, start + seconds(9)), start);
    const auto interactive = admit(state, requestOf(work_class::Interactive, start + seconds(9)), start);
    const auto lookup = admit(state, requestOf(work_class::Lookup, start + seconds(9)), start);
    release(state, 1, true, start + milliseconds(1), events);
    release(state, lookup.ticket, true, start + milliseconds(2), events);
    release(state, interactive.ticket, true, start + milliseconds(3), events);
    const admission_events expected = {{lookup.ticket, refusal_reason::None},
                                       {interactive.ticket, refusal_reason::None},
                                       {upload.ticket, refusal_reason::None}};
    CHECK(events == expected);
}

TEST_CASE("uploads and background requests leave slots for short requests")
{
    admission_state state = makeAdmission(6, "n1", start);
    for (int each = 0; each < 6; ++each) {
        admit(state, requestOf(work_class::Upload, start + seconds(30)), start);
        admit(state, requestOf(work_class::Background, start + seconds(30)), start);
    }
    CHECK(runningCount(state) == 2);
    CHECK(admit(state, requestOf(work_class::Lookup, start + seconds(1)), start).kind == admission_kind::Granted);
}

TEST_CASE("an upload that has waited for half of the time to its deadline goes before interactive requests")
{
    admission_state state = makeAdmission(6, "n1", start);
    admission_events events;
    std::vector<std::uint64_t> running(6);
    for (std::uint64_t &ticket : running) {
        ticket = admit(state, requestOf(work_class::Interactive, start + seconds(9)), start).ticket;
    }
    const auto upload = admit(state, requestOf(work_class::Upload, start + seconds(4)), start);
    const auto waiting = admit(state, requestOf(work_class::Interactive, start + seconds(9)), start);
    release(state, running.at(0), false, start + seconds(1), events);
    CHECK(events == admission_events{{waiting.ticket, refusal_reason::None}});
    const auto later = start + milliseconds(2100);
    admit(state, requestOf(work_class::Interactive, later + seconds(9)), later);
    events.clear();
    release(state, running.at(1), false, later, events);
    CHECK(events == admission_events{{upload.ticket, refusal_reason::None}});
}

TEST_CASE("a queued upload starts at a wakeup, without a release, once the demand for short requests has decayed")
{
    admission_state state = makeAdmission(6, "n1", start);
    admission_events events;
    std::vector<std::uint64_t> running(5);
    for (std::uint64_t &ticket : running) {
        ticket = admit(state, requestOf(work_class::Interactive, start + seconds(60)), start).ticket;
    }
    time_point now = start + seconds(5);
    REQUIRE(admit(state, requestOf(work_class::Upload, now + seconds(60)), now).kind == admission_kind::Granted);
    const auto second = admit(state, requestOf(work_class::Upload, now + seconds(60)), now);
    for (const std::uint64_t ticket : running) {
        release(state, ticket, true, now, events);
    }
    REQUIRE(events.empty());
    while (events.empty() && now < start + seconds(8)) {
        now = nextWakeup(state).value();
        advance(state, now, events);
    }
    CHECK(events == admission_events{{second.ticket, refusal_reason::None}});
}

TEST_CASE("a request that cannot finish before its deadline is refused on arrival")
{
    admission_state state = makeBusy();
    admission_events events;
    release(state, 1, true, start + milliseconds(100), events);
    const time_point now = start + milliseconds(100);
    REQUIRE(admit(state, requestOf(work_class::Interactive, now + seconds(1)), now).kind == admission_kind::Granted);
    const auto result = admit(state, requestOf(work_class::Interactive, now + milliseconds(120)), now);
    CHECK(result == admission_result{admission_kind::Refused, 0, refusal_reason::DeadlineTooClose});
}

TEST_CASE("a queued ticket whose deadline passes is refused at the next wakeup")
{
    admission_state state = makeBusy();
    admission_events events;
    const auto queued = admit(state, requestOf(work_class::Interactive, start + milliseconds(80)), start);
    REQUIRE(queued.kind == admission_kind::Queued);
    REQUIRE(nextWakeup(state) == start + milliseconds(80));
    advance(state, start + milliseconds(80), events);
    CHECK(events == admission_events{{queued.ticket, refusal_reason::DeadlinePassed}});
    CHECK_FALSE(nextWakeup(state));
}

TEST_CASE("new and queued background requests are shed while short requests wait")
{
    admission_state state = makeBusy();
    admission_events events;
    const auto background = admit(state, requestOf(work_class::Background, start + seconds(60)), start);
    REQUIRE(background.kind == admission_kind::Queued);
    admit(state, requestOf(work_class::Lookup, start + seconds(5)), start);
    admit(state, requestOf(work_class::Lookup, start + seconds(5)), start);
    CHECK(admit(state, requestOf(work_class::Background, start + seconds(60)), start).reason == refusal_reason::Shed);
    advance(state, start + milliseconds(1), events);
    CHECK(events == admission_events{{background.ticket, refusal_reason::Shed}});
}

TEST_CASE("a draining worker refuses new and queued requests and keeps the running one")
{
    admission_state state = makeBusy();
    admission_events events;
    const auto queued = admit(state, requestOf(work_class::Interactive, start + seconds(5)), start);
    setMode(state, serving_mode::Draining, start, events);
    CHECK(events == admission_events{{queued.ticket, refusal_reason::Draining}});
    CHECK(admit(state, requestOf(work_class::Lookup, start + seconds(5)), start).reason == refusal_reason::Draining);
    CHECK(runningCount(state) == 1);
}

TEST_CASE("the queue of a class is bounded")
{
    admission_state state = makeBusy();
    unsigned queued = 0;
    while (admit(state, requestOf(work_class::Upload, start + seconds(60)), start).kind == admission_kind::Queued) {
        ++queued;
        REQUIRE(queued < 100);
    }
    CHECK(queued == maxQueuedPerSlot.at(2));
}
