#include "process/node/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include <glog/logging.h>

#include "connection/wire/codec.h"
#include "process/node/pause.h"

namespace pistachioquay {

namespace {

constexpr std::string_view rendezvousStream = "rendezvous";
constexpr std::uint32_t readBack = 64; // records; several rounds of 8 data centres
constexpr std::size_t contactsPerRecord = 5;
constexpr milliseconds planInterval{500};

// Spreads the interval by half on each side, so that restarted nodes do not act together.
duration jittered(seconds interval, random_generator &generator)
{
    return interval / 2 + fullJitter(interval, interval, 0, generator);
}

} // namespace

rendezvous_plan planRendezvous(const rendezvous_facts &facts, time_point now)
{
    return {
        .shouldRead = (facts.isReader || !facts.isAnswered) && now >= facts.nextRead,
        .shouldWrite = facts.isFirstReader && now >= facts.nextWrite,
    };
}

std::vector<endpoint> newestContacts(const std::vector<log_record> &records)
{
    std::map<std::string, std::vector<endpoint>> byDataCentre;
    decode_counters counters;
    for (const log_record &each : records) {
        auto record = attempt([&] {
            return decodeMessage<rendezvous_record>(each.data, rendezvousFormat, counters);
        });
        if (record) {
            byDataCentre[record->dataCentre] = std::move(record->gossip);
        }
    }
    std::vector<endpoint> contacts;
    for (auto &[name, addresses] : byDataCentre) {
        std::ranges::move(addresses, std::back_inserter(contacts));
    }
    return contacts;
}

rendezvous_duty::rendezvous_duty(log_target target, std::string dataCentre, gossip_service &gossip)
    : m_target(std::move(target))
    , m_dataCentre(std::move(dataCentre))
    , m_gossip(gossip)
{
}

void rendezvous_duty::run(const std::stop_token &stop)
{
    rendezvous_facts facts;
    facts.nextRead = steadyNow() + fullJitter(lonelyReadInterval, lonelyReadInterval, 0, m_generator);
    facts.nextWrite = steadyNow() + fullJitter(lonelyReadInterval, lonelyReadInterval, 0, m_generator);
    while (!stop.stop_requested()) {
        const auto readers = m_gossip.readersOf(readerDuty);
        facts.isReader = m_gossip.isReader(readerDuty);
        facts.isFirstReader = facts.isReader && !readers.empty() && readers.front().gossip == m_gossip.address();
        facts.isAnswered = m_gossip.status().isAnswered;
        const rendezvous_plan plan = planRendezvous(facts, steadyNow());
        if (plan.shouldRead) {
            readRecordsOnce();
            const seconds interval = facts.isAnswered ? rendezvousReadInterval : lonelyReadInterval;
            facts.nextRead = steadyNow() + jittered(interval, m_generator);
        }
        if (plan.shouldWrite) {
            writeRecord();
            facts.nextWrite = steadyNow() + jittered(rendezvousWriteInterval, m_generator);
        }
        pauseFor(planInterval, stop);
    }
}

void rendezvous_duty::readRecordsOnce()
{
    const auto last = attempt([&] {
        return readLastRecord(m_target, rendezvousStream);
    });
    if (!last || last->records.empty()) {
        return;
    }
    const std::uint64_t from = last->next > readBack ? last->next - readBack : 1;
    const auto batch = attempt([&] {
        return readRecords(m_target, rendezvousStream, std::max(from, last->first), readBack, milliseconds(0));
    });
    if (batch) {
        m_gossip.onRendezvous(newestContacts(batch->records));
    }
}

void rendezvous_duty::writeRecord()
{
    rendezvous_record record{m_dataCentre, {}};
    std::vector<member> members = m_gossip.liveMembers();
    std::ranges::shuffle(members, m_generator);
    members.resize(std::min(members.size(), contactsPerRecord));
    std::ranges::transform(members, std::back_inserter(record.gossip), &member::gossip);
    const auto appended = attempt([&] {
        return appendRecord(m_target, rendezvousStream, encodeMessage(record, rendezvousFormat));
    });
    if (!appended) {
        VLOG(1) << "[rendezvous] No record was written. " << describe(appended.failure());
    }
}

} // namespace pistachioquay
