#pragma once

#include "src/agent/events.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace swiftloft::agent {

/// Polls an engine's load page and reports after each probe how the engine is. Belongs to the control thread.
class EngineMonitor {
public:
    EngineMonitor(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, std::function<void(const Event&)> onEvent);

    void start();

    /// Probes at once; the event that follows belongs to a probe that began after this call.
    void probeNow() { m_timer.cancel(); }

private:
    enum class State {
        Up,
        /// The process answers no connection.
        Unreachable,
        /// Connections open, but no answer comes in time.
        Unresponsive,
    };

    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<State> probe();
    void reportState(State state, TimePoint probedAt);
    void updateSpeed(const std::string& body);

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::endpoint m_engine;
    std::function<void(const Event&)> m_onEvent;
    boost::asio::steady_timer m_timer;
    double m_tokensPerSecond { 0 };
};

} // namespace swiftloft::agent
