#include "pistachioquay/publish_run.h"

#include <algorithm>

#include <glog/logging.h>

namespace pistachioquay {

namespace {

constexpr milliseconds retryBase{100};
constexpr milliseconds retryCap{2000};
constexpr milliseconds maxWait{1000};

// One publish under way.
struct publish_run
{
    cli_access &access;
    log_state latest;
    std::string bytes;
    time_point deadline;
    publish_progress progress;
    unsigned failures = 0;

    void pause()
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - access.now());
        const milliseconds delay = fullJitter(retryBase, retryCap, failures, access.random);
        ++failures;
        access.sleep(std::clamp(delay, milliseconds(1), std::max(left, milliseconds(1))));
    }

    result<void> append()
    {
        const auto offset = attempt([&] {
            return access.log.append(configStream, bytes);
        });
        if (offset) {
            progress = onAppended(progress, *offset);
            return {};
        }
        LOG(WARNING) << "[publish] append failed: " << describe(offset.failure());
        if (offset.failure().kind == error_kind::InvalidArgument) {
            return fail(error_kind::Unavailable, offset.failure().message, offset.failure().remedy);
        }
        if (!isCertainlyNotAppended(offset.failure())) {
            progress = onAppendLost(progress);
        }
        pause();
        return {};
    }

    void read()
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - access.now());
        const milliseconds wait = std::clamp(left, milliseconds(0), maxWait);
        const fold_visitor note = [&](const log_record &record, const fold_state &state, const fold_verdict &verdict) {
            progress = onFolded(progress, record.offset, state, verdict);
        };
        auto next = attempt([&] {
            return foldNext(access.log, latest, wait, note);
        });
        if (!next) {
            LOG(WARNING) << "[publish] read failed: " << describe(next.failure());
            pause();
            return;
        }
        latest = *std::move(next);
        failures = 0;
        if (latest.state.position >= latest.next) {
            progress = onLogEnd(progress);
        }
    }
};

} // namespace

result<publish_decision>
runPublish(cli_access &access, log_state latest, const edit_record &record, time_point deadline)
{
    publish_run run{access, std::move(latest), encodeRecord(record), deadline, {record.publishId}};
    run.progress.isStopped = run.latest.isStopped;
    while (true) {
        run.progress.isTimeUp = access.now() >= deadline;
        publish_decision decision = decidePublish(run.progress);
        if (decision.action == publish_action::Append) {
            BOOST_LEAF_CHECK(run.append());
        } else if (decision.action == publish_action::Read) {
            run.read();
        } else {
            return decision;
        }
    }
}

} // namespace pistachioquay
