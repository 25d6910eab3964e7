#pragma once

#include "src/agent/events.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace swiftloft::agent {

/// Polls an engine's load page and says when the engine comes up or goes down. Belongs to the control thread.
class EngineMonitor {
public:
    EngineMonitor(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, std::function<void(const Event&)> onEvent);

    void start();

private:
    enum class State {
        Unknown,
        Up,
        /// The process answers no connection.
        Gone,
        /// Connections open, but no answer comes in time.
        Silent,
    };

    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<State> probe();
    void enter(State state);

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::endpoint m_engine;
    std::function<void(const Event&)> m_onEvent;
    State m_state { State::Unknown };
};

} // namespace swiftloft::agent
