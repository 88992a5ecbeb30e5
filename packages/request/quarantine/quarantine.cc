#include "request/quarantine/quarantine.h"

#include <algorithm>
#include <array>

namespace pistachioquay {

using internal::standing;

namespace {

using report_map = std::map<std::pair<std::int64_t, hash128>, crash_report>;

const suspect *findSuspect(const crash_report &report, const fingerprint &request)
{
    const auto found = std::ranges::lower_bound(report.suspects, request, {}, &suspect::request);
    return found != report.suspects.end() && found->request == request ? &*found : nullptr;
}

bool isOpenSuspect(const crash_report &report, const fingerprint &request)
{
    const suspect *found = findSuspect(report, request);
    return found != nullptr && !found->isCleared;
}

// Whether another crash than `crash` points at the request, as point 3 of the rule has it.
bool isSuspectElsewhere(const report_map &reports, const crash_report &crash, const fingerprint &request)
{
    return std::ranges::any_of(reports, [&](const auto &each) {
        const crash_report &other = each.second;
        const bool isBefore = other.atMs <= crash.atMs + clockMarginMs;
        const bool isIsolated = other.hasIsolated && other.isolated == request;
        return other.id != crash.id && (isBefore || isIsolated) && isOpenSuspect(other, request);
    });
}

bool namesIsolated(const report_map &reports, const crash_report &crash)
{
    if (!crash.hasIsolated || !isOpenSuspect(crash, crash.isolated)
        || !isSuspectElsewhere(reports, crash, crash.isolated)) {
        return false;
    }
    return std::ranges::none_of(crash.suspects, [&](const suspect &each) {
        return each.request != crash.isolated && isSuspectElsewhere(reports, crash, each.request);
    });
}

standing &standingOf(std::vector<standing> &standings, const fingerprint &request)
{
    const auto place = std::ranges::lower_bound(standings, request, {}, &standing::request);
    if (place != standings.end() && place->request == request) {
        return *place;
    }
    return *standings.insert(place, {request, 0, 0});
}

void renewStandings(quarantine_state &state)
{
    state.standings.clear();
    for (const auto &[key, report] : state.reports) {
        for (const suspect &each : report.suspects) {
            if (!each.isCleared) {
                standing &entry = standingOf(state.standings, each.request);
                entry.suspectUntilMs = std::max(entry.suspectUntilMs, report.atMs + quarantineMs);
            }
        }
        if (namesIsolated(state.reports, report)) {
            standing &entry = standingOf(state.standings, report.isolated);
            entry.quarantinedUntilMs = std::max(entry.quarantinedUntilMs, report.atMs + quarantineMs);
        }
    }
}

void prune(quarantine_state &state, std::int64_t nowMs)
{
    std::erase_if(state.reports, [&](const auto &each) {
        return each.second.atMs + quarantineMs <= nowMs;
    });
    while (state.reports.size() > maxReports) {
        state.reports.erase(state.reports.begin());
    }
}

// Joins two reports of one crash; symmetric, so that the order of deliveries does not matter.
crash_report joined(const crash_report &left, const crash_report &right)
{
    crash_report both = left;
    both.suspects.clear();
    std::ranges::merge(left.suspects,
                       right.suspects,
                       std::back_inserter(both.suspects),
                       {},
                       &suspect::request,
                       &suspect::request);
    std::size_t kept = 0;
    for (const suspect &each : both.suspects) {
        if (kept > 0 && both.suspects[kept - 1].request == each.request) {
            both.suspects[kept - 1].isCleared = both.suspects[kept - 1].isCleared || each.isCleared;
        } else {
            both.suspects[kept++] = each;
        }
    }
    both.suspects.resize(kept);
    both.hasIsolated = left.hasIsolated || right.hasIsolated;
    if (left.hasIsolated && right.hasIsolated) {
        both.isolated = std::min(left.isolated, right.isolated);
    } else {
        both.isolated = left.hasIsolated ? left.isolated : right.isolated;
    }
    return both;
}

} // namespace

fingerprint fingerprintOf(std::string_view method,
                          std::string_view path,
                          std::string_view idempotencyKey,
                          std::string_view bodyStart)
{
    const std::string_view body = bodyStart.substr(0, fingerprintBodyBytes);
    std::string bytes;
    bytes.reserve(method.size() + path.size() + idempotencyKey.size() + body.size() + 3);
    for (const std::string_view part : {method, path, idempotencyKey}) {
        bytes.append(part).push_back('\0');
    }
    return hashBytes(bytes.append(body));
}

suspicion suspicionOf(const quarantine_state &state, const fingerprint &request, std::int64_t nowMs)
{
    const auto place = std::ranges::lower_bound(state.standings, request, {}, &standing::request);
    if (place == state.standings.end() || place->request != request) {
        return suspicion::None;
    }
    if (place->quarantinedUntilMs > nowMs) {
        return suspicion::Quarantined;
    }
    return place->suspectUntilMs > nowMs ? suspicion::Suspect : suspicion::None;
}

run_decision mayRun(const quarantine_state &state,
                    std::span<const fingerprint> running,
                    const fingerprint &request,
                    std::int64_t nowMs)
{
    const suspicion own = suspicionOf(state, request, nowMs);
    if (own != suspicion::Suspect) {
        return own == suspicion::None ? run_decision::Run : run_decision::Refuse;
    }
    const bool isBesideOther = std::ranges::any_of(running, [&](const fingerprint &other) {
        return other != request && suspicionOf(state, other, nowMs) != suspicion::None;
    });
    return isBesideOther ? run_decision::RunElsewhere : run_decision::Run;
}

crash_report
reportCrash(quarantine_state &state, const hash128 &id, std::span<const fingerprint> running, std::int64_t nowMs)
{
    crash_report report{id, nowMs, {}, false, {}};
    std::size_t known = 0;
    std::vector<fingerprint> requests(running.begin(), running.end());
    std::ranges::sort(requests);
    requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
    for (const fingerprint &request : requests) {
        if (suspicionOf(state, request, nowMs) != suspicion::None) {
            ++known;
            report.isolated = request;
        }
        if (report.suspects.size() < maxSuspects) {
            report.suspects.push_back({request, false});
        }
    }
    report.hasIsolated = known == 1;
    report.isolated = known == 1 ? report.isolated : fingerprint{};
    if (!report.suspects.empty()) {
        mergeReports(state, std::span(&report, 1), nowMs);
    }
    return report;
}

std::vector<crash_report> recordCompleted(quarantine_state &state, const fingerprint &request, std::int64_t nowMs)
{
    std::vector<crash_report> changed;
    if (suspicionOf(state, request, nowMs) == suspicion::None) {
        return changed;
    }
    for (auto &[key, report] : state.reports) {
        const auto found = std::ranges::find(report.suspects, request, &suspect::request);
        if (found != report.suspects.end() && !found->isCleared) {
            found->isCleared = true;
            changed.push_back(report);
        }
    }
    renewStandings(state);
    return changed;
}

bool mergeReports(quarantine_state &state, std::span<const crash_report> reports, std::int64_t nowMs)
{
    const report_map before = state.reports;
    for (const crash_report &report : reports) {
        const auto [place, isNew] = state.reports.try_emplace({report.atMs, report.id}, report);
        if (!isNew) {
            place->second = joined(place->second, report);
        }
    }
    prune(state, nowMs);
    if (state.reports == before) {
        return false;
    }
    renewStandings(state);
    return true;
}

hold_back beginHoldBack(std::span<const std::string_view> nodeIds, time_point now)
{
    return {{nodeIds.begin(), nodeIds.end()}, now + maxHoldBack};
}

void acknowledgeReport(hold_back &hold, std::string_view nodeId)
{
    std::erase(hold.waitingFor, nodeId);
}

bool mayRespond(const hold_back &hold, time_point now)
{
    return hold.waitingFor.empty() || now >= hold.until;
}

} // namespace pistachioquay
