// Reads and writes stream `rendezvous` of the log: each record holds the gossip addresses of a few live nodes of a data
// centre. Through it nodes find each other even when none of the seeds in their settings exists any more, and readers
// find the nodes of other data centres.
//
//   rendezvous_task task(target, "be-1", gossip);
//   std::jthread thread([&](const std::stop_token &stop) { task.run(stop); });
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
inline constexpr seconds rendezvousWriteInterval{60}; // by the first reader of a data centre
inline constexpr seconds rendezvousReadInterval{30}; // by readers that a peer has responded to
inline constexpr seconds noPeerReadInterval{3}; // by a node that no peer has responded to

// Contents of one record of stream `rendezvous`.
struct rendezvous_record
{
    std::string dataCentre;
    std::vector<endpoint> gossip; // gossip addresses of live nodes

    friend auto operator<=>(const rendezvous_record &, const rendezvous_record &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, gossip);
    }
};

// Which operations on the stream are due.
struct rendezvous_plan
{
    bool shouldRead = false;
    bool shouldWrite = false;

    friend auto operator<=>(const rendezvous_plan &, const rendezvous_plan &) = default;
};

// State of a node from which its plan follows.
struct rendezvous_status
{
    bool isAnswered = false; // a peer has responded
    bool isReader = false; // of its data centre
    bool isFirstReader = false; // the reader of rank 0
    time_point nextRead; // earliest time of the next read
    time_point nextWrite; // earliest time of the next write
};

// planRendezvous returns which operations are due. Readers read, and so does a node that no peer has responded to, to
// find peers. Only the first reader of a data centre writes, so that the log gets about one record per data centre and
// minute. Thread safe.
rendezvous_plan planRendezvous(const rendezvous_status &status, time_point now);

// newestContacts returns the addresses in the newest record of each data centre; malformed records are skipped.
// Thread safe.
std::vector<endpoint> newestContacts(const std::vector<log_record> &records);

class rendezvous_task
{
public:
    rendezvous_task(log_target target, std::string dataCentre, gossip_service &gossip);

    // run reads and writes the stream until stop is requested. Called once.
    void run(const std::stop_token &stop);

private:
    void readContacts();
    void writeRecord();

    log_target m_target;
    std::string m_dataCentre;
    gossip_service &m_gossip;
    random_generator m_generator = seededFromDevice();
};

} // namespace pistachioquay
