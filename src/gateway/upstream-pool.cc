#include "src/gateway/upstream-pool.h"

#include "src/gateway/snapshot.h"
#include "src/log/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <netinet/tcp.h>

namespace swiftloft::gateway {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

/// If a silent peer does not acknowledge written bytes for this long, the connection is closed. Packets cross a data centre in
/// milliseconds, and a partition that heals sooner loses nothing.
constexpr unsigned tcpUserTimeoutMs = 3000;

} // namespace

std::size_t idleConnectionLimit(std::uint32_t maximum, std::uint32_t slots, std::size_t entries)
{
    if (maximum == 0)
        return UpstreamPool::maxIdlePerServer;
    auto available = maximum > slots ? maximum - slots : 0;
    return std::min<std::size_t>(available / std::max<std::size_t>(entries, 1), UpstreamPool::maxIdlePerServer);
}

UpstreamConnection::UpstreamConnection(asio::io_context& ioContext, std::shared_ptr<Registry> registry)
    : stream(ioContext)
    , m_registry(std::move(registry))
{
    m_registry->insert(this);
}

/// Resets a connection whose request is still in progress. If a client disconnects while the server is stalled and the
/// connection were closed normally, the server would read the request when it resumes, and run it although the client
/// has left. A reset discards the bytes that the server has not read.
UpstreamConnection::~UpstreamConnection()
{
    m_registry->erase(this);
    if (!isInUse)
        return;
    boost::system::error_code ec;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
}

UpstreamPool::UpstreamPool(asio::io_context& ioContext)
    : m_ioContext(ioContext)
    , m_openConnections(std::make_shared<UpstreamConnection::Registry>())
{
}

UpstreamConnectionPtr UpstreamPool::takeIdle(const BackendServer& server)
{
    auto it = m_idle.find(server.incarnation());
    if (it == m_idle.end())
        return nullptr;
    auto now = Clock::now();
    while (!it->second.empty()) {
        // The connection that was used last is the least likely to be closed by the server at this moment.
        auto idle = std::move(it->second.back());
        it->second.pop_back();
        if (idle.idleUntil <= now || idle.connection->hasServerEnded)
            continue;
        boost::system::error_code ec;
        idle.connection->stream.socket().cancel(ec);
        idle.connection->isReused = true;
        return std::move(idle.connection);
    }
    return nullptr;
}

asio::awaitable<UpstreamConnectionPtr> UpstreamPool::connect(BackendServer server, TimePoint deadline)
{
    auto connection = std::make_unique<UpstreamConnection>(m_ioContext, m_openConnections);
    connection->server = server.incarnation();
    connection->address = server.address;
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(server.address, use_awaitable);
    // The connection leads to a later process of the server.
    if (connection->hasServerEnded)
        throw boost::system::system_error(asio::error::connection_aborted);
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    connection->stream.socket().set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(tcpUserTimeoutMs));
    co_return connection;
}

void UpstreamPool::release(UpstreamConnectionPtr connection, TimePoint idleUntil)
{
    auto server = connection->server;
    auto limit = idleLimitOf(server);
    if (limit == 0 || connection->hasServerEnded)
        return;
    auto& list = m_idle[server];
    connection->stream.expires_never();
    list.push_back({ std::move(connection), idleUntil, ++m_lastNumber });
    if (list.size() > limit)
        list.pop_front();
    co_spawn(m_ioContext, watchIdleConnection(server, m_lastNumber), asio::detached);
}

/// Closes an idle connection when it becomes readable: the server has then closed the connection or sent unsolicited
/// bytes on it. If the connection were reused, a request would be lost or get the bytes of another response.
asio::awaitable<void> UpstreamPool::watchIdleConnection(ServerIncarnation server, std::uint64_t number)
{
    auto& list = m_idle[server];
    auto it = std::find_if(list.begin(), list.end(), [&](auto& idle) { return idle.number == number; });
    if (it == list.end())
        co_return;
    boost::system::error_code ec;
    co_await it->connection->stream.socket().async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(use_awaitable, ec));
    // The wait is cancelled when the connection is taken from the pool.
    if (!ec)
        closeIdleConnection(server, number);
}

void UpstreamPool::closeIdleConnection(const ServerIncarnation& server, std::uint64_t number)
{
    auto it = m_idle.find(server);
    if (it != m_idle.end())
        it->second.remove_if([&](auto& idle) { return idle.number == number; });
}

std::size_t UpstreamPool::idleLimitOf(const ServerIncarnation& server) const
{
    auto it = m_idleLimits.find(server);
    return it == m_idleLimits.end() ? maxIdlePerServer : it->second;
}

void UpstreamPool::applySnapshot(const Snapshot& snapshot)
{
    auto now = Clock::now();
    std::set<ServerIncarnation> listed;
    m_idleLimits.clear();
    for (auto& server : snapshot.servers) {
        listed.insert(server.incarnation());
        auto* service = snapshot.configuration ? snapshot.configuration->findService(server.service) : nullptr;
        if (service)
            m_idleLimits[server.incarnation()] = idleConnectionLimit(service->maximumConnections, server.slots, snapshot.maxEntries);
    }
    for (auto& [server, list] : m_idle) {
        list.remove_if([&](auto& idle) { return idle.idleUntil <= now; });
        while (list.size() > idleLimitOf(server))
            list.pop_front();
    }
    std::erase_if(m_idle, [&](auto& it) { return !listed.contains(it.first); });
    shutDownEndedIncarnations(snapshot.servers);
}

/// If a server's process dies while its link is down and another one is started under its id or at its address, the old
/// connections never report an error, and requests on them would wait until their deadlines. When the connections are shut
/// down, these requests end immediately as lost, and those that may run again are retried. What has arrived of a response
/// before can still be read.
void UpstreamPool::shutDownEndedIncarnations(const std::vector<BackendServer>& listed)
{
    std::map<BackendServerId, ServerStartTime> startsById;
    std::map<Endpoint, ServerStartTime> startsByAddress;
    for (auto& server : listed) {
        startsById[server.id] = server.startedAt;
        auto& start = startsByAddress[server.address];
        start = std::max(start, server.startedAt);
    }
    auto laterStart = [&](const UpstreamConnection& connection) {
        auto byId = startsById.find(connection.server.id);
        auto byAddress = startsByAddress.find(connection.address);
        bool isComparable = connection.server.startedAt != ServerStartTime() && byAddress != startsByAddress.end();
        return std::max(byId == startsById.end() ? ServerStartTime() : byId->second, isComparable ? byAddress->second : ServerStartTime());
    };
    struct Disconnected {
        ServerStartTime later;
        int connections { 0 };
        int inUse { 0 };
    };
    std::map<ServerIncarnation, Disconnected> disconnected;
    for (auto* connection : *m_openConnections) {
        auto later = laterStart(*connection);
        if (later <= connection->server.startedAt || connection->hasServerEnded)
            continue;
        connection->hasServerEnded = true;
        auto& count = disconnected[connection->server];
        count.later = later;
        ++count.connections;
        count.inUse += connection->isInUse ? 1 : 0;
        boost::system::error_code ec;
        connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    }
    for (auto& [server, count] : disconnected)
        log::write(log::Event::EndedServerDisconnected, "server={} started={} listed={} connections={} in-use={}", server.id.value(), server.startedAt.value(), count.later.value(), count.connections, count.inUse);
}

} // namespace swiftloft::gateway
