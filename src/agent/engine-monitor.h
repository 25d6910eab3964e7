#pragma once

#include "src/agent/events.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace swiftloft::agent {

/// Polls the engine's load page and reports the state of the engine after each probe. Belongs to the control thread.
class EngineMonitor {
public:
    EngineMonitor(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, std::function<void(const Event&)> onEvent);

    void start();

    /// Starts the next probe immediately instead of at its regular time. Has no effect while a probe is in progress.
    /// Each event carries the time at which its probe started.
    void probeNow() { m_timer.cancel(); }

private:
    enum class State {
        Up,
        /// Connections to the engine fail or are reset: its process has gone.
        Unreachable,
        /// The engine doesn't respond in time, or can't be asked.
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
