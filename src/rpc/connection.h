#pragma once

#include "src/rpc/asio-stream.h"

#include <capnp/capability.h>
#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <memory>

namespace swiftloft::rpc {

/// Limits on what a peer may send: a message over this many words, or nested deeper, is refused and its connection
/// dropped. Guards against a broken or hostile peer that would make a reader walk for ever or exhaust memory.
capnp::ReaderOptions readerOptions();

/// An outgoing RPC connection. Belongs to one `EventLoop` thread.
class ClientConnection {
public:
    explicit ClientConnection(boost::asio::ip::tcp::socket socket);

    capnp::Capability::Client bootstrap() { return m_system.bootstrap(); }

    /// Resolves when the connection is gone.
    kj::Promise<void> onDisconnect() { return m_network.onDisconnect(); }

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    class System {
    public:
        explicit System(capnp::TwoPartyVatNetwork& network);
        capnp::Capability::Client bootstrap();

    private:
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    } m_system;
};

/// Accepts RPC connections and serves one bootstrap interface to all of them. Belongs to one `EventLoop` thread.
class Listener final : private kj::TaskSet::ErrorHandler {
public:
    Listener(boost::asio::io_context& ioContext, const boost::asio::ip::tcp::endpoint& endpoint, capnp::Capability::Client bootstrap);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return m_acceptor.local_endpoint(); }

    /// Takes no further connections; those that are open go on.
    void close();

private:
    struct ServerConnection;

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    void taskFailed(kj::Exception&& exception) override;

    boost::asio::ip::tcp::acceptor m_acceptor;
    capnp::Capability::Client m_bootstrap;
    kj::TaskSet m_connections;
};

} // namespace swiftloft::rpc
