#include "process/mesh/dissemination.h"

namespace pistachioquay::internal {

dissemination_tasks::dissemination_tasks(mesh_context &context, inbound_handler &inbound, peer_links &links)
    : gossip(context, inbound, events())
    , rollouts(context, inbound, gossip)
    , configs(context, gossip, links, rollouts)
    , departures(context, inbound, gossip)
    , directory(context, gossip, departures)
    , m_context(context)
{
}

gossip_events dissemination_tasks::events()
{
    gossip_events events;
    events.onRollouts = [this](const std::vector<rollout_record> &records, time_point now) {
        rollouts.applyRecords(records, now);
    };
    events.onMessage = [this](const gossip_message &message, time_point now) {
        if (message.isReaderAnnouncement && message.sender.dataCentre == m_context.options.dataCentre) {
            configs.recordReaderAnnouncement(now);
        }
        departures.applyHeld(message, now);
        configs.pullIfNewer(message.sender);
    };
    events.onFreshnessQuery = [](const freshness_query &, const endpoint &, time_point) {};
    events.onFreshnessAnswer = [](const freshness_answer &, const endpoint &, time_point) {};
    return events;
}

void dissemination_tasks::start()
{
    gossip.start();
    configs.start();
    directory.start();
}

} // namespace pistachioquay::internal
