#include "testing/harness/process.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/random.h"

namespace pistachioquay {

namespace {

constexpr milliseconds pollInterval(2);
constexpr const char *loopback = "127.0.0.1";

// Runs in the child between fork and exec, where only async-signal-safe functions are allowed.
[[noreturn]] void becomeProgram(char *const *arguments, int logHandle)
{
    constexpr int execFailed = 127;
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // When the shell that started the tests ends, the kernel sends SIGHUP to its process group if a member is stopped.
    setpgid(0, 0);
    dup2(logHandle, STDOUT_FILENO);
    dup2(logHandle, STDERR_FILENO);
    // Sockets of the test itself, such as those of stand-ins, must close when the test closes them.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    execv(arguments[0], arguments);
    _exit(execFailed);
}

sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, loopback, &address.sin_addr);
    return address;
}

bool isBindable(std::uint16_t port, int type)
{
    const int handle = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    const bool isFree = bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(handle);
    return isFree;
}

} // namespace

child_process::child_process(pid_t pid, std::string logFile)
    : m_pid(pid)
    , m_logFile(std::move(logFile))
{
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
    , m_exit(other.m_exit)
    , m_logFile(std::move(other.m_logFile))
{
}

child_process &child_process::operator=(child_process &&other) noexcept
{
    if (this != &other) {
        kill();
        m_pid = std::exchange(other.m_pid, 0);
        m_exit = other.m_exit;
        m_logFile = std::move(other.m_logFile);
    }
    return *this;
}

child_process::~child_process()
{
    kill();
}

pid_t child_process::pid() const
{
    return m_pid;
}

bool child_process::collectExit()
{
    int status = 0;
    if (m_pid != 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exit = WIFSIGNALED(status) ? exit_status{0, WTERMSIG(status)} : exit_status{WEXITSTATUS(status), 0};
        m_pid = 0;
    }
    return m_pid == 0;
}

bool child_process::isRunning()
{
    return !collectExit();
}

bool child_process::send(int signal)
{
    return !collectExit() && ::kill(m_pid, signal) == 0;
}

std::optional<exit_status> child_process::waitForExit(milliseconds atMost)
{
    waitUntil(
        [this] {
            return collectExit();
        },
        atMost);
    return m_exit;
}

void child_process::kill()
{
    constexpr milliseconds killBound(10'000);
    if (send(SIGKILL)) {
        waitForExit(killBound);
    }
}

std::string child_process::log() const
{
    return readFile(m_logFile);
}

result<child_process> startProcess(const process_options &options)
{
    constexpr int ownerAndReaders = 0644;
    const int logHandle = open(options.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, ownerAndReaders);
    if (logHandle < 0 || access(options.program.c_str(), X_OK) != 0) {
        close(logHandle);
        return fail(error_kind::Io, "cannot start " + options.program, "build it and check the folder of its log file");
    }
    std::vector<char *> arguments{const_cast<char *>(options.program.c_str())};
    for (const std::string &argument : options.arguments) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t pid = fork();
    if (pid == 0) {
        becomeProgram(arguments.data(), logHandle);
    }
    close(logHandle);
    if (pid < 0) {
        return fail(error_kind::Io, std::string("cannot fork: ") + std::strerror(errno), "start fewer processes");
    }
    return child_process(pid, options.logFile);
}

temp_folder::temp_folder()
{
    m_path = (std::filesystem::temp_directory_path() / "pq-test-XXXXXX").string();
    if (mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder for the test; check the space and rights of the temp folder");
    }
}

temp_folder::~temp_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

const std::string &temp_folder::path() const
{
    return m_path;
}

std::string temp_folder::file(std::string_view name) const
{
    return m_path + "/" + std::string(name);
}

namespace {

constexpr std::uint16_t firstTestPort = 20'000;
constexpr std::uint16_t portsOfProgram = 500;
constexpr int portSlots = 24; // up to 32,000; outgoing connections take 32768 and up

// Test programs run in parallel, and a port that one found free can be taken by another before its child binds it. So
// each program holds a lock on a range of its own until it ends. Without a free range the first one is shared.
std::uint16_t lowestOwnPort()
{
    for (int slot = 0; slot < portSlots; ++slot) {
        const std::string path = "/tmp/pq-test-ports-" + std::to_string(slot) + ".lock";
        const int lock = ::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
        if (lock >= 0 && ::flock(lock, LOCK_EX | LOCK_NB) == 0) {
            return static_cast<std::uint16_t>(firstTestPort + slot * portsOfProgram);
        }
        ::close(lock);
    }
    return firstTestPort;
}

struct own_ports
{
    const std::uint16_t lowest = lowestOwnPort();
    std::mutex mutex; // guards what follows
    std::set<std::uint16_t> given;
    random_generator generator = seededFromDevice();
};

own_ports &ownPorts()
{
    static own_ports ports;
    return ports;
}

// The caller holds the mutex.
void giveBack(own_ports &ports, const std::vector<endpoint> &addresses)
{
    for (const endpoint &address : addresses) {
        ports.given.erase(address.port);
    }
}

} // namespace

std::vector<endpoint> freeAddresses(std::size_t count)
{
    own_ports &ports = ownPorts();
    const auto highest = static_cast<std::uint16_t>(ports.lowest + portsOfProgram - 1);
    const std::lock_guard guard(ports.mutex);
    std::vector<endpoint> addresses;
    while (addresses.size() < count && ports.given.size() < portsOfProgram) {
        const auto port = std::uniform_int_distribution<std::uint16_t>(ports.lowest, highest)(ports.generator);
        if (!ports.given.contains(port) && isBindable(port, SOCK_STREAM) && isBindable(port, SOCK_DGRAM)) {
            ports.given.insert(port);
            addresses.push_back({loopback, port});
        }
    }
    if (addresses.size() < count) {
        giveBack(ports, addresses);
        throw std::runtime_error("this test program has used all " + std::to_string(portsOfProgram)
                                 + " ports of its range; hold them with address_lease, which gives them back");
    }
    return addresses;
}

std::vector<endpoint> adjacentFreeAddresses(std::size_t count)
{
    own_ports &ports = ownPorts();
    const std::lock_guard guard(ports.mutex);
    const auto isFree = [&](std::uint16_t port) {
        return !ports.given.contains(port) && isBindable(port, SOCK_STREAM) && isBindable(port, SOCK_DGRAM);
    };
    std::vector<endpoint> addresses;
    for (std::uint16_t offset = 0; addresses.size() < count && offset < portsOfProgram; ++offset) {
        const auto port = static_cast<std::uint16_t>(ports.lowest + offset);
        if (isFree(port)) {
            addresses.push_back({loopback, port});
        } else {
            addresses.clear();
        }
    }
    if (addresses.size() < count) {
        throw std::runtime_error("this test program has no " + std::to_string(count)
                                 + " consecutive ports left in its range; hold them with address_lease");
    }
    for (const endpoint &address : addresses) {
        ports.given.insert(address.port);
    }
    return addresses;
}

address_lease::address_lease(std::vector<endpoint> addresses)
    : m_addresses(std::move(addresses))
{
}

address_lease::~address_lease()
{
    own_ports &ports = ownPorts();
    const std::lock_guard guard(ports.mutex);
    giveBack(ports, m_addresses);
}

endpoint freeAddress()
{
    return freeAddresses(1).front();
}

bool waitUntil(const std::function<bool()> &isTrue, milliseconds atMost)
{
    const time_point until = steadyNow() + atMost;
    while (!isTrue()) {
        if (steadyNow() >= until) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

bool waitForPort(const endpoint &address, milliseconds atMost)
{
    const auto isOpen = [&] {
        const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in target = loopbackAddress(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
        const bool isConnected = connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0;
        close(handle);
        return isConnected;
    };
    return waitUntil(isOpen, atMost);
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace pistachioquay
