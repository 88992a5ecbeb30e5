// Command line of operators.
#include <algorithm>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>

#include <docopt/docopt.h>
#include <glog/logging.h>

#include "pistachioquay/commands.h"
#include "pistachioquay/tree_file.h"

using namespace pistachioquay;

namespace {

constexpr const char *usage = R"(Edit and publish the configuration of the mesh.

Usage:
  pistachioquay [options] show [PLACE]
  pistachioquay [options] get PATH
  pistachioquay [options] set (PATH VALUE)...
  pistachioquay [options] unset PATH...
  pistachioquay [options] add PLACE...
  pistachioquay [options] remove PLACE...
  pistachioquay [options] export [FILE]
  pistachioquay [options] diff FILE
  pistachioquay [options] validate FILE
  pistachioquay [options] publish FILE
  pistachioquay [options] history
  pistachioquay [options] republish VERSION
  pistachioquay [options] status
  pistachioquay [options] follow VERSION
  pistachioquay [options] report
  pistachioquay [options] snapshot [--force]
  pistachioquay [options] explain ID FILE...
  pistachioquay --help
  pistachioquay --version

Options:
  --settings FILE     Settings of this program [default: pistachioquay.toml].
  --output FORMAT     text or json [default: text].
  --timeout SECONDS   Longest time for a publish or a follow [default: 20].
  --base N            Base version of the edit; by default that of the file, or the newest version.
  --limit N           Records that history lists [default: 20].
  --retention HOURS   How long the platform keeps records, for snapshot [default: 24].
  --force             Write the snapshot even if none is due.
  --verbose           Log to standard error what is done.

A PLACE is DATA_CENTRE or DATA_CENTRE/SERVICE; without one it is the deployment. A PATH is
DATA_CENTRE/SERVICE/KIND/NAME/KEY with `-` for an absent level. A FILE named - is standard input or output.
For explain, a FILE is the log of the node that it is named after.

Examples:
  pistachioquay show be-1/orders                      values in force there, and where each is set
  pistachioquay set -/-/policy/lookup/deadline_ms 600
  pistachioquay export tree.toml                      then edit tree.toml
  pistachioquay diff tree.toml                        what publish would change
  pistachioquay publish tree.toml                     prints the new version
  pistachioquay follow 12                             waits until all nodes have version 12
  pistachioquay report                                error budgets: how fast each service burns its own
  pistachioquay explain a23a.33e1 logs/*.log          how a request ended and why, from logs of nodes
  pistachioquay republish 11                          the tree of version 11 as a new version

Exit codes:
  0  done
  1  rejected: the edit or the file is invalid or conflicts; nothing took effect
  2  wrong arguments or settings
  3  the log or the nodes do not respond, or a state cannot be restored; nothing was published
  4  unknown: a publish may or may not take effect; look for its publish id in the history
  5  report: an error budget burns faster than its objective allows, over 5 minutes and over an hour
)";

using arguments = std::map<std::string, docopt::value>;

// Paths of the deployment start with `-/`, which docopt would take for options. They are passed through it with a mark.
constexpr char pathMark = '\x01';

bool isNegativeNumber(const std::string &word)
{
    return word.size() > 1 && word[0] == '-' && std::isdigit(static_cast<unsigned char>(word[1])) != 0;
}

// Paths and negative values begin like options; the mark keeps them from being read as such.
std::vector<std::string> markPaths(std::vector<std::string> words)
{
    for (std::string &word : words) {
        if (word.starts_with("-/") || isNegativeNumber(word)) {
            word.insert(0, 1, pathMark);
        }
    }
    return words;
}

std::string unmarked(const std::string &word)
{
    return word.starts_with(pathMark) ? word.substr(1) : word;
}

std::vector<std::string> wordsOf(const arguments &given, const std::string &name)
{
    const docopt::value &value = given.at(name);
    std::vector<std::string> words;
    if (value.isStringList()) {
        words = value.asStringList();
    } else if (value.isString()) {
        words = {value.asString()};
    }
    std::ranges::transform(words, words.begin(), unmarked);
    return words;
}

result<std::uint64_t> numberOf(const arguments &given, const std::string &name)
{
    const std::string &text = given.at(name).asString();
    std::uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc{} || end != text.data() + text.size()) {
        return fail(error_kind::InvalidArgument,
                    name + " is not a whole number: `" + text + "`",
                    "give a whole number");
    }
    return number;
}

result<milliseconds> timeOf(const arguments &given, const std::string &name, milliseconds unit)
{
    constexpr std::uint64_t most = 100'000;
    BOOST_LEAF_AUTO(count, numberOf(given, name));
    if (count == 0 || count > most) {
        return fail(error_kind::InvalidArgument, name + " is out of range", "give 1 to " + std::to_string(most));
    }
    return unit * static_cast<std::int64_t>(count);
}

result<publish_options> publishOptionsOf(const arguments &given)
{
    publish_options options;
    BOOST_LEAF_ASSIGN(options.timeout, timeOf(given, "--timeout", seconds(1)));
    if (given.at("--base")) {
        BOOST_LEAF_ASSIGN(options.base, numberOf(given, "--base"));
    }
    return options;
}

result<cli_access> accessOf(const arguments &given)
{
    const std::string &name = given.at("--settings").asString();
    const auto text = attempt([&] {
        return readWholeFile(name);
    });
    if (!text) {
        return fail(error_kind::InvalidSettings, text.failure().message, "name the settings file with --settings FILE");
    }
    BOOST_LEAF_AUTO(settings, readCliSettings(*text));
    return makeAccess(settings);
}

bool isSet(const arguments &given, const std::string &command)
{
    return given.at(command).asBool();
}

std::string firstOf(const arguments &given, const std::string &name)
{
    const auto words = wordsOf(given, name);
    return words.empty() ? "" : words.front();
}

result<command_report> runExport(cli_access &access, const std::string &file)
{
    BOOST_LEAF_AUTO(report, exportTree(access));
    if (!file.empty() && file != "-") {
        BOOST_LEAF_CHECK(writeWholeFile(file, report.text));
        report.text = "wrote `" + file + "`; edit it, then run `pistachioquay publish " + file + "`\n";
    }
    return report;
}

result<command_report> runView(cli_access &access, const arguments &given)
{
    if (isSet(given, "show")) {
        return showPlace(access, firstOf(given, "PLACE"));
    }
    if (isSet(given, "get")) {
        return getValue(access, firstOf(given, "PATH"));
    }
    if (isSet(given, "export")) {
        return runExport(access, firstOf(given, "FILE"));
    }
    if (isSet(given, "history")) {
        BOOST_LEAF_AUTO(limit, numberOf(given, "--limit"));
        return showHistory(access, limit);
    }
    if (isSet(given, "status")) {
        return showStatus(access);
    }
    if (isSet(given, "report")) {
        return showBurn(access);
    }
    if (isSet(given, "follow")) {
        BOOST_LEAF_AUTO(version, numberOf(given, "VERSION"));
        BOOST_LEAF_AUTO(timeout, timeOf(given, "--timeout", seconds(1)));
        return followVersion(access, version, timeout);
    }
    BOOST_LEAF_AUTO(retention, timeOf(given, "--retention", std::chrono::hours(1)));
    return writeSnapshot(access, retention, given.at("--force").asBool());
}

result<command_report> runPublishing(cli_access &access, const arguments &given, const publish_options &options)
{
    if (isSet(given, "set")) {
        const auto paths = wordsOf(given, "PATH");
        const auto values = wordsOf(given, "VALUE");
        std::vector<path_value> pairs;
        for (std::size_t index = 0; index < paths.size(); ++index) {
            pairs.emplace_back(paths[index], values.at(index));
        }
        return setValues(access, pairs, options);
    }
    if (isSet(given, "unset")) {
        return unsetValues(access, wordsOf(given, "PATH"), options);
    }
    if (isSet(given, "add") || isSet(given, "remove")) {
        const edit_kind kind = isSet(given, "add") ? edit_kind::AddPlace : edit_kind::RemovePlace;
        return changePlaces(access, kind, wordsOf(given, "PLACE"), options);
    }
    if (isSet(given, "republish")) {
        BOOST_LEAF_AUTO(version, numberOf(given, "VERSION"));
        return republishVersion(access, version, options);
    }
    BOOST_LEAF_AUTO(text, readWholeFile(firstOf(given, "FILE")));
    return isSet(given, "diff") ? diffFile(access, text, options) : publishFile(access, text, options);
}

result<command_report> runExplain(const arguments &given)
{
    std::vector<std::pair<std::string, std::string>> logs;
    for (const std::string &file : wordsOf(given, "FILE")) {
        BOOST_LEAF_AUTO(text, readWholeFile(file));
        logs.emplace_back(std::filesystem::path(file).stem().string(), std::move(text));
    }
    return explainFromLogs(given.at("ID").asString(), logs);
}

result<command_report> run(const arguments &given)
{
    if (isSet(given, "explain")) {
        return runExplain(given);
    }
    if (isSet(given, "validate")) {
        BOOST_LEAF_AUTO(text, readWholeFile(firstOf(given, "FILE")));
        return validateFile(text);
    }
    BOOST_LEAF_AUTO(options, publishOptionsOf(given));
    BOOST_LEAF_AUTO(access, accessOf(given));
    for (const std::string command : {"set", "unset", "add", "remove", "republish", "diff", "publish"}) {
        if (isSet(given, command)) {
            return runPublishing(access, given, options);
        }
    }
    return runView(access, given);
}

int print(const command_report &report, bool isJson)
{
    for (const std::string &warning : report.warnings) {
        std::cerr << "warning: " << warning << '\n';
    }
    const bool isDone = report.code == exit_code::Ok;
    if (isJson) {
        std::cout << toText(report.json) << std::endl;
    } else {
        (isDone ? std::cout : std::cerr) << report.text << std::flush;
    }
    return static_cast<int>(report.code);
}

int refuseUsage(const std::string &message)
{
    std::cerr << "usage: " << message << "; see `pistachioquay --help`\n";
    return static_cast<int>(exit_code::Usage);
}

void startLogging(const char *program, bool isVerbose)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = isVerbose ? google::GLOG_INFO : google::GLOG_ERROR;
    google::InitGoogleLogging(program);
}

int runProgram(const std::vector<std::string> &words, const char *program)
{
    const arguments given = docopt::docopt_parse(usage, markPaths(words), true, true);
    const std::string &format = given.at("--output").asString();
    if (format != "text" && format != "json") {
        return refuseUsage("--output takes text or json");
    }
    startLogging(program, given.at("--verbose").asBool());
    const command_report report = runCommand([&] {
        return run(given);
    });
    return print(report, format == "json");
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runProgram({argv + 1, argv + argc}, argv[0]);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "pistachioquay " << PISTACHIOQUAY_VERSION << '\n';
    } catch (const std::exception &failure) {
        return refuseUsage(failure.what());
    }
    return static_cast<int>(exit_code::Ok);
}
