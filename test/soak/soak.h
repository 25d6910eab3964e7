#pragma once

#include "test/process/process-harness.h"
#include "test/process/relay.h"
#include "test/soak/users-platform.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

/// A randomized soak of real entries against the users' platform: processes are stopped, paused, killed and restarted,
/// connections delayed, cut and silenced, the store and the servers misbehave, all from a seed. What callers and backend
/// servers saw is checked at the end.
namespace swiftloft::soak {

struct SoakOptions {
    std::uint64_t seed { 1 };
    int entries { 3 };
    int servers { 4 };
    int clients { 12 };
    seconds length { 8 };
    std::string program;
};

/// What a caller saw of one request.
struct Outcome {
    std::string id;
    /// "stream", "once" or "safe".
    std::string kind;
    std::string key;
    TimePoint sentAt;
    /// 0 when no answer came.
    unsigned status { 0 };
    bool isWhole { false };
    std::string body;
};

class Soak {
public:
    explicit Soak(const SoakOptions& options);
    ~Soak();

    /// Runs it; returns what was broken, empty when nothing was.
    std::vector<std::string> run();
    /// What was done when, for a trace.
    const std::vector<std::string>& events() const { return m_events; }
    std::size_t requests() const { return m_outcomes.size(); }
    std::size_t served() const;

private:
    struct Entry {
        std::string settings;
        std::string clients;
        std::unique_ptr<process_test::Relay> store;
        std::unique_ptr<process_test::ChildProcess> process;
        bool isPaused { false };
    };
    struct Span {
        TimePoint begin;
        TimePoint end;
    };

    void startEntry(std::size_t index);
    void note(const std::string& text);
    void clientLoop(std::uint64_t seed);
    void disturbEntry(std::mt19937_64& random);
    void disturbStore(std::mt19937_64& random);
    void returnStore(std::mt19937_64& random);
    void disturbServer(std::mt19937_64& random);
    void limitServer(std::mt19937_64& random);
    void restServers(std::mt19937_64& random);
    void calm();
    void stopGracefully(std::size_t index);
    bool servesAgain();
    std::vector<std::string> check();
    void checkRuns(const Outcome& outcome, const std::vector<Run>& runs, std::vector<std::string>& broken) const;
    void checkBody(const Outcome& outcome, std::vector<std::string>& broken) const;
    void checkLeaving(const Outcome& outcome, const std::vector<Run>& runs, std::vector<std::string>& broken) const;
    void checkDrains(std::vector<std::string>& broken) const;
    bool wasStoreDisturbed(TimePoint from, TimePoint to) const;
    std::string currentKey();

    SoakOptions m_options;
    process_test::TemporaryFolder m_folder;
    UsersPlatform m_platform;
    std::vector<std::unique_ptr<process_test::Relay>> m_serverRelays;
    std::vector<Entry> m_entries;
    std::atomic<bool> m_isOver { false };
    mutable std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::vector<std::string> m_events;
    std::string m_key;
    /// When each key ceased to be valid.
    std::map<std::string, TimePoint> m_revokedAt;
    std::vector<Span> m_storeDisturbances;
    std::vector<std::string> m_broken;
    /// Entries that did not answer when all were asked last, with the status and the first line of what came.
    std::string m_notServing;
    TimePoint m_began;
    int m_lastKey { 0 };
};

} // namespace swiftloft::soak
