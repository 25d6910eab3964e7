#include "src/gateway/traffic.h"

#include "src/gateway/datagram-metrics.h"
#include "src/log/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace swiftloft::gateway {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

/// News of load is sent at most this often: every request would otherwise cause a datagram to each entry.
constexpr milliseconds tellAtMostEvery { 20 };
/// And so much less often for each entry told, which bounds what telling costs in a large data centre: 500 datagrams a second.
constexpr milliseconds tellPauseForEach { 2 };
/// What is known of limits is repeated this often while there is work, as datagrams get lost.
constexpr milliseconds limitsToldEvery { 400 };
/// After SIGTERM an entry goes on accepting for this long, as clients keep their lists of entries for a while.
constexpr milliseconds acceptAfterStop { 3000 };
/// Pause after a failed accept, such as for want of descriptors.
constexpr milliseconds acceptPause { 10 };
constexpr milliseconds pageTimeout { 3000 };
/// Entries in one answer to a client.
constexpr std::size_t mostEntriesTold = 64;

policy::Generator seeded()
{
    return policy::Generator(std::random_device {}());
}

} // namespace

Traffic::Traffic(const EntrySettings& settings, const Protocol& protocol, process::SharedMetrics& metrics, Incarnation incarnation)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_incarnation(incarnation)
    , m_desk(m_ioContext, DispatcherOptions { settings.retries }, seeded())
    , m_pool(m_ioContext)
    , m_server(m_desk, m_pool, protocol, metrics, [this] { return m_snapshot; })
    , m_snapshot(std::make_shared<Snapshot>())
    , m_clients(m_ioContext)
    , m_ready(m_ioContext)
    , m_directory(m_ioContext)
    , m_tellTimer(m_ioContext)
    , m_stopTimer(m_ioContext)
{
    auto onNews = [this](const ControlSocket::UdpEndpoint&, ControlMessage message) {
        if (auto* load = std::get_if<LoadUpdate>(&message))
            m_desk.apply(dispatch::LoadArrived { std::move(*load) });
    };
    m_news = ControlSocket::create(m_ioContext, settings.load, onNews).value();
    m_news->setOnDatagram(datagramCounter(metrics, "swiftloft_entry"));
    m_desk.setOnLoadChanged([this] { tellLoadsBy(std::max(Clock::now(), m_tellNotBefore)); });
    auto page = [this](asio::ip::tcp::socket socket) { return servePage(std::move(socket)); };
    listen(m_ready, settings.ready, page);
    listen(m_directory, settings.directory, page);
    listen(m_clients, settings.clients, [this](asio::ip::tcp::socket socket) { return serveClient(std::move(socket)); });
}

Traffic::~Traffic()
{
    for (auto* acceptor : { &m_clients, &m_ready, &m_directory }) {
        boost::system::error_code ec;
        acceptor->close(ec);
    }
    m_news->stop();
    m_pool.closeAll();
    m_desk.setOnLoadChanged(nullptr);
    for (auto* client : std::set<ClientStream*>(m_clientStreams))
        client->reset();
    m_ioContext.restart();
    m_ioContext.poll();
    // Failure: a call that nothing wakes, such as one whose client has sent more and whose server is silent, is still
    // suspended here. Destroyed with the context, after the tables that it signs off from, it walks freed memory: the
    // process never ends, or dies of signal 11.
    m_desk.close();
    m_ioContext.shutdown();
}

void Traffic::run()
{
    m_ioContext.run();
}

void Traffic::setSnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    asio::post(m_ioContext, [this, snapshot = std::move(snapshot)] {
        m_snapshot = snapshot;
        m_pool.keepOnly(*snapshot);
        m_desk.apply(dispatch::SnapshotChanged { snapshot });
        if (m_onLoadsMeasured)
            m_onLoadsMeasured(m_desk.dispatcher().loads().loadsNearby(Clock::now()));
    });
}

void Traffic::listen(Acceptor& acceptor, const Endpoint& endpoint, Serve serve)
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    co_spawn(m_ioContext, accept(acceptor, std::move(serve)), asio::detached);
}

asio::awaitable<void> Traffic::accept(Acceptor& acceptor, Serve serve)
{
    while (acceptor.is_open()) {
        boost::system::error_code ec;
        auto socket = co_await acceptor.async_accept(redirect_error(use_awaitable, ec));
        if (!ec) {
            // A connection that breaks is closed like any other.
            co_spawn(m_ioContext, serve(std::move(socket)), [](const std::exception_ptr&) {});
            continue;
        }
        if (ec == asio::error::operation_aborted)
            co_return;
        log::write(log::Event::AcceptFailed, "problem=\"{}\"", ec.message());
        asio::steady_timer pause(m_ioContext, Clock::now() + acceptPause);
        co_await pause.async_wait(use_awaitable);
    }
}

asio::awaitable<void> Traffic::serveClient(asio::ip::tcp::socket socket)
{
    ClientStream client(std::move(socket));
    m_clientStreams.insert(&client);
    struct Leave {
        Traffic& traffic;
        ClientStream* client;
        ~Leave()
        {
            traffic.m_clientStreams.erase(client);
            traffic.endIfIdle();
        }
    } leave { *this, &client };
    for (;;) {
        auto limits = m_snapshot->configuration ? m_snapshot->configuration->limits() : ClientLimits {};
        ClientRequest request;
        auto problem = co_await client.read(limits, request);
        if (problem == ReadProblem::Closed)
            co_return;
        if (m_stopDeadline)
            client.setWantsClose();
        if (problem != ReadProblem::None) {
            co_await m_server.refuseUnread(client, problem);
            co_return co_await client.close();
        }
        bool isOpen = co_await m_server.serve(client, std::move(request));
        if (!isOpen)
            co_return;
        if (client.wantsClose())
            co_return co_await client.close();
    }
}

asio::awaitable<void> Traffic::servePage(asio::ip::tcp::socket socket)
{
    ClientStream client(std::move(socket));
    ClientLimits limits;
    limits.headerTimeout = pageTimeout;
    for (;;) {
        ClientRequest request;
        if (co_await client.read(limits, request) != ReadProblem::None)
            co_return;
        auto answer = pageFor(request);
        co_await client.write(answer);
        if (client.wantsClose())
            co_return co_await client.close();
    }
}

ClientAnswer Traffic::pageFor(const ClientRequest& request)
{
    std::string_view target(request.target().data(), request.target().size());
    auto path = target.substr(0, target.find('?'));
    ClientAnswer answer(http::status::ok, request.version());
    if (path == m_protocol.readyPath) {
        if (!m_snapshot->isReady)
            answer.result(http::status::service_unavailable);
    } else if (path == m_protocol.directoryPath) {
        auto entries = entriesFor();
        if (entries.empty())
            answer.result(http::status::service_unavailable);
        auto now = Clock::now();
        answer.set(http::field::content_type, "application/json");
        answer.body() = m_protocol.encodeDirectory(entries, now + m_settings.directoryMaxAge, now);
    } else
        answer.result(http::status::not_found);
    answer.prepare_payload();
    return answer;
}

/// Entries for a client of this data centre: those here, or all where fewer than two are. Clients ask the nearest entry
/// first, so the data centre is theirs, and two leave them one when the other dies.
std::vector<Endpoint> Traffic::entriesFor() const
{
    std::vector<Endpoint> near;
    std::vector<Endpoint> all;
    auto add = [&](const Endpoint& endpoint, const DataCentreName& dataCentre) {
        all.push_back(endpoint);
        if (dataCentre == m_settings.dataCentre)
            near.push_back(endpoint);
    };
    if (m_snapshot->isReady)
        add(m_settings.clients, m_settings.dataCentre);
    for (auto& entry : m_snapshot->entries) {
        if (entry.state == EntryState::Serving)
            add(entry.clients, entry.dataCentre);
    }
    auto& chosen = near.size() >= 2 ? near : all;
    if (chosen.size() > mostEntriesTold)
        chosen.resize(mostEntriesTold);
    return chosen;
}

void Traffic::tellLoadsBy(TimePoint time)
{
    if (m_tellAt && *m_tellAt <= time)
        return;
    m_tellAt = time;
    m_tellTimer.expires_at(time);
    m_tellTimer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        m_tellAt.reset();
        tellLoads();
    });
}

void Traffic::tellLoads()
{
    auto now = Clock::now();
    auto& board = m_desk.dispatcher().loads();
    auto loads = board.ownLoads();
    // Entries elsewhere know the load of their servers by their neighbours' word, and by this one's where it uses them.
    // Once more when it ceases to, lest the last word counts on.
    auto used = board.dataCentresUsed();
    auto isTold = [&](const DataCentreName& dataCentre) { return dataCentre == m_settings.dataCentre || used.contains(dataCentre) || m_toldFar.contains(dataCentre); };
    bool isBusy = !loads.empty();
    // That a server has named another limit, or none, concerns entries everywhere.
    bool isLimitNews = std::exchange(m_limitNewsTold, board.limits().newsHeard()) != board.limits().newsHeard();
    std::vector<LimitReport> limits;
    if (isLimitNews || m_limitsToldAgainAt <= now) {
        limits = board.limits().words(now);
        m_limitsToldAgainAt = now + limitsToldEvery;
    }
    auto bytes = encode(ControlMessage(LoadUpdate { m_incarnation, ++m_loadSequence, std::move(loads), std::move(limits), board.silentServers(now) }));
    int told = 0;
    for (auto& entry : m_snapshot->entries) {
        if (m_snapshot->sharesLoadNearby && !isLimitNews && !isTold(entry.dataCentre))
            continue;
        m_news->sendEncoded(Endpoint(entry.control.address(), m_settings.load.port()), ControlMessageKind::Load, bytes);
        ++told;
    }
    m_toldFar = std::move(used);
    m_tellNotBefore = now + std::max(tellAtMostEvery, told * tellPauseForEach);
    // Repeated while there is work, as datagrams get lost and what they say counts for a while only.
    if (isBusy)
        tellLoadsBy(now + PeerLoads::toldEvery);
}

void Traffic::stop(TimePoint deadline)
{
    asio::post(m_ioContext, [this, deadline] {
        m_stopDeadline = deadline;
        auto now = Clock::now();
        m_stopNotBefore = std::min(now + acceptAfterStop, deadline);
        m_stopTimer.expires_at(m_stopNotBefore);
        m_stopTimer.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            endIfIdle();
            m_stopTimer.expires_at(*m_stopDeadline);
            m_stopTimer.async_wait([this](boost::system::error_code error) {
                if (!error)
                    m_ioContext.stop();
            });
        });
    });
}

void Traffic::endIfIdle()
{
    if (!m_stopDeadline || Clock::now() < m_stopNotBefore)
        return;
    bool isBusy = std::any_of(m_clientStreams.begin(), m_clientStreams.end(), [](auto* client) { return !client->isIdle(); });
    if (!isBusy)
        m_ioContext.stop();
}

} // namespace swiftloft::gateway
