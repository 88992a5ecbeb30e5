#include "pistachioquay/explain/explain.h"

#include <algorithm>
#include <charconv>
#include <ranges>

namespace pistachioquay {

namespace {

constexpr double leastErrorStatus = 400;

// Node of a line whose text before the time ends with a name, as in collected logs.
std::string nodeBefore(std::string_view head, std::string_view fallback)
{
    while (head.ends_with(' ')) {
        head.remove_suffix(1);
    }
    const auto blank = head.rfind(' ');
    const std::string_view name = blank == std::string_view::npos ? head : head.substr(blank + 1);
    return std::string(name.empty() ? fallback : name);
}

// Takes one value from the front of `text`; values with blanks are quoted.
std::string takeValue(std::string_view &text)
{
    std::string value;
    const bool isQuoted = text.starts_with('"');
    std::size_t at = isQuoted ? 1 : 0;
    for (; at < text.size() && text[at] != (isQuoted ? '"' : ' '); ++at) {
        if (isQuoted && text[at] == '\\' && at + 1 < text.size()) {
            ++at;
        }
        value += text[at];
    }
    text.remove_prefix(std::min(at + 1, text.size()));
    return value;
}

std::vector<line_field> fieldsOf(std::string_view text)
{
    std::vector<line_field> fields;
    for (;;) {
        while (text.starts_with(' ')) {
            text.remove_prefix(1);
        }
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            return fields;
        }
        line_field field;
        field.key = text.substr(0, equals);
        text.remove_prefix(equals + 1);
        field.value = takeValue(text);
        fields.push_back(std::move(field));
    }
}

std::optional<double> numberOf(const log_entry &line, std::string_view key)
{
    const std::string_view text = valueOf(line, key);
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc{} ? std::optional(number) : std::nullopt;
}

std::string textOf(const log_entry &line, std::string_view key)
{
    return std::string(valueOf(line, key));
}

bool isEvent(const log_entry &line, std::string_view part, std::string_view event)
{
    return line.part == part && line.event == event;
}

bool belongsTo(const log_entry &line, std::string_view id)
{
    const std::string_view own = valueOf(line, "id");
    return own == id || (own.starts_with(id) && own.substr(id.size()).starts_with('.'));
}

bool isOfRequest(const log_entry &line, std::string_view id)
{
    return valueOf(line, "id") == id;
}

bool hasNoRoute(const log_entry &ended)
{
    return valueOf(ended, "status") == "404" && valueOf(ended, "route") == "-";
}

// Name of the last node of a trail like `be-1:handed-back,be-2:unknown`.
std::string lastNode(const log_entry &ended)
{
    const std::string_view trail = valueOf(ended, "nodes");
    const std::string_view last = trail.substr(trail.rfind(',') + 1);
    return std::string(last.substr(0, last.find(':')));
}

std::string explainNoRoute(const log_entry &ended)
{
    return "No route of configuration version " + textOf(ended, "version") + " matches host " + textOf(ended, "host")
        + " and path " + textOf(ended, "path") + ".\n";
}

std::string explainRefusal(const log_entry &ended, const std::vector<log_entry> &lines)
{
    constexpr std::string_view marker = "not run: "; // begins the response that the caller got
    std::string reason = textOf(ended, "reason");
    reason.erase(0, reason.starts_with(marker) ? marker.size() : 0);
    std::string cause = "It was refused and has not run: " + reason + ".\n";
    for (const log_entry &line : lines) {
        if (isEvent(line, "inbound", "refused") && isOfRequest(line, valueOf(ended, "id"))) {
            cause += "Node " + line.node + " refused it (" + textOf(line, "reason") + "): " + textOf(line, "running")
                + " running, " + textOf(line, "waiting") + " waiting, expected wait " + textOf(line, "expected_wait_ms")
                + " ms and run " + textOf(line, "expected_run_ms") + " ms, " + textOf(line, "time_left_ms")
                + " ms left.\n";
        }
    }
    return cause;
}

std::string explainRun(const log_entry &ran)
{
    return "At " + ran.node + " worker " + textOf(ran, "worker") + " took " + textOf(ran, "took_ms")
        + " ms after a wait of " + textOf(ran, "waited_ms") + " ms, where " + textOf(ran, "expected_ms")
        + " ms was usual, and ended with "
        + (valueOf(ran, "status") == "0" ? textOf(ran, "reason") : "status " + textOf(ran, "status")) + ".\n";
}

bool isRunOf(const log_entry &line, const log_entry &ended)
{
    return isEvent(line, "inbound", "ran") && isOfRequest(line, valueOf(ended, "id"));
}

// A call that the request's worker made and that failed.
bool isFailedCallOf(const log_entry &line, const log_entry &ended)
{
    return isEvent(line, "outbound", "ended") && !isOfRequest(line, valueOf(ended, "id"))
        && numberOf(line, "status") >= leastErrorStatus;
}

std::string explainUnknown(const log_entry &ended, const std::vector<log_entry> &lines)
{
    const bool isTimeout = valueOf(ended, "status") == "504";
    const std::string start = isTimeout ? "No response came in its time of " + textOf(ended, "time_left_ms") + " ms"
                                        : "It was sent, and its response was lost";
    std::string runs;
    for (const log_entry &line : lines) {
        runs += isRunOf(line, ended) ? explainRun(line) : "";
    }
    return start + " (" + textOf(ended, "reason") + "), last at node " + lastNode(ended) + ".\n"
        + (runs.empty() ? "No node has logged a run of it: it may have run at a node that died.\n" : runs);
}

std::string explainResponse(const log_entry &ended, const std::vector<log_entry> &lines)
{
    const auto took = numberOf(ended, "took_ms");
    const auto target = numberOf(ended, "target_left_ms");
    const bool isLate = took && target && *took > *target;
    std::string cause = "The worker responded with status " + textOf(ended, "status") + " after "
        + textOf(ended, "took_ms") + " ms"
        + (isLate ? ", later than its target of " + textOf(ended, "target_left_ms") + " ms" : "") + ".\n";
    for (const log_entry &line : lines) {
        if (isRunOf(line, ended)) {
            cause += explainRun(line);
        } else if (isFailedCallOf(line, ended)) {
            cause += "Its worker's call " + textOf(line, "id") + " to " + textOf(line, "service")
                + " ended with status " + textOf(line, "status") + ": explain that id for its cause.\n";
        }
    }
    return cause;
}

std::string causeOf(const log_entry &ended, const std::vector<log_entry> &lines)
{
    if (hasNoRoute(ended)) {
        return explainNoRoute(ended);
    }
    if (valueOf(ended, "outcome") == "caller-left") {
        return "Its caller left after " + textOf(ended, "took_ms") + " ms, before the response.\n";
    }
    if (valueOf(ended, "status") == "503") {
        return explainRefusal(ended, lines);
    }
    return valueOf(ended, "outcome") == "response" ? explainResponse(ended, lines) : explainUnknown(ended, lines);
}

std::string nextOf(const log_entry &ended)
{
    if (hasNoRoute(ended)) {
        return "Compare `[config] in-force` of " + ended.node + " with other nodes at that time.\n";
    }
    if (valueOf(ended, "outcome") == "unknown") {
        return "Look for `[peer]` and `[store]` lines of " + ended.node + " and for `[node] started` of "
            + lastNode(ended) + " at that time.\n";
    }
    return {};
}

} // namespace

std::string_view valueOf(const log_entry &line, std::string_view key)
{
    const auto found = std::ranges::find(line.fields, key, &line_field::key);
    return found == line.fields.end() ? std::string_view() : std::string_view(found->value);
}

std::optional<log_entry> parseLine(std::string_view text, std::string_view node)
{
    const auto open = text.find(" [");
    const auto close = text.find("] ", open == std::string_view::npos ? 0 : open);
    if (open == std::string_view::npos || close == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view head = text.substr(0, open);
    const std::string_view time = head.substr(head.rfind(' ') + 1); // npos + 1 is 0
    log_entry line;
    const auto [end, failure] = std::from_chars(time.data(), time.data() + time.size(), line.atMs);
    if (failure != std::errc{} || end != time.data() + time.size()) {
        return std::nullopt;
    }
    line.node = nodeBefore(head.substr(0, head.size() - time.size()), node);
    line.part = text.substr(open + 2, close - open - 2);
    line.text = text.substr(open + 1);
    const std::string_view rest = text.substr(close + 2);
    const auto blank = std::min(rest.find(' '), rest.size());
    line.event = rest.substr(0, blank);
    line.fields = fieldsOf(rest.substr(blank));
    return line;
}

void appendLogEntries(std::vector<log_entry> &lines, std::string_view node, std::string_view log)
{
    while (!log.empty()) {
        const auto lineEnd = std::min(log.find('\n'), log.size());
        if (auto line = parseLine(log.substr(0, lineEnd), node)) {
            lines.push_back(std::move(*line));
        }
        log.remove_prefix(std::min(lineEnd + 1, log.size()));
    }
}

explanation explainRequest(std::vector<log_entry> lines, std::string_view id)
{
    explanation found;
    std::erase_if(lines, [&](const log_entry &line) {
        return id.empty() || !belongsTo(line, id);
    });
    std::ranges::stable_sort(lines, {}, &log_entry::atMs);
    found.lines = std::move(lines);
    if (found.lines.empty()) {
        return found;
    }
    const auto ended = std::ranges::find_if(found.lines, [&](const log_entry &line) {
        return isEvent(line, "outbound", "ended") && isOfRequest(line, id);
    });
    if (ended == found.lines.end()) {
        found.cause = "No node has logged how it ended.\n";
        found.next = "Add the log of the node that the caller used, or of that node before its restart.\n";
        return found;
    }
    found.cause = causeOf(*ended, found.lines);
    found.next = nextOf(*ended);
    return found;
}

} // namespace pistachioquay
