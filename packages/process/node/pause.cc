#include "process/node/pause.h"

#include <condition_variable>
#include <mutex>

namespace pistachioquay {

void pauseFor(duration length, const std::stop_token &stop)
{
    std::mutex mutex;
    std::condition_variable_any changed;
    std::unique_lock guard(mutex);
    changed.wait_for(guard, stop, length, [] {
        return false;
    });
}

} // namespace pistachioquay
