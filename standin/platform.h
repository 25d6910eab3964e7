#pragma once

#include "standin/http-server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace swiftloft::standin {

/// A published document with its earlier revisions and those who wait for the next one.
class WatchedDocument {
public:
    explicit WatchedDocument(boost::asio::io_context&);

    /// Publishes `text` under the next revision and wakes every watch.
    void publish(std::string text);
    /// The revision now served.
    std::uint64_t revision() const;
    /// The revision that the next `publish` will take.
    std::uint64_t nextRevision() const;
    const std::string& text() const;

    /// Serves revision `pinned` or the nearest older one, as a stale replica does; 0 serves the newest again.
    void pin(std::uint64_t pinned);
    /// Waits until the served revision is above `seen` or the deadline has passed.
    boost::asio::awaitable<void> waitPast(std::uint64_t seen, std::chrono::steady_clock::time_point deadline);

private:
    using History = std::map<std::uint64_t, std::string>;

    History::const_iterator served() const;
    void wakeAll();

    boost::asio::io_context& m_io;
    History m_history;
    std::uint64_t m_pinned { 0 };
    std::set<boost::asio::steady_timer*> m_waiting;
};

/// Counts calls by second and says when the rate is used up.
class CallCounter {
public:
    explicit CallCounter(std::int64_t callsPerSecond);

    /// Counts one call at `now`; false when it is over the rate.
    bool admit(std::chrono::steady_clock::time_point now);
    boost::json::object toJson() const;

private:
    std::int64_t m_limit;
    std::int64_t m_total { 0 };
    std::int64_t m_refused { 0 };
    std::int64_t m_peak { 0 };
    std::int64_t m_second { 0 };
    std::int64_t m_inSecond { 0 };
};

struct PlatformOptions {
    std::int64_t callsPerSecond { 2000 };
    std::int64_t weightBytesPerSecond { 1 << 30 };
};

/// Configuration service, instance list and weight store.
class Platform {
public:
    Platform(boost::asio::io_context&, PlatformOptions);

    void publishSettings(std::string ini) { m_settings.publish(std::move(ini)); }
    /// Takes a JSON array of instances, or an object with a member `instances`.
    void publishInstances(const std::string& json);

    boost::asio::awaitable<void> handle(Exchange&);

private:
    boost::asio::awaitable<void> handleRead(Exchange&);
    boost::asio::awaitable<void> handleAdmin(Exchange&);
    boost::asio::awaitable<void> serveDocument(Exchange&, WatchedDocument&, std::string contentType);
    boost::asio::awaitable<void> servePart(Exchange&);
    boost::asio::awaitable<void> serveWeights(Exchange&);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);
    void setFault(const std::string& body);
    void changeInstance(const std::string& id, const std::string& patch);
    void removeInstance(const std::string& id);
    void publishInstanceList();

    boost::asio::io_context& m_io;
    PlatformOptions m_options;
    WatchedDocument m_settings;
    WatchedDocument m_instances;
    boost::json::array m_instanceList;
    std::map<std::string, std::string, std::less<>> m_parts;
    CallCounter m_calls;
    std::string m_fault { "none" };
    std::chrono::milliseconds m_slowDelay { 0 };
    std::chrono::steady_clock::time_point m_weightsFreeAt;
};

} // namespace swiftloft::standin
