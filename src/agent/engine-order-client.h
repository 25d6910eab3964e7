#pragma once

#include "src/expertmap/engine-json.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace swiftloft::agent {

/// Sends a rank agent's orders to its engine over a single connection. Belongs to the control thread.
///
/// An order is never sent twice. When the connection breaks, the outcome of the order is read from the engine afterwards.
class EngineOrderClient {
public:
    struct Hooks {
        std::function<void(const expertmap::rank::EngineResponded&)> onResponse;
        /// The connection broke. The next order opens a new one.
        std::function<void()> onDisconnected;
    };

    EngineOrderClient(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, Hooks hooks);
    ~EngineOrderClient();

    /// Sends an order. If an earlier order is still waiting for its response, that order is abandoned and its connection
    /// closed.
    void send(const expertmap::EngineOrder& order, const expertmap::ExpertMap* map);

private:
    struct Connection;

    boost::asio::awaitable<void> exchange(std::shared_ptr<Connection> connection, std::uint64_t id, std::string body);
    void handleDisconnect(const std::shared_ptr<Connection>& connection);

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::endpoint m_engine;
    Hooks m_hooks;
    std::shared_ptr<Connection> m_connection;
};

} // namespace swiftloft::agent
