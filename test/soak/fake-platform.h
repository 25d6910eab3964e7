#pragma once

#include "standin/http-server.h"
#include "test/back-off-rule.h"
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

/// The users' platform on the loopback address: its store, and backend servers that remember what they ran. Runs on a
/// thread of its own; all calls may come from any thread.
namespace swiftloft::soak {

enum class StoreMode {
    Normal,
    /// Answers 503.
    Unavailable,
    /// Takes calls and never answers.
    Silent,
};

enum class ServerMode {
    Normal,
    /// Runs requests and drops the connection instead of answering.
    DroppingResponses,
    /// Turns requests away without running them.
    Full,
    /// Breaks streams off in the middle of an event.
    TruncatingStreams,
    /// Sends the answer to another request before the right one.
    StrayResponses,
    /// Runs requests and answers them only after a minute.
    Silent,
    /// Says nothing for a minute after the first events of a stream.
    Stalling,
};

/// One run of a request at a server.
struct Run {
    std::string server;
    std::string path;
    std::string organisation;
    TimePoint at;
    std::uint64_t configuration { 0 };
    /// When the server first answered that entry that it leaves, if it has.
    std::optional<TimePoint> leavingAnnouncedAt {};
};

class FakePlatform {
public:
    /// `servers` of the one service, each of `slots`.
    FakePlatform(int servers, int slots);
    ~FakePlatform();

    std::string storeAddress() const { return m_storeAddress; }
    void setStoreMode(StoreMode mode) { m_storeMode = mode; }
    void setServerMode(std::size_t server, ServerMode mode);
    /// From now on the server names this many requests a second in its answers, or none.
    void setLimit(std::size_t server, std::optional<double> rate);
    /// From now on the server turns all requests away and asks for so long a rest, or does not any more.
    void setBackOff(std::size_t server, std::optional<milliseconds> backOff);
    /// The entry is killed, stopped, paused or back: it answers for no limit named, and no rest asked for, about then.
    void exemptEntry(int entry);
    /// A request id from which the stand-in learns through which entry a request comes. One without counts as of entry 0.
    static std::string requestIdVia(const std::string& id, std::size_t entry);
    /// What was broken of the limits that servers named and of the rests that they asked for; empty when nothing was.
    std::vector<std::string> violations() const;
    /// Publishes a configuration in which `key` belongs to `organisation`; returns its version.
    std::uint64_t publish(const std::string& key, const std::string& organisation);
    /// The store as it is now, to come back from later.
    struct StoreCopy;
    std::shared_ptr<const StoreCopy> copyStore() const;
    /// The store comes back from an older copy: its era rises, its revisions go back and are given out again. What the operator and
    /// the servers that live wrote since is written again after `rewriteAfter`; of servers that have gone meanwhile, what the copy
    /// holds lapses after `expireAfter`.
    void restoreStore(const StoreCopy& copy, milliseconds rewriteAfter, milliseconds expireAfter);
    /// The server leaves without a word in the list: its entry is removed. It serves on for a moment and says so in its answers; then
    /// a new one takes its place and its address.
    std::string leave(std::size_t server);
    /// The server is listed as draining; a new one with another id takes its place and its address after a moment.
    std::string drain(std::size_t server);
    std::size_t servers() const { return m_servers.size(); }
    std::string addressOf(std::size_t server) const { return m_servers[server].http ? m_servers[server].ownAddress : ""; }
    /// Lists the server at another address, such as that of a relay before it.
    void setListedAddress(std::size_t server, const std::string& address);

    /// All runs so far, by request id.
    std::map<std::string, std::vector<Run>> runs() const;
    /// When each server that has left was listed as draining or removed.
    std::map<std::string, TimePoint> drainedAt() const;
    /// When each server, by its id, first answered each entry that it leaves.
    std::map<std::string, std::map<int, TimePoint>> leavingAnnouncedAt() const;

    /// What a server answers to a plain request, and the events of its streams.
    static std::string plainBody(const std::string& id);
    static constexpr int eventsPerStream { 12 };
    static std::string completeStream(const std::string& id);

private:
    struct Server {
        std::string id;
        /// As listed, and where it listens.
        std::string address;
        std::string ownAddress;
        std::unique_ptr<standin::HttpServer> http;
        ServerMode mode { ServerMode::Normal };
        std::string state { "ready" };
        /// Its entry has been removed, or says that it drains.
        bool isLeaving { false };
        /// False for one that has left without a word: it writes no more.
        bool hasListEntry() const { return !isLeaving || state == "draining"; }
        int running { 0 };
        std::optional<double> limit;
        test::LimitRule limitRule;
        std::optional<milliseconds> backOff;
        test::BackOffRule backOffRule;
    };
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        bool isRemoved { false };
    };
    using Items = std::map<std::string, Item>;

    boost::asio::awaitable<void> serveStore(standin::Exchange& exchange);
    boost::asio::awaitable<void> serveRequest(std::size_t index, standin::Exchange& exchange);
    boost::asio::awaitable<void> answer(std::size_t index, standin::Exchange& exchange, ServerMode mode);
    boost::asio::awaitable<void> stream(standin::Exchange& exchange, ServerMode mode);
    void put(const std::string& key, const std::string& value);
    void listServer(std::size_t index);
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
    Items m_items;
    std::uint64_t m_revision { 10 };
    std::uint64_t m_era { 3 };
    std::uint64_t m_version { 0 };
    std::string m_configuration;
    std::vector<Server> m_servers;
    int m_slots;
    int m_lastId { 0 };
    std::map<std::string, std::vector<Run>> m_runs;
    std::map<std::string, TimePoint> m_drainedAt;
    std::map<std::string, std::map<int, TimePoint>> m_leavingAnnouncedAt;
    std::thread m_thread;
};

struct FakePlatform::StoreCopy {
    Items items;
    std::uint64_t revision { 0 };
};

} // namespace swiftloft::soak
