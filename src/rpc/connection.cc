#include "src/rpc/connection.h"

namespace swiftloft::rpc {

namespace {

constexpr std::uint64_t traversalLimitWords = 4ULL * 1024 * 1024;
constexpr int nestingLimit = 32;

capnp::rpc::twoparty::VatId::Reader serverVatId(capnp::MallocMessageBuilder& message)
{
    auto vatId = message.initRoot<capnp::rpc::twoparty::VatId>();
    vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
    return vatId;
}

} // namespace

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = traversalLimitWords;
    options.nestingLimit = nestingLimit;
    return options;
}

ClientConnection::System::System(capnp::TwoPartyVatNetwork& network)
    : m_rpc(capnp::makeRpcClient(network))
{
}

capnp::Capability::Client ClientConnection::System::bootstrap()
{
    capnp::MallocMessageBuilder message;
    return m_rpc.bootstrap(serverVatId(message));
}

ClientConnection::ClientConnection(boost::asio::ip::tcp::socket socket)
    : m_stream(makeAsioStream(std::move(socket)))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
    , m_system(m_network)
{
}

struct Listener::ServerConnection {
    ServerConnection(boost::asio::ip::tcp::socket socket, capnp::Capability::Client bootstrap)
        : stream(makeAsioStream(std::move(socket)))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , system(capnp::makeRpcServer(network, kj::mv(bootstrap)))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

Listener::Listener(boost::asio::io_context& ioContext, const boost::asio::ip::tcp::endpoint& endpoint, capnp::Capability::Client bootstrap)
    : m_acceptor(ioContext, endpoint)
    , m_bootstrap(kj::mv(bootstrap))
    , m_connections(*this)
{
    accept();
}

void Listener::close()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void Listener::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (!ec)
            serve(std::move(socket));
        accept();
    });
}

void Listener::serve(boost::asio::ip::tcp::socket socket)
{
    auto connection = kj::heap<ServerConnection>(std::move(socket), m_bootstrap);
    auto gone = connection->network.onDisconnect();
    m_connections.add(gone.attach(kj::mv(connection)));
}

// A connection that ends in an error is as gone as one that was closed; its calls have failed on their own.
void Listener::taskFailed(kj::Exception&&)
{
}

} // namespace swiftloft::rpc
