#pragma once

#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Real processes for tests: started, paused, killed and always reaped.
namespace swiftloft::process_test {

/// A running program. The destructor kills and reaps it; it also dies with the test program.
class ChildProcess {
public:
    struct Options {
        /// Wait for the line `listening IP:PORT` on its standard output.
        bool waitsForListening { true };
        milliseconds startLimit { 10'000 };
    };

    static Result<std::unique_ptr<ChildProcess>> start(std::vector<std::string> command, Options);

    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t pid() const { return m_pid; }
    /// "IP:PORT" from the line `listening IP:PORT`.
    const std::string& address() const { return m_address; }

    /// SIGKILL; returns when the process is gone.
    void kill();
    /// SIGSTOP; returns when the process has stopped.
    void pause();
    void resume();
    void terminate();
    /// Exit status, or 128 and the signal that ended it; empty while it runs at the deadline.
    std::optional<int> waitForExit(TimePoint deadline);
    bool isRunning();

private:
    ChildProcess(pid_t, int output);
    bool readAddress(TimePoint deadline);
    std::optional<int> reap(int flags);

    pid_t m_pid;
    int m_output;
    std::string m_address;
    std::optional<int> m_exitStatus;
};

/// Beginning of a shell command that starts a program which may open this many descriptors; empty for 0.
std::string limitDescriptors(int descriptors);

/// A new folder of its own, removed with all it holds.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

/// Path of a program in the build directory, such as "standin/standin-engine".
std::string builtProgram(const std::string& path);

/// A port with no listener, below the range the kernel draws client ports from, and not given out before by this
/// process.
int freePort();

/// Largest memory in bytes that the process has taken so far; 0 if it has ended.
std::size_t peakMemory(pid_t pid);

/// Waits until the process has read what it was sent: until the largest memory that it has taken no longer changes.
void waitForStableMemory(pid_t pid);

/// Descriptors that the process has open; 0 if it has ended.
std::size_t openDescriptors(pid_t pid);

/// Memory that a process may take by design.
inline constexpr std::size_t maxMemoryBytes { std::size_t { 128 } << 20 };

/// Polls `condition` until it holds; false when it does not by the deadline.
bool waitUntil(TimePoint deadline, const std::function<bool()>& condition);

} // namespace swiftloft::process_test
