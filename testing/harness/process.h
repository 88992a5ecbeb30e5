// Processes, ports and folders of process tests.
//
//   const temp_folder folder;
//   auto child = requireValue([&] { return startProcess({program, {"--address", "127.0.0.1:8000"},
//   folder.file("log")}); }); REQUIRE(waitForPort(address, milliseconds(5000))); child.send(SIGTERM);
//   REQUIRE(child.waitForExit(milliseconds(5000)) == exit_status{0, 0});
#pragma once

#include <csignal>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <sys/types.h>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/error.h"

namespace pistachioquay {

// How a process ended: an exit code, or the signal that ended it.
struct exit_status
{
    int code = 0;
    int signal = 0;

    friend bool operator==(const exit_status &, const exit_status &) = default;
};

struct process_options
{
    std::string program;
    std::vector<std::string> arguments;
    std::string logFile; // standard output and error are appended to it
};

// A process that this test started. It is killed when the object is destroyed and when the thread that started it ends,
// so that an aborted test leaves nothing behind. Not thread safe.
class child_process
{
public:
    child_process() = default;
    child_process(pid_t pid, std::string logFile);
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;
    ~child_process();

    // pid returns the process id, or 0 if nothing was started or the exit was already collected.
    pid_t pid() const;

    // isRunning tells whether the process has not exited yet; a stopped process counts as running.
    bool isRunning();

    // send sends a signal; false if the process has exited.
    bool send(int signal);

    // waitForExit waits at most `atMost`; empty if the process still runs.
    std::optional<exit_status> waitForExit(milliseconds atMost);

    // kill sends SIGKILL and waits for the exit.
    void kill();

    // log returns what the process wrote so far.
    std::string log() const;

private:
    bool collectExit();

    pid_t m_pid = 0;
    std::optional<exit_status> m_exit;
    std::string m_logFile;
};

// startProcess starts a program. Thread safe. Fails with Io.
result<child_process> startProcess(const process_options &options);

// A folder that is removed with all its content when the object is destroyed.
class temp_folder
{
public:
    temp_folder();
    ~temp_folder();
    temp_folder(const temp_folder &) = delete;
    temp_folder &operator=(const temp_folder &) = delete;

    // path returns the path of the folder.
    const std::string &path() const;

    // file returns the path of a file in the folder.
    std::string file(std::string_view name) const;

private:
    std::string m_path;
};

// freeAddresses returns addresses on loopback whose ports are free for TCP and UDP. Thread safe. No port is returned
// twice by one process unless an address_lease has given it back, and ports lie below the range that the kernel takes
// for outgoing connections, so that a process that a test restarts finds its port still free. Throws when the program
// has used up its range.
std::vector<endpoint> freeAddresses(std::size_t count);

// adjacentFreeAddresses returns such addresses with consecutive ports. Thread safe.
std::vector<endpoint> adjacentFreeAddresses(std::size_t count);

// freeAddress returns one such address. Thread safe.
endpoint freeAddress();

// Free addresses that may be given to others once the object is destroyed. Declare it before what listens on them.
class address_lease
{
public:
    explicit address_lease(std::size_t count)
        : address_lease(freeAddresses(count))
    {
    }
    explicit address_lease(std::vector<endpoint> addresses); // of freeAddresses or adjacentFreeAddresses
    address_lease(const address_lease &) = delete;
    address_lease(address_lease &&) noexcept = default;
    address_lease &operator=(const address_lease &) = delete;
    address_lease &operator=(address_lease &&) = delete;
    ~address_lease();

    const endpoint &operator[](std::size_t index) const
    {
        return m_addresses[index];
    }

private:
    std::vector<endpoint> m_addresses;
};

// waitUntil asks `isTrue` every few milliseconds; false if it does not hold within `atMost`. Thread safe.
bool waitUntil(const std::function<bool()> &isTrue, milliseconds atMost);

// waitForPort waits until a TCP connection to `address` can be made. Thread safe.
bool waitForPort(const endpoint &address, milliseconds atMost);

// readFile returns the content of a file, or an empty text if it cannot be read. Thread safe.
std::string readFile(const std::string &path);

// requireValue returns the value of an attempt and throws std::runtime_error on failure, which fails the test. Thread
// safe.
template<class Function>
auto requireValue(Function &&function)
{
    auto tried = attempt(std::forward<Function>(function));
    if (!tried) {
        throw std::runtime_error(describe(tried.failure()));
    }
    return std::move(*tried);
}

} // namespace pistachioquay
