// Internal declarations of the membership library: the context of one call and the functions that its files share.
#pragma once

#include "process/membership/membership.h"

namespace pistachioquay::internal {

inline constexpr milliseconds linkTimeout{30'000}; // without contact for longer, a data centre counts as unreachable

// Context of one call of a public function: the state, the time of the call, and the actions collected so far.
struct step
{
    membership_state &state;
    time_point now;
    random_generator *generator = nullptr; // null in calls that need no randomness
    membership_actions actions;
};

// beginStep returns the context of one call. If the process was paused, it first resets what a pause makes outdated.
step beginStep(membership_state &state, time_point now, random_generator *generator = nullptr);

// table.cc: the member table and the queue of updates to send.
std::uint64_t selfKey(const membership_state &state);
known_member ownMember(const membership_state &state);
std::size_t liveCount(const membership_state &state);
void enqueue(step &context, std::uint64_t key, bool isFull);
void enqueueSelf(step &context, bool isFull);
void applyUpdate(step &context, const member_update &update, bool isForwarded);
void applySender(step &context, const message &datagram);
void markMember(step &context, std::uint64_t key, member_mark mark);
void removeOldTombstones(step &context);
const std::vector<std::uint64_t> &liveKeys(membership_state &state);
std::vector<std::uint64_t> randomLive(step &context, std::size_t count, std::uint64_t except = 0);
milliseconds jitter(step &context, milliseconds upTo);

// outgoing.cc: datagrams.
message newMessage(const membership_state &state, message_kind kind);
void addUpdates(step &context, message &datagram, std::uint64_t recipientKey);
void addLinks(step &context, message &datagram);
void sendTo(step &context, const endpoint &to, const message &datagram);
void sendToKey(step &context, std::uint64_t key, message datagram);
void sendToAll(step &context, message_kind kind);
void sendPing(step &context, std::uint64_t key);
void requestList(step &context, milliseconds within);
void requestRecords(step &context, const endpoint &sync, std::uint64_t position);

// links.cc: contact with other data centres.
link_record ownLink(const membership_state &state);
void mergeLink(step &context, const link_record &record);
void handleLink(step &context, const endpoint &from, const message &datagram);
void handleSummaries(step &context, const message &datagram);
void announceToLinks(step &context);
void linkRound(step &context);
void floodRound(step &context);
void expireRemotes(step &context);

// summaries.cc: summaries of the services of the own data centre.
milliseconds loadInterval(const membership_state &state);
milliseconds linkInterval(const membership_state &state);
std::map<std::string, service_summary> ownSummaries(const membership_state &state, time_point now);

// highestAnnouncedBy returns the highest position and version announced under a key; zeros if the key is unknown.
announced_version highestAnnouncedBy(const membership_state &state, std::uint64_t key);

// rendezvousWeight returns the rank of a member for a task; the three members with the highest are its readers.
std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view task);

} // namespace pistachioquay::internal
