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
constexpr std::uint32_t maxReadRecords = 64; // several records of each of 8 data centres
constexpr std::size_t contactsPerRecord = 5;
constexpr milliseconds checkInterval{500};

// Returns a random time from half to one and a half of the interval, so that nodes that restart together do not read
// and write at the same time.
duration jittered(seconds interval, random_generator &generator)
{
    return interval / 2 + fullJitter(interval, interval, 0, generator);
}

} // namespace

rendezvous_plan planRendezvous(const rendezvous_status &status, time_point now)
{
    return {
        .shouldRead = (status.isReader || !status.isAnswered) && now >= status.nextRead,
        .shouldWrite = status.isFirstReader && now >= status.nextWrite,
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

rendezvous_task::rendezvous_task(log_target target, std::string dataCentre, gossip_service &gossip)
    : m_target(std::move(target))
    , m_dataCentre(std::move(dataCentre))
    , m_gossip(gossip)
{
}

void rendezvous_task::run(const std::stop_token &stop)
{
    rendezvous_status status;
    status.nextRead = steadyNow() + fullJitter(noPeerReadInterval, noPeerReadInterval, 0, m_generator);
    status.nextWrite = steadyNow() + fullJitter(noPeerReadInterval, noPeerReadInterval, 0, m_generator);
    while (!stop.stop_requested()) {
        const auto readers = m_gossip.readersOf(configReaderTask);
        status.isReader = m_gossip.isReader(configReaderTask);
        status.isFirstReader = status.isReader && !readers.empty() && readers.front().gossip == m_gossip.address();
        status.isAnswered = m_gossip.status().isAnswered;
        const rendezvous_plan plan = planRendezvous(status, steadyNow());
        if (plan.shouldRead) {
            readContacts();
            const seconds interval = status.isAnswered ? rendezvousReadInterval : noPeerReadInterval;
            status.nextRead = steadyNow() + jittered(interval, m_generator);
        }
        if (plan.shouldWrite) {
            writeRecord();
            status.nextWrite = steadyNow() + jittered(rendezvousWriteInterval, m_generator);
        }
        pauseFor(checkInterval, stop);
    }
}

void rendezvous_task::readContacts()
{
    const auto last = attempt([&] {
        return readLastRecord(m_target, rendezvousStream);
    });
    if (!last || last->records.empty()) {
        return;
    }
    const std::uint64_t from = last->next > maxReadRecords ? last->next - maxReadRecords : 1;
    const auto batch = attempt([&] {
        return readRecords(m_target, rendezvousStream, std::max(from, last->first), maxReadRecords, milliseconds(0));
    });
    if (batch) {
        m_gossip.onRendezvous(newestContacts(batch->records));
    }
}

void rendezvous_task::writeRecord()
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
        VLOG(1) << "[rendezvous] Cannot write a record. " << describe(appended.failure());
    }
}

} // namespace pistachioquay
