// Stream `rendezvous`: short records that name a few live nodes of each data centre, so that nodes find each other when
// the seeds in their settings have been replaced, and readers find those of other data centres.
//
//   rendezvous_duty duty({target, "be-1"}, gossip);
//   std::jthread thread([&](const std::stop_token &stop) { duty.run(stop); });
#pragma once

#include <compare>
#include <cstdint>
#include <stop_token>
#include <string>
#include <vector>

#include "base/random.h"
#include "connection/log_client/log_client.h"
#include "process/membership/gossip.h"

namespace pistachioquay {

inline constexpr std::uint16_t rendezvousFormat = 1;
inline constexpr seconds rendezvousWriteInterval{60}; // by one node of a data centre
inline constexpr seconds rendezvousReadInterval{30}; // by readers
inline constexpr seconds lonelyReadInterval{3}; // by a node that has not heard from any peer

struct rendezvous_record
{
    std::string dataCentre;
    std::vector<endpoint> gossip;

    friend auto operator<=>(const rendezvous_record &, const rendezvous_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, gossip);
    }
};

// What a node does about the stream now.
struct rendezvous_plan
{
    bool shouldRead = false;
    bool shouldWrite = false;

    friend auto operator<=>(const rendezvous_plan &, const rendezvous_plan &) = default;
};

// Facts for the plan.
struct rendezvous_facts
{
    bool isAnswered = false; // a peer has responded
    bool isReader = false;
    bool isFirstReader = false;
    time_point nextRead;
    time_point nextWrite;
};

// planRendezvous decides what is due. A node without peers reads, so that it finds some; only the first reader of a
// data centre writes, so that the log sees one record per data centre and minute. Thread safe.
rendezvous_plan planRendezvous(const rendezvous_facts &facts, time_point now);

// newestContacts returns the addresses of the newest record of each data centre; unreadable records are passed over.
// Thread safe.
std::vector<endpoint> newestContacts(const std::vector<log_record> &records);

class rendezvous_duty
{
public:
    rendezvous_duty(log_target target, std::string dataCentre, gossip_service &gossip);

    // run works until stop is requested. Called once.
    void run(const std::stop_token &stop);

private:
    void readRecordsOnce();
    void writeRecord();

    log_target m_target;
    std::string m_dataCentre;
    gossip_service &m_gossip;
    random_generator m_generator = seededFromDevice();
};

} // namespace pistachioquay
