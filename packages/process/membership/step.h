// Private parts of membership: one step of the state machine and what its handlers share.
#pragma once

#include "process/membership/membership.h"

namespace pistachioquay::internal {

inline constexpr milliseconds linkLease{30'000}; // a data centre not heard of for longer is out of reach

// One call of a public function.
struct step
{
    membership_state &state;
    time_point now;
    random_generator *generator = nullptr; // absent in calls that need no randomness
    membership_actions actions;
};

// beginStep checks for a pause and returns the context of one call.
step beginStep(membership_state &state, time_point now, random_generator *generator = nullptr);

// table.cc: beliefs and what is passed on.
std::uint64_t selfKey(const membership_state &state);
known_member ownBelief(const membership_state &state);
std::size_t liveCount(const membership_state &state);
void enqueue(step &context, std::uint64_t key, bool isFull);
void enqueueSelf(step &context, bool isFull);
void applyUpdate(step &context, const member_update &update, bool isPassedOn);
void applySender(step &context, const message &datagram);
void markMember(step &context, std::uint64_t key, member_mark mark);
void forgetOld(step &context);
const std::vector<std::uint64_t> &liveKeys(membership_state &state);
std::vector<std::uint64_t> randomLive(step &context, std::size_t count, std::uint64_t except = 0);
milliseconds jitter(step &context, milliseconds upTo);

// outgoing.cc: datagrams.
message newMessage(const membership_state &state, message_kind kind);
void addUpdates(step &context, message &datagram, std::uint64_t aboutFirst);
void addLinks(step &context, message &datagram);
void sendTo(step &context, const endpoint &to, const message &datagram);
void sendToKey(step &context, std::uint64_t key, message datagram);
void sendToAll(step &context, message_kind kind);
void sendPing(step &context, std::uint64_t key);
void requestList(step &context, milliseconds within);
void requestRecords(step &context, const endpoint &sync, std::uint64_t position);

// links.cc: other data centres.
link_record ownLink(const membership_state &state);
void mergeLink(step &context, const link_record &record);
void handleLink(step &context, const endpoint &from, const message &datagram);
void handleSummaries(step &context, const message &datagram);
void announceToLinks(step &context);
void linkRound(step &context);
void floodRound(step &context);
void expireRemotes(step &context);

// summaries.cc: services of the own data centre.
milliseconds loadInterval(const membership_state &state);
milliseconds linkInterval(const membership_state &state);
std::map<std::string, service_summary> ownSummaries(const membership_state &state, time_point now);

// seenOf returns the highest that a key announced; zeros if the key is not known.
version_seen seenOf(const membership_state &state, std::uint64_t key);

// rendezvousWeight ranks a member for a duty; the highest three are its readers.
std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view duty);

} // namespace pistachioquay::internal
