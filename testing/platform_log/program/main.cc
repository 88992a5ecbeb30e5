// Stand-in of the platform log.
#include <csignal>
#include <ctime>
#include <iostream>

#include <docopt/docopt.h>

#include "base/program_start.h"
#include "testing/platform_log/server.h"

using namespace pistachioquay;

namespace {

constexpr const char *usage = R"(Stand-in of the platform log, kept in memory.

Usage:
  platform_log --address=IP:PORT [--retention-ms=N]
  platform_log --help
  platform_log --version

Options:
  --address=IP:PORT  Address to listen on.
  --retention-ms=N   Drop records older than this; 0 keeps all [default: 0].
)";

int run(const log_server_options &options)
{
    constexpr timespec tickInterval{0, 10'000'000};
    const sigset_t ends = blockEndSignals();
    log_server server(options);
    if (!server.start()) {
        std::cerr << "cannot listen on " << toText(options.address) << "; use a free port\n";
        return 1;
    }
    while (sigtimedwait(&ends, nullptr, &tickInterval) < 0) {
        server.tick(steadyNow());
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, PISTACHIOQUAY_VERSION);
    const auto address = attempt([&] {
        return parseEndpoint(options["--address"].asString());
    });
    if (!address) {
        std::cerr << describe(address.failure()) << '\n';
        return 2;
    }
    return run({*address, milliseconds(options["--retention-ms"].asLong())});
}
