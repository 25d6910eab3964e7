#include "src/gateway/traffic-server.h"

#include "src/gateway/datagram-metrics.h"
#include "src/gateway/directory.h"
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

/// Minimum interval between load updates. Without it, every request would cause a datagram to each entry.
constexpr milliseconds minLoadUpdateInterval { 20 };
/// The interval is also at least this long for each recipient, which limits the cost in a large data centre to 500 datagrams a
/// second.
constexpr milliseconds loadUpdateIntervalPerEntry { 2 };
/// Known limits and suspicions are sent again at this interval while requests are running, because datagrams get lost.
constexpr milliseconds limitRepeatInterval { 400 };
/// The system does not report that a client has acknowledged its response, so a stopping entry asks again after this time.
constexpr milliseconds stopCheckInterval { 50 };
/// Delay after a failed accept, for example when no file descriptors are left.
constexpr milliseconds acceptRetryDelay { 10 };
/// Interval between log lines about failed accepts.
constexpr milliseconds acceptFailureLogInterval { 1000 };
constexpr milliseconds pageTimeout { 3000 };
/// Requests for pages need no body.
constexpr std::size_t maxPageBodyBytes { 1024 };

policy::Generator seeded()
{
    return policy::Generator(std::random_device {}());
}

} // namespace

/// Counts a connection among those of the server while it is open.
class TrafficServer::Registration {
public:
    Registration(TrafficServer& server, DownstreamConnection& connection)
        : m_server(server)
        , m_connection(connection)
    {
        m_server.m_connections.insert(&m_connection);
    }
    ~Registration() { m_server.m_connections.erase(&m_connection); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

private:
    TrafficServer& m_server;
    DownstreamConnection& m_connection;
};

TrafficServer::TrafficServer(const EntrySettings& settings, const Protocol& protocol, process::SharedMetrics& metrics, Incarnation incarnation)
    : m_settings(settings)
    , m_clientBounds(settings.resources.forClients())
    , m_pageBounds(settings.resources.forPages())
    , m_protocol(protocol)
    , m_metrics(metrics)
    , m_incarnation(incarnation)
    , m_estimateMetrics(metrics)
    , m_dispatcher(m_ioContext, DispatcherOptions { settings.retries, settings.coldLimits, settings.regions, { settings.isUrgencyOn }, settings.estimate }, seeded())
    , m_pool(m_ioContext)
    , m_server(
          m_dispatcher, m_pool, protocol, metrics, [this] { return m_snapshot; }, settings.waitsAtStart, settings.resources.maxResponseBytes())
    , m_snapshot(std::make_shared<Snapshot>())
    , m_clients(m_ioContext)
    , m_ready(m_ioContext)
    , m_directory(m_ioContext)
    , m_loadUpdateTimer(m_ioContext)
    , m_stopTimer(m_ioContext)
{
    auto onMessage = [this](const ControlSocket::UdpEndpoint&, ControlMessage message) {
        if (auto* load = std::get_if<LoadUpdate>(&message))
            m_dispatcher.apply(dispatch::LoadReceived { std::move(*load) });
    };
    m_loadSocket = ControlSocket::create(m_ioContext, settings.load, onMessage).value();
    m_loadSocket->setOnDatagram(datagramCounter(metrics, "swiftloft_entry"));
    m_dispatcher.setOnProbe([this](const BackendServer& server) { co_spawn(m_ioContext, m_server.probe(server), asio::detached); });
    m_dispatcher.setOnRetryDenied([this](const dispatch::RetryDenied& denial) { recordRetryDenied(denial); });
    m_dispatcher.setOnLoadChanged([this] { scheduleLoadUpdate(std::max(Clock::now(), m_loadUpdateNotBefore)); });
    auto page = [this](asio::ip::tcp::socket socket) { return serveStatusPage(std::move(socket)); };
    listen(m_ready, settings.ready, page);
    listen(m_directory, settings.directory, page);
    listen(m_clients, settings.clients, [this](asio::ip::tcp::socket socket) { return serveClient(std::move(socket)); });
}

TrafficServer::~TrafficServer()
{
    for (auto* acceptor : { &m_clients, &m_ready, &m_directory }) {
        boost::system::error_code ec;
        acceptor->close(ec);
    }
    m_loadSocket->stop();
    m_pool.closeIdle();
    m_dispatcher.setOnLoadChanged(nullptr);
    for (auto* client : std::set<DownstreamConnection*>(m_connections))
        endConnection(*client);
    m_ioContext.restart();
    m_ioContext.poll();
    // Some calls are still suspended here because no event resumes them, for example a call whose client has sent more
    // data and whose server is silent. If such a call were destroyed with the context, after the tables that it
    // unregisters from, it would access freed memory: the process would never end, or would die of signal 11.
    m_dispatcher.close();
    m_ioContext.shutdown();
}

/// Ends a connection at the end of the process.
void TrafficServer::endConnection(DownstreamConnection& client)
{
    // A request in progress gets a line of its own.
    if (auto size = client.undeliveredBytes(); client.isIdle() && size > 0)
        log::write(log::Event::ResponseUndelivered, "id={} undelivered={}", client.requestId(), size);
    client.terminate();
}

void TrafficServer::run()
{
    m_ioContext.run();
}

void TrafficServer::setSnapshot(std::shared_ptr<const Snapshot> snapshot)
{
    asio::post(m_ioContext, [this, snapshot = std::move(snapshot)] {
        m_snapshot = snapshot;
        m_pool.applySnapshot(*snapshot);
        m_dispatcher.apply(dispatch::SnapshotChanged { snapshot });
        m_server.onSnapshotChanged();
        m_estimateMetrics.update(Clock::now(), m_dispatcher.reducer().serviceEstimate());
        if (m_onLoadsMeasured)
            m_onLoadsMeasured({ m_dispatcher.reducer().loadBalancer().localLoads(Clock::now()), m_dispatcher.reducer().admission().localDemands(Clock::now()), m_dispatcher.nextSuspicions() });
        recordBounds("clients", m_clientBounds);
        recordBounds("pages", m_pageBounds);
        m_metrics.set("swiftloft_entry_suspect_requests", {}, static_cast<double>(m_dispatcher.reducer().crashTracker().suspects()));
    });
}

void TrafficServer::onSuspicions(std::vector<policy::SuspicionMessage> suspicions)
{
    asio::post(m_ioContext, [this, suspicions = std::move(suspicions)] { m_dispatcher.apply(dispatch::SuspicionsReceived { suspicions }); });
}

void TrafficServer::listen(Acceptor& acceptor, const Endpoint& endpoint, ConnectionHandler serve)
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    co_spawn(m_ioContext, accept(acceptor, std::move(serve)), asio::detached);
}

asio::awaitable<void> TrafficServer::accept(Acceptor& acceptor, ConnectionHandler serve)
{
    while (acceptor.is_open()) {
        boost::system::error_code ec;
        auto socket = co_await acceptor.async_accept(redirect_error(use_awaitable, ec));
        if (!ec) {
            // A connection that fails is closed like any other.
            co_spawn(m_ioContext, serve(std::move(socket)), [](const std::exception_ptr&) {});
            continue;
        }
        if (ec == asio::error::operation_aborted)
            co_return;
        recordAcceptFailure(ec.message());
        asio::steady_timer pause(m_ioContext, Clock::now() + acceptRetryDelay);
        co_await pause.async_wait(use_awaitable);
    }
}

void TrafficServer::recordAcceptFailure(const std::string& problem)
{
    m_metrics.count("swiftloft_entry_accept_failures_total", {});
    auto now = Clock::now();
    if (now < m_acceptFailureLogNotBefore)
        return;
    m_acceptFailureLogNotBefore = now + acceptFailureLogInterval;
    log::write(log::Event::AcceptFailed, "problem=\"{}\"", problem);
}

asio::awaitable<void> TrafficServer::serveClient(asio::ip::tcp::socket socket)
{
    DownstreamConnection client(std::move(socket), m_clientBounds);
    if (!client.isAdmitted())
        co_return;
    Registration registration { *this, client };
    for (;;) {
        auto limits = m_snapshot->configuration ? m_snapshot->configuration->limits() : ClientLimits {};
        limits.maximumBodyBytes = std::min<std::uint64_t>(limits.maximumBodyBytes, m_clientBounds.maxRequestBytes());
        ClientRequest request;
        auto error = co_await client.readRequest(limits, request);
        if (error == ReadError::Closed)
            co_return;
        if (m_stop)
            client.setMustClose();
        if (error != ReadError::None)
            co_return co_await m_server.rejectUnreadable(client, error);
        bool isOpen = co_await m_server.serve(client, std::move(request));
        if (!isOpen)
            co_return;
        if (client.mustClose())
            co_return co_await client.close();
    }
}

asio::awaitable<void> TrafficServer::serveStatusPage(asio::ip::tcp::socket socket)
{
    DownstreamConnection client(std::move(socket), m_pageBounds);
    if (!client.isAdmitted())
        co_return;
    Registration registration { *this, client };
    ClientLimits limits;
    limits.headerTimeout = pageTimeout;
    limits.maximumBodyBytes = maxPageBodyBytes;
    for (;;) {
        ClientRequest request;
        auto error = co_await client.readRequest(limits, request);
        if (error == ReadError::Closed)
            co_return;
        if (m_stop)
            client.setMustClose();
        if (error != ReadError::None)
            co_return co_await m_server.rejectUnreadable(client, error);
        auto response = statusPage(request);
        co_await client.writeResponse(response);
        if (client.mustClose())
            co_return co_await client.close();
    }
}

ClientResponse TrafficServer::statusPage(const ClientRequest& request)
{
    std::string_view target(request.target().data(), request.target().size());
    auto path = target.substr(0, target.find('?'));
    ClientResponse response(http::status::ok, request.version());
    if (path == m_protocol.readyPath) {
        if (!m_snapshot->isReady)
            response.result(http::status::service_unavailable);
    } else if (path == m_protocol.directoryPath) {
        auto entries = directoryEntriesFor(target);
        if (entries.empty())
            response.result(http::status::service_unavailable);
        auto now = Clock::now();
        response.set(http::field::content_type, "application/json");
        response.body() = m_protocol.encodeDirectory(entries, now + m_settings.directoryMaxAge, now);
    } else
        response.result(http::status::not_found);
    response.prepare_payload();
    return response;
}

std::vector<Endpoint> TrafficServer::directoryEntriesFor(std::string_view target) const
{
    auto query = m_protocol.decodeDirectoryQuery ? m_protocol.decodeDirectoryQuery(target) : DirectoryQuery {};
    std::vector<ServingEntry> serving;
    if (m_snapshot->isReady)
        serving.push_back({ m_settings.clients, m_settings.dataCentre });
    for (auto& entry : m_snapshot->entries) {
        if (entry.state == EntryState::Serving)
            serving.push_back({ entry.clients, entry.dataCentre });
    }
    if (serving.empty())
        serving = servingLeavers(m_snapshot->leavers, Clock::now(), m_settings.directoryMaxAge);
    auto* homes = m_snapshot->configuration ? m_snapshot->configuration->findHostHomes(query.host) : nullptr;
    return directoryEntries(serving, query, homes, m_settings.regions, m_settings.dataCentre);
}

void TrafficServer::scheduleLoadUpdate(TimePoint time)
{
    if (m_loadUpdateAt && *m_loadUpdateAt <= time)
        return;
    m_loadUpdateAt = time;
    m_loadUpdateTimer.expires_at(time);
    m_loadUpdateTimer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        m_loadUpdateAt.reset();
        sendLoadUpdate();
    });
}

void TrafficServer::sendLoadUpdate()
{
    auto now = Clock::now();
    auto& loadBalancer = m_dispatcher.reducer().loadBalancer();
    auto loads = loadBalancer.ownLoads();
    // Entries in a remote data centre get the load of their servers from their neighbours, and from this entry while it
    // uses those servers. When this entry stops using the servers, it sends one more update, so that its last report
    // does not remain in effect.
    auto used = loadBalancer.dataCentresUsed();
    auto isRecipient = [&](const DataCentreName& dataCentre) { return dataCentre == m_settings.dataCentre || used.contains(dataCentre) || m_remoteRecipients.contains(dataCentre); };
    bool isBusy = !loads.empty();
    // A limit that a server has changed or withdrawn concerns the entries of all data centres.
    bool isLimitChanged = std::exchange(m_sentLimitVersion, loadBalancer.limits().localVersion()) != loadBalancer.limits().localVersion();
    std::vector<LimitReport> limits;
    if (isLimitChanged || m_limitsRepeatAt <= now) {
        limits = loadBalancer.limits().reports(now);
        m_limitsRepeatAt = now + limitRepeatInterval;
    }
    auto& crashTracker = m_dispatcher.reducer().crashTracker();
    bool isSuspicionChanged = std::exchange(m_sentSuspicionVersion, crashTracker.localVersion()) != crashTracker.localVersion();
    LoadUpdate update { m_incarnation, ++m_loadSequence, std::move(loads), std::move(limits), loadBalancer.silentServers(now), demandsToReport(now), suspicionsToReport(now, isSuspicionChanged), crashTracker.trials() };
    auto bytes = encode(ControlMessage(update));
    int recipients = 0;
    for (auto& entry : m_snapshot->entries) {
        if (m_snapshot->isLoadSharedLocally && !isLimitChanged && !isSuspicionChanged && !isRecipient(entry.dataCentre))
            continue;
        m_loadSocket->sendEncoded(Endpoint(entry.control.address(), m_settings.load.port()), ControlMessageKind::Load, bytes);
        ++recipients;
    }
    m_remoteRecipients = std::move(used);
    m_loadRecipients = recipients;
    m_loadUpdateNotBefore = now + std::max(minLoadUpdateInterval, recipients * loadUpdateIntervalPerEntry);
    // The load is sent again while requests are running, because datagrams get lost and their content expires; so is the
    // demand while a service is short of capacity.
    if (isBusy || !m_reportedDemands.empty())
        scheduleLoadUpdate(now + PeerLoads::reportInterval);
}

std::vector<policy::SuspicionMessage> TrafficServer::suspicionsToReport(TimePoint now, bool isChanged)
{
    if (!isChanged && now < m_suspicionsRepeatAt)
        return {};
    m_suspicionsRepeatAt = now + limitRepeatInterval;
    return m_dispatcher.reducer().crashTracker().localReports(now);
}

/// Demand of the services that are short of capacity here. A service that no longer is gets one more report, without
/// priorities.
std::vector<ServiceDemand> TrafficServer::demandsToReport(TimePoint now)
{
    if (now < m_demandsNotBefore)
        return {};
    auto demands = m_dispatcher.reducer().admission().demands(now);
    std::set<ServiceName> reported;
    for (auto& it : demands) {
        reported.insert(it.service);
        recordQueued(it);
    }
    for (auto& service : m_reportedDemands) {
        if (reported.contains(service))
            continue;
        recordQueued(m_dispatcher.reducer().admission().demand(service, now));
        demands.push_back({ service, {}, {} });
    }
    m_reportedDemands = std::move(reported);
    if (!demands.empty())
        m_demandsNotBefore = now + admission::PeerDemand::intervalFor(m_loadRecipients);
    return demands;
}

void TrafficServer::recordRetryDenied(const dispatch::RetryDenied& denial)
{
    m_metrics.count("swiftloft_entry_retries_denied_total", { { "service", denial.service.value() } });
    if (denial.isFirst)
        log::write(log::Event::RetryAllowanceSpent, "service={} retries={} allowed={:.1f} requests={}", denial.service.value(), denial.use.spent, denial.use.allowed, denial.use.requests);
}

void TrafficServer::recordBounds(const std::string& listener, const process::ClientBounds& bounds)
{
    process::Labels labels { { "listener", listener } };
    m_metrics.set("swiftloft_entry_client_connections", labels, static_cast<double>(bounds.connections()));
    m_metrics.set("swiftloft_entry_client_bytes", labels, static_cast<double>(bounds.bytes()));
    m_metrics.set("swiftloft_entry_clients_made_way_total", labels, static_cast<double>(bounds.madeWay()));
}

void TrafficServer::recordQueued(const ServiceDemand& demand)
{
    for (auto& it : demand.priorities)
        m_metrics.set("swiftloft_entry_queued_requests", { { "service", demand.service.value() }, { "priority", fmt::format("{}", it.priority) } }, it.queued);
}

void TrafficServer::stop(const StopSchedule& schedule)
{
    asio::post(m_ioContext, [this, schedule] {
        m_stop = schedule;
        m_dispatcher.apply(dispatch::StopScheduled { schedule.deadline, schedule.acceptsUntil });
        m_server.onStopping();
        checkStopAt(schedule.acceptsUntil);
    });
}

void TrafficServer::checkStopAt(TimePoint time)
{
    m_stopTimer.expires_at(time);
    m_stopTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            checkStop();
    });
}

std::size_t TrafficServer::busyConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](auto* client) { return !client->isIdle(); }));
}

void TrafficServer::checkStop()
{
    auto now = Clock::now();
    if (now >= m_stop->deadline && !std::exchange(m_hasReachedStopDeadline, true)) {
        log::write(log::Event::StopDeadlineReached, "connections={} late-ms={}", busyConnections(), std::chrono::duration_cast<milliseconds>(now - m_stop->deadline).count());
        m_dispatcher.apply(dispatch::Ticked {});
    }
    bool isDelivered = std::all_of(m_connections.begin(), m_connections.end(), [](auto* client) { return client->isIdle() && client->undeliveredBytes() == 0; });
    if (isDelivered || now >= m_stop->cutOffAt)
        return m_ioContext.stop();
    TimePoint next = now + stopCheckInterval;
    checkStopAt(std::min(next, now < m_stop->deadline ? m_stop->deadline : m_stop->cutOffAt));
}

} // namespace swiftloft::gateway
