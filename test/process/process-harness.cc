#include "test/process/process-harness.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace swiftloft::process_test {

namespace {

constexpr milliseconds pollInterval { 5 };
constexpr int signalBase = 128;
constexpr int cannotExecute = 127;
constexpr int firstPort = 10'000;
constexpr int portCount = 22'000;
constexpr int portsOfProcess = 200;

[[noreturn]] void runChild(char* const* arguments, int output, pid_t parent)
{
    // A test program that crashes must leave no process behind.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(cannotExecute);
    ::dup2(output, STDOUT_FILENO);
    ::closefrom(STDERR_FILENO + 1);
    ::execv(arguments[0], arguments);
    ::_exit(cannotExecute);
}

bool canBind(int port)
{
    auto fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    return isFree;
}

} // namespace

ChildProcess::ChildProcess(pid_t pid, int output)
    : m_pid(pid)
    , m_output(output)
{
}

Result<std::unique_ptr<ChildProcess>> ChildProcess::start(std::vector<std::string> command, Options options)
{
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0)
        return Error { ErrorCode::Internal, "no pipe" };
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto& argument : command)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    auto parent = ::getpid();
    auto pid = ::fork();
    if (pid == 0)
        runChild(arguments.data(), ends[1], parent);
    ::close(ends[1]);
    if (pid < 0) {
        ::close(ends[0]);
        return Error { ErrorCode::Internal, "no process" };
    }
    std::unique_ptr<ChildProcess> child(new ChildProcess(pid, ends[0]));
    if (options.waitsForListening && !child->readAddress(Clock::now() + options.startLimit))
        return Error { ErrorCode::TimedOut, fmt::format("'{}' did not say that it listens", command.front()) };
    return child;
}

ChildProcess::~ChildProcess()
{
    kill();
    ::close(m_output);
}

bool ChildProcess::readAddress(TimePoint deadline)
{
    constexpr std::string_view mark = "listening ";
    std::string text;
    while (Clock::now() < deadline) {
        pollfd waiting { m_output, POLLIN, 0 };
        ::poll(&waiting, 1, static_cast<int>(pollInterval.count()));
        if (!(waiting.revents & (POLLIN | POLLHUP)))
            continue;
        char buf[256];
        auto n = ::read(m_output, buf, sizeof(buf));
        if (n <= 0)
            return false;
        text.append(buf, static_cast<std::size_t>(n));
        auto begin = text.find(mark);
        auto end = begin == std::string::npos ? begin : text.find('\n', begin);
        if (end == std::string::npos)
            continue;
        m_address = text.substr(begin + mark.size(), end - begin - mark.size());
        return true;
    }
    return false;
}

std::optional<int> ChildProcess::reap(int flags)
{
    if (m_exitStatus)
        return m_exitStatus;
    int status = 0;
    if (::waitpid(m_pid, &status, flags) != m_pid)
        return std::nullopt;
    m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
    return m_exitStatus;
}

void ChildProcess::kill()
{
    if (reap(WNOHANG))
        return;
    ::kill(m_pid, SIGKILL);
    reap(0);
}

void ChildProcess::pause()
{
    ::kill(m_pid, SIGSTOP);
    int status = 0;
    ::waitpid(m_pid, &status, WUNTRACED);
}

void ChildProcess::resume()
{
    ::kill(m_pid, SIGCONT);
}

void ChildProcess::terminate()
{
    ::kill(m_pid, SIGTERM);
}

std::optional<int> ChildProcess::waitForExit(TimePoint deadline)
{
    waitUntil(deadline, [this] { return reap(WNOHANG).has_value(); });
    return m_exitStatus;
}

bool ChildProcess::isRunning()
{
    return !reap(WNOHANG);
}

TemporaryFolder::TemporaryFolder()
    : m_path((std::filesystem::temp_directory_path() / "swiftloft-test-XXXXXX").string())
{
    if (!::mkdtemp(m_path.data()))
        throw Exception({ ErrorCode::Internal, "no temporary folder" });
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

std::string builtProgram(const std::string& path)
{
    return std::string(SWIFTLOFT_BUILD_DIR "/") + path;
}

int freePort()
{
    static int next = static_cast<int>(::getpid()) * portsOfProcess;
    for (int n = 0; n < portCount; ++n) {
        auto port = firstPort + next++ % portCount;
        if (canBind(port))
            return port;
    }
    throw Exception({ ErrorCode::Unavailable, "no free port" });
}

bool waitUntil(TimePoint deadline, const std::function<bool()>& condition)
{
    while (!condition()) {
        if (Clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string limitDescriptors(int descriptors)
{
    return descriptors > 0 ? fmt::format("ulimit -n {}; ", descriptors) : "";
}

std::size_t peakMemory(pid_t pid)
{
    std::ifstream in(fmt::format("/proc/{}/status", pid));
    std::string line;
    while (std::getline(in, line)) {
        constexpr std::string_view peak = "VmHWM:";
        if (line.starts_with(peak))
            return std::stoul(line.substr(peak.size())) << 10U;
    }
    return 0;
}

void waitForStableMemory(pid_t pid)
{
    constexpr milliseconds stableTime { 1000 };
    std::size_t peak = 0;
    auto stableAt = Clock::now() + stableTime;
    waitUntil(Clock::now() + seconds(30), [&] {
        auto now = peakMemory(pid);
        if (std::exchange(peak, now) != now)
            stableAt = Clock::now() + stableTime;
        return Clock::now() >= stableAt;
    });
}

std::size_t openDescriptors(pid_t pid)
{
    std::error_code ec;
    std::filesystem::directory_iterator it(fmt::format("/proc/{}/fd", pid), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(it), end(it)));
}

} // namespace swiftloft::process_test
