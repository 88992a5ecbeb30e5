#include "process/membership/member.h"

#include <algorithm>

#include "base/hash.h"

namespace pistachioquay {

namespace {

void applyState(member &data, const member_update &update)
{
    data.revision = update.revision;
    data.state = update.state;
    data.slots = update.slots;
}

// Stores addresses and service if the update has them from a newer process than the stored ones.
bool applyNewerProcess(known_member &known, const member_update &update)
{
    const bool isNewer = update.full && update.full->started > known.dataStarted;
    if (!isNewer) {
        return false;
    }
    const member before = known.data;
    known.data = *update.full;
    known.data.started = std::max(before.started, update.full->started);
    known.data.incarnation = before.incarnation;
    applyState(known.data, {.revision = before.revision, .state = before.state, .slots = before.slots, .full = {}});
    known.dataStarted = update.full->started;
    return true;
}

} // namespace

void raiseTo(announced_version &highest, const announced_version &seen)
{
    highest.position = std::max(highest.position, seen.position);
    highest.version = std::max(highest.version, seen.version);
}

std::uint64_t memberKey(std::string_view nodeId)
{
    return hash64(nodeId);
}

member_update updateOf(const known_member &known, bool isFull)
{
    const member &data = known.data;
    member_update update{memberKey(data.nodeId),
                         data.started,
                         data.incarnation,
                         data.revision,
                         known.mark,
                         data.state,
                         data.slots,
                         std::nullopt};
    if (isFull) {
        update.full = data;
        update.full->started = known.dataStarted;
        update.full->load = {};
    }
    return update;
}

bool mergeUpdate(known_member &known, const member_update &update)
{
    member &data = known.data;
    bool isChanged = false;
    if (update.incarnation > data.incarnation) {
        if (update.started > data.started) {
            data.position = 0;
            data.version = 0;
            data.load = {};
        }
        data.started = std::max(data.started, update.started);
        data.incarnation = update.incarnation;
        known.mark = update.mark;
        applyState(data, update);
        isChanged = true;
    } else if (update.incarnation == data.incarnation) {
        if (update.revision > data.revision) {
            applyState(data, update);
            isChanged = true;
        }
        if (update.mark > known.mark) {
            known.mark = update.mark;
            isChanged = true;
        }
    }
    return applyNewerProcess(known, update) || isChanged;
}

bool isLive(const known_member &known)
{
    return known.mark != member_mark::Dead && known.data.state != member_state::Left;
}

} // namespace pistachioquay
