#include "process/mesh/dissemination.h"

namespace pistachioquay::internal {

dissemination_tasks::dissemination_tasks(mesh_context &context,
                                         inbound_handler &inbound,
                                         peer_links &links,
                                         allowance_keeper &allowances)
    : gossip(context, inbound, events())
    , rollouts(context, inbound, gossip)
    , configs(context, gossip, links, rollouts)
    , departures(context, inbound, gossip)
    , directory(context, gossip, departures)
    , freshness(context, gossip)
    , m_context(context)
    , m_allowances(allowances)
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
            freshness.recordReader(message.sender);
        }
        departures.applyHeld(message, now);
        configs.pullIfNewer(message.sender);
    };
    events.onFreshnessQuery = [this](const freshness_query &query, const endpoint &from, time_point) {
        freshness.onQuery(query, from);
    };
    events.onFreshnessAnswer = [this](const freshness_answer &answer, const endpoint &, time_point) {
        freshness.onAnswer(answer);
    };
    events.onAllowanceAsk = [this](const allowance_ask &ask, const endpoint &from) {
        m_allowances.onAsk(ask, from);
    };
    events.onAllowanceAnswer = [this](const allowance_answer &answer) {
        m_allowances.onAnswer(answer);
    };
    return events;
}

void dissemination_tasks::start()
{
    gossip.start();
    configs.start();
    directory.start();
    freshness.start();
}

} // namespace pistachioquay::internal
