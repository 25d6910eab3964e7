#pragma once

#include "test/process/http-call.h"
#include "test/process/process-harness.h"
#include "test/process/relay.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::process_test {

/// A small deployment of real processes on the loopback address: the platform stand-in, model engines and plain servers
/// each with an agent, and entries.
class Fleet {
public:
    struct Options {
        std::size_t entries { 1 };
        std::size_t engines { 2 };
        std::size_t plainServers { 0 };
        /// Puts a relay between the entries and each agent.
        bool hasRelays { false };
        std::vector<std::string> engineOptions;
        /// The engines are the ranks of the group "ranks", which needs its section in `settings`.
        bool isRankGroup { false };
        /// Extra settings, appended to the tree.
        std::string settings;
        /// How long clients may keep an address answer, as a settings value.
        std::string keepTime { "1s" };
        /// Descriptors that an entry may open; 0 for as many as this process.
        int entryDescriptors { 0 };
    };

    explicit Fleet(Options options);
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    struct Server {
        std::string id;
        std::string service;
        int backendPort { 0 };
        int rpcPort { 0 };
        int peerPort { 0 };
        int statusPort { 0 };
        std::unique_ptr<ChildProcess> backend;
        std::unique_ptr<ChildProcess> agent;
        std::unique_ptr<Relay> relay;

        std::string backendAddress() const;
        std::string statusAddress() const;
    };

    struct Entry {
        std::string id;
        int port { 0 };
        int peerPort { 0 };
        std::unique_ptr<ChildProcess> process;

        std::string address() const;
    };

    ChildProcess& platform() { return *m_platform; }
    const std::string& platformAddress() const { return m_platform->address(); }
    Server& engine(std::size_t n) { return m_servers[n]; }
    Server& plain(std::size_t n) { return m_servers[m_options.engines + n]; }
    std::vector<Server>& servers() { return m_servers; }
    Entry& entry(std::size_t n = 0) { return m_entries[n]; }
    std::size_t entryCount() const { return m_entries.size(); }

    void startBackend(Server& server);
    /// The first processes of a fleet say so in their files. Later agents refuse clients' own keys for a while, later
    /// entries have no share of the limits of their own for a while.
    void startAgent(Server& server, bool isFirstStart = false);
    void startEntry(Entry& entry, bool isFirstStart = false);

    /// The instance list as published now.
    std::string instancesJson() const;
    void publishInstances();
    void publishSettings(const std::string& text);
    std::string settingsText() const;

    /// Waits until every entry has settings and sees every backend server up.
    bool waitUntilReady();
    /// State of a backend server as an entry's status page says it; empty when the entry does not answer or know it.
    std::string stateOf(const Entry& entry, const std::string& serverId);

    /// Runs that the engines and plain servers logged under a request body, over the whole fleet.
    std::size_t runsOf(const std::string& body);
    std::size_t runsAt(const Server& server);
    /// Callers' keys of what runs at a server now.
    std::vector<std::string> keysInProgress(const Server& server);

private:
    static std::string writeFile(const std::string& name, const std::string& text);

    Options m_options;
    /// Before the processes, which write into it: removed after they have ended. A folder that a later fleet took over
    /// would hand it the run logs of this one, whose runs would count as doubled.
    TemporaryFolder m_folder;
    std::unique_ptr<ChildProcess> m_platform;
    std::vector<Server> m_servers;
    std::vector<Entry> m_entries;
};

/// A completion request for the fleet's model service.
HttpCall completion(const Fleet::Entry& entry, const std::string& prompt, int tokens, bool isStream = false);
/// A POST to the fleet's plain service, which may not be repeated.
HttpCall order(const Fleet::Entry& entry, const std::string& body, int delayMs = 0);

/// The answer text that a stand-in engine gives to `prompt`.
std::string expectedText(const std::string& prompt, int tokens);
/// The text of a completion answer, streamed or not.
std::string textOf(const replay::ExchangeResult& answer);
std::string verdictOf(const replay::ExchangeResult& answer);

} // namespace swiftloft::process_test
