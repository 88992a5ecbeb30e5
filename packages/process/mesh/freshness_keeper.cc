#include "process/mesh/freshness_keeper.h"

#include <algorithm>

#include "connection/loop/duty.h"

namespace pistachioquay::internal {

namespace {

constexpr milliseconds checkInterval{50}; // a fraction of the time between two queries

} // namespace

freshness_keeper::freshness_keeper(mesh_context &context, gossip_channel &gossip)
    : m_context(context)
    , m_gossip(gossip)
{
}

void freshness_keeper::start()
{
    if (!m_context.freshness.limit) {
        return;
    }
    spawnDuty(
        m_context.executor,
        "freshness",
        [this] {
            return queryLoop();
        },
        failureReporter(m_context));
}

void freshness_keeper::recordReader(const node_record &reader)
{
    m_reader = reader.gossip;
    const boot_time now = bootNow();
    if (m_context.freshness.limit && !isProven(m_context.freshness, now)) {
        ask(*m_reader, now);
    }
}

void freshness_keeper::onQuery(const freshness_query &query, const endpoint &from)
{
    const peer_proof proof = answerQuery(m_context.freshness, query.id, m_context.config.table->version, bootNow());
    freshness_answer answer;
    answer.id = proof.queryId;
    answer.hasProof = proof.age.has_value();
    answer.version = proof.version;
    answer.proofAgeMs = proof.age.value_or(milliseconds{0}).count();
    m_gossip.sendDatagram(from, answer);
}

void freshness_keeper::onAnswer(const freshness_answer &answer)
{
    if (!m_context.freshness.limit) {
        return; // this node asks nobody
    }
    const peer_proof proof{answer.id,
                           answer.version,
                           answer.hasProof ? std::optional(milliseconds(answer.proofAgeMs)) : std::nullopt};
    const boot_time now = bootNow();
    const bool isYounger = recordAnswer(m_context.freshness, proof, m_context.config.table->version, now);
    m_context.metrics.count(isYounger ? "key_proofs_by_peers_total" : "key_proofs_unusable_total");
    logChange(now);
}

void freshness_keeper::ask(const endpoint &node, boot_time now)
{
    const freshness_query query{m_context.generator()};
    recordQuery(m_context.freshness, query.id, now);
    m_gossip.sendDatagram(node, query);
}

std::optional<endpoint> freshness_keeper::chooseAnyNode()
{
    const auto &nodes = m_context.fleet.nodes;
    if (nodes.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, nodes.size() - 1);
    return std::next(nodes.begin(), static_cast<std::ptrdiff_t>(draw(m_context.generator)))->second.record.gossip;
}

void freshness_keeper::logChange(boot_time now)
{
    const bool isNowProven = isProven(m_context.freshness, now);
    if (isNowProven == m_wasProven) {
        return;
    }
    m_wasProven = isNowProven;
    const auto age = proofAge(m_context.freshness, now);
    m_context.metrics.count(isNowProven ? "key_proofs_gained_total" : "key_proofs_lost_total");
    m_context.log(log_line("freshness", isNowProven ? "keys-provable" : "keys-not-provable")
                      .add("proof_age_ms", age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1)
                      .add("limit_ms", m_context.freshness.limit->count())
                      .add("version", m_context.config.table->version));
}

awaitable<void> freshness_keeper::queryLoop()
{
    net::steady_timer pause(m_context.executor);
    while (!m_context.isStopped) {
        const boot_time now = bootNow();
        logChange(now);
        const query_plan plan = planQueries(m_context.freshness, now);
        if (plan.asksReader && m_reader) {
            ask(*m_reader, now);
        }
        if (const auto any = plan.asksAnyNode ? chooseAnyNode() : std::nullopt) {
            ask(*any, now);
        }
        pause.expires_after(checkInterval);
        co_await pause.async_wait(awaitResult);
    }
}

} // namespace pistachioquay::internal
