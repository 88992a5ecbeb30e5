#include "base/program_start.h"

#include <fstream>
#include <iterator>

namespace pistachioquay {

result<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(error_kind::InvalidSettings, "cannot read `" + path + "`", "check the path and its permissions");
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

sigset_t blockEndSignals()
{
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ends, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return ends;
}

} // namespace pistachioquay
