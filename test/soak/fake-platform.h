#pragma once

#include "standin/http-server.h"
#include "test/back-off-rule.h"
#include "test/crash-rule.h"
#include "test/limit-rule.h"

#include <swiftloft/units.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Fake of the users' platform on the loopback address: its store, and backend servers that record what they ran. Runs on its
/// own thread; all functions may be called from any thread.
namespace swiftloft::soak {

enum class StoreMode {
    Normal,
    /// Returns status 503.
    Unavailable,
    /// Accepts requests and never responds.
    Silent,
};

enum class ServerMode {
    Normal,
    /// Runs requests and drops the connection instead of responding.
    DroppingResponses,
    /// Rejects requests without running them.
    Full,
    /// Ends streams in the middle of an event.
    TruncatingStreams,
    /// Sends responses that carry the id of another request.
    StrayResponses,
    /// Runs requests and responds only after a minute.
    Silent,
    /// Sends nothing for a minute after the first events of a stream, or after half of another response.
    Stalling,
    /// Pauses each stream once, for `streamPause`, and rejects streams that another server has begun. Sends other responses after
    /// `plainPause`.
    Pausing,
};

/// One run of a request at a server.
struct Run {
    std::string server;
    std::string path;
    std::string organisation;
    TimePoint at;
    std::uint64_t configuration { 0 };
    /// When the server first reported to the entry that it is leaving; unset if it has not.
    std::optional<TimePoint> leavingAnnouncedAt {};
};

class FakePlatform {
public:
    /// Creates `servers` backend servers of one service, each with `slots` slots.
    FakePlatform(int servers, int slots);
    ~FakePlatform();

    std::string storeAddress() const { return m_storeAddress; }
    void setStoreMode(StoreMode mode) { m_storeMode = mode; }
    void setServerMode(std::size_t server, ServerMode mode);
    /// Sets the interval between the events of all streams, from their next event on.
    void setEventInterval(milliseconds interval) { m_eventInterval = interval; }
    /// Sets the limit, in requests per second, that the server advertises in its responses; unset for none.
    void setLimit(std::size_t server, std::optional<double> rate);
    /// Makes the server reject all requests and ask for a back-off of this length; unset to stop.
    void setBackOff(std::size_t server, std::optional<milliseconds> backOff);
    /// Exempts an entry that is killed, stopped, paused or resumed from the limits and back-offs that were requested around now,
    /// and from the rule about crashing requests.
    void exemptEntry(int entry);
    /// Request id that tells the fake platform through which entry the request is sent. A plain id counts as entry 0.
    static std::string requestIdVia(const std::string& id, std::size_t entry);
    /// Violations of the limits that servers advertised and of the back-offs that they asked for; empty if there are none.
    std::vector<std::string> violations() const;
    /// Limits of the configurations that are published from now on.
    struct ClientLimits {
        std::size_t maxBodyBytes { 100'000 };
        milliseconds idleTimeout { 15'000 };
    };
    void setClientLimits(const ClientLimits& limits) { m_limits = limits; }
    /// Publishes a configuration in which `key` belongs to `organisation`; returns its version.
    std::uint64_t publish(const std::string& key, const std::string& organisation);
    /// Copy of the store's current state, from which it can be restored later.
    struct StoreCopy;
    std::shared_ptr<const StoreCopy> copyStore() const;
    /// Restores the store from an older copy: its era rises, its revisions go back and are issued again. What the operator and
    /// the live servers wrote since is written again after `rewriteAfter`. Entries in the copy of servers that have left
    /// meanwhile expire after `expireAfter`.
    void restoreStore(const StoreCopy& copy, milliseconds rewriteAfter, milliseconds expireAfter);
    /// Removes the server's list entry without listing it as draining. The server continues to serve for a moment and reports in
    /// its responses that it is leaving; then a new server takes its place and its address. Returns the id of the server.
    std::string leave(std::size_t server);
    /// Lists the server as draining. After a moment a new server with another id takes its place and its address. Returns the id
    /// of the server.
    std::string drain(std::size_t server);
    /// The server's process ends and is started again under the same id. Nothing happens to its open connections: cut them off
    /// first. Returns false if the server is leaving or down.
    bool restart(std::size_t server);
    /// Body of a request that crashes each server that begins to run it.
    static constexpr std::string_view crashingBody { "crash" };
    /// Part of prompts that crashes each server that begins to write a response on it; not as the last part.
    static constexpr std::string_view crashingPart { "bad1d" };
    using OnCrash = std::function<void(std::size_t server, bool isDown)>;
    /// `hook` is called on the platform's thread when a server crashes, and when a new one starts at its address. It must
    /// close and open the address at which the server is listed.
    void setOnCrash(OnCrash hook);
    /// Ends the server's process. A new server with another id starts at the address after `crashedDownTime`.
    void crash(std::size_t server);
    static constexpr milliseconds crashedDownTime { 1500 };
    /// Number of crashes so far.
    int crashes() const;
    std::size_t servers() const { return m_servers.size(); }
    std::string addressOf(std::size_t server) const { return m_servers[server].http ? m_servers[server].ownAddress : ""; }
    /// Lists the server at another address, such as that of a relay in front of it.
    void setListedAddress(std::size_t server, const std::string& address);

    /// All runs so far, by request id.
    std::map<std::string, std::vector<Run>> runs() const;
    /// When each server that has left was listed as draining or removed.
    std::map<std::string, TimePoint> drainedAt() const;
    /// When each server, by its id, first reported to each entry that it is leaving.
    std::map<std::string, std::map<int, TimePoint>> leavingAnnouncedAt() const;

    /// True if the response to the request has neither a length nor chunks.
    static bool endsWithConnection(std::string_view id);
    /// Ids that begin so get responses of 240 KB.
    static constexpr std::string_view largeIdPrefix { "large-" };
    /// Body of a server's response to a plain request, and the number and content of the events of its streams.
    static std::string plainBody(const std::string& id);
    static constexpr int eventsPerStream { 12 };
    /// Shorter than the two seconds after which clients leave a stream.
    static constexpr milliseconds streamPause { 1700 };
    /// Longer than three latency objectives of the routes, and shorter than their timeouts.
    static constexpr milliseconds plainPause { 1000 };
    static std::string eventText(const std::string& id, int n);
    static std::string completeStream(const std::string& id);

private:
    struct Server {
        std::string id;
        /// Address in the list, and the address on which the server listens.
        std::string address;
        std::string ownAddress;
        std::unique_ptr<standin::HttpServer> http;
        ServerMode mode { ServerMode::Normal };
        std::string state { "ready" };
        /// Unix time in milliseconds.
        std::uint64_t startedAt { 0 };
        /// The server's list entry was removed or is marked as draining.
        bool isLeaving { false };
        /// False for a server whose entry was removed while it was ready: it no longer writes its entry.
        bool hasListEntry() const { return !isLeaving || state == "draining"; }
        int running { 0 };
        std::optional<double> limit;
        test::LimitRule limitRule;
        std::optional<milliseconds> backOff;
        test::BackOffRule backOffRule;
        bool isDown { false };
        bool isRunning() const { return !isLeaving && !isDown; }
    };
    /// One process of a server.
    struct Process {
        std::size_t server { 0 };
        std::uint64_t startedAt { 0 };
    };
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        bool isRemoved { false };
    };
    using Items = std::map<std::string, Item>;

    boost::asio::awaitable<void> serveStore(standin::Exchange& exchange);
    boost::asio::awaitable<void> serveRequest(std::size_t index, standin::Exchange& exchange);
    boost::asio::awaitable<void> answer(Process process, standin::Exchange& exchange, ServerMode mode);
    void crashUnder(Process process, test::CrashRule& rule);
    /// The server crashes after the head of its response, or in the middle of an event, and its system closes the
    /// connection as after a complete response.
    boost::asio::awaitable<void> crashUnderPart(Process process, standin::Exchange& exchange);
    boost::asio::awaitable<void> stream(standin::Exchange& exchange, ServerMode mode);
    void put(const std::string& key, const std::string& value);
    void listServer(std::size_t index);
    void startSuccessor(std::size_t index, const std::string& id);
    void resetProcess(std::size_t index);
    void replaceAfter(std::size_t index, const std::string& id, milliseconds time);
    void runAfter(milliseconds time, std::function<void()> action);
    void rewriteItems();
    void expireStaleEntries();
    std::uint64_t era() const;
    std::uint64_t revision() const;
    std::string listBody(const std::string& prefix) const;
    std::string watchBody(const std::string& prefix, std::uint64_t after, bool isDue) const;
    boost::json::array itemsSince(const std::string& prefix, std::uint64_t after, bool withRemoved) const;

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_io.get_executor() };
    mutable std::recursive_mutex m_mutex;
    std::unique_ptr<standin::HttpServer> m_store;
    std::string m_storeAddress;
    std::atomic<StoreMode> m_storeMode { StoreMode::Normal };
    std::atomic<milliseconds> m_eventInterval { milliseconds(15) };
    Items m_items;
    std::uint64_t m_revision { 10 };
    std::uint64_t m_era { 3 };
    std::uint64_t m_version { 0 };
    std::string m_configuration;
    ClientLimits m_limits;
    std::vector<Server> m_servers;
    int m_slots;
    int m_lastId { 0 };
    std::map<std::string, std::vector<Run>> m_runs;
    std::map<std::string, TimePoint> m_drainedAt;
    std::map<std::string, std::map<int, TimePoint>> m_leavingAnnouncedAt;
    OnCrash m_onCrash;
    int m_crashes { 0 };
    /// By organisation: the same body of another caller is another request.
    test::CrashRule m_partCrashRule { test::CrashRule::forPromptPart() };
    std::map<std::string, test::CrashRule> m_crashRules;
    test::CrashRule& crashRuleOf(const std::string& organisation) { return m_crashRules.try_emplace(organisation, test::CrashRule::forRequest()).first->second; }
    std::thread m_thread;
};

struct FakePlatform::StoreCopy {
    Items items;
    std::uint64_t revision { 0 };
};

} // namespace swiftloft::soak
