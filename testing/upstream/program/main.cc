// Stand-in of a worker.
#include <csignal>
#include <iostream>

#include <docopt/docopt.h>

#include "base/program_start.h"
#include "testing/upstream/server.h"

using namespace pistachioquay;

namespace {

constexpr const char *usage = R"(Stand-in of a worker with a bounded number of slots.

Usage:
  upstream --address=IP:PORT [options]
  upstream --help
  upstream --version

Options:
  --address=IP:PORT   Address to listen on.
  --slots=N           Requests that run at once [default: 6].
  --overflow=MODE     What requests beyond the slots do: wait or refuse [default: wait].
  --service-ms=N      Mean service time [default: 0].
  --service-shape=S   Distribution: fixed, exponential or lognormal [default: fixed].
  --seed=N            Seed of the distribution [default: 1].
  --cold-start-ms=N   Time after the start with longer service times [default: 0].
  --cold-factor=F     Factor on service times during the cold start [default: 5].
  --load=MODE         What GET /load tells: true, idle or late [default: true].
  --load-lag-ms=N     Age of a late load report [default: 5000].
  --record=FILE       Append each run to this file.
  --drain-ms=N        Longest time for open requests after SIGTERM [default: 30000].
)";

using arguments = std::map<std::string, docopt::value>;

service_shape shapeFromName(const std::string &name)
{
    if (name == "exponential") {
        return service_shape::Exponential;
    }
    return name == "lognormal" ? service_shape::LogNormal : service_shape::Fixed;
}

result<worker_options> readOptions(arguments &given)
{
    worker_options options;
    BOOST_LEAF_ASSIGN(options.address, parseEndpoint(given["--address"].asString()));
    options.slots = static_cast<std::uint32_t>(given["--slots"].asLong());
    options.isWaitAllowed = given["--overflow"].asString() == "wait";
    options.service = {std::stod(given["--service-ms"].asString()), shapeFromName(given["--service-shape"].asString())};
    options.seed = static_cast<std::uint64_t>(given["--seed"].asLong());
    options.coldStart = milliseconds(given["--cold-start-ms"].asLong());
    options.coldFactor = std::stod(given["--cold-factor"].asString());
    options.behaviour.loadLagMs = given["--load-lag-ms"].asLong();
    const auto report = loadReportFromName(given["--load"].asString());
    if (!report) {
        return fail(error_kind::InvalidArgument, "unknown load report", "use true, idle or late");
    }
    options.behaviour.report = *report;
    options.recordFile = given["--record"] ? given["--record"].asString() : "";
    return options;
}

int serve(const worker_options &options, milliseconds drainTime)
{
    const sigset_t ends = blockEndSignals();
    worker_server server(options);
    if (!server.start()) {
        std::cerr << "cannot listen on " << toText(options.address) << " or open the record; check both\n";
        return 1;
    }
    int received = 0;
    sigwait(&ends, &received);
    server.drain(drainTime);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto given = docopt::docopt(usage, {argv + 1, argv + argc}, true, PISTACHIOQUAY_VERSION);
    const auto options = attempt([&] {
        return readOptions(given);
    });
    if (!options) {
        std::cerr << describe(options.failure()) << '\n';
        return 2;
    }
    return serve(*options, milliseconds(given["--drain-ms"].asLong()));
}
