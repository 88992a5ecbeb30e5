#include "version/fold/publish.h"

namespace pistachioquay {

namespace {

publish_decision report(const fold_verdict &verdict)
{
    publish_decision decision;
    decision.verdict = verdict;
    decision.action =
        verdict.kind == verdict_kind::Accepted ? publish_action::ReportAccepted : publish_action::ReportRejected;
    return decision;
}

publish_decision reportOpenEnd(const publish_progress &progress)
{
    publish_decision decision;
    if (progress.appends == 0) {
        decision.action = publish_action::ReportNotSent;
        decision.message = progress.isStopped ? "the log holds a record that this program cannot read"
                                              : "the platform log did not respond; nothing was published";
        decision.remedy = progress.isStopped ? "install a newer pistachioquay" : "publish again when the log responds";
        return decision;
    }
    decision.action = publish_action::ReportUnknown;
    decision.message = progress.offset != 0
        ? "the log holds the record at offset " + std::to_string(progress.offset) + ", but its verdict is not known"
        : "the log did not confirm the record, which may still take effect";
    decision.remedy =
        "look for publish id " + toHex(progress.publishId) + " in `pistachioquay history` before you publish again";
    return decision;
}

} // namespace

publish_decision decidePublish(const publish_progress &progress)
{
    if (progress.verdict) {
        return report(*progress.verdict);
    }
    if (progress.isTimeUp || progress.isStopped) {
        return reportOpenEnd(progress);
    }
    publish_decision decision;
    const bool isAppendDue = progress.offset == 0 && !progress.isOpen && progress.appends < maxAppends;
    decision.action = isAppendDue ? publish_action::Append : publish_action::Read;
    return decision;
}

publish_progress onAppended(publish_progress progress, std::uint64_t offset)
{
    ++progress.appends;
    progress.offset = offset;
    progress.isOpen = false;
    return progress;
}

publish_progress onAppendLost(publish_progress progress)
{
    ++progress.appends;
    progress.isOpen = true;
    return progress;
}

publish_progress
onFolded(publish_progress progress, std::uint64_t offset, const fold_state &state, const fold_verdict &verdict)
{
    if (progress.verdict) {
        return progress;
    }
    if (verdict.kind == verdict_kind::UnreadableSchema) {
        progress.isStopped = true;
        return progress;
    }
    const auto known = state.publishes.find(progress.publishId);
    if (known != state.publishes.end()) {
        progress.verdict = known->second.verdict;
    } else if (offset == progress.offset && verdict.kind != verdict_kind::OutOfOrder) {
        progress.verdict = verdict;
    }
    return progress;
}

publish_progress onLogEnd(publish_progress progress)
{
    progress.isOpen = false;
    return progress;
}

} // namespace pistachioquay
