#include "src/agent/daemon.h"

#include "src/log/logger.h"

#include <boost/asio/post.hpp>

namespace swiftloft::agent {

namespace {

constexpr milliseconds tickInterval { 100 };
/// Time after the first use of a client's own key in which no second request runs under the key. docs/REFERENCE.md
/// promises this period.
constexpr seconds clientKeyRetention { 120 };

ReducerOptions reducerOptions(const process::ProcessConfig& config, Incarnation incarnation)
{
    ReducerOptions options;
    options.self = BackendServerId(config.id);
    options.incarnation = incarnation;
    options.claims.hasStartupGracePeriod = !config.isFirstStart;
    options.claims.retention = clientKeyRetention;
    options.maxBodyBytes = config.resources.forClients().maxBytes;
    options.maxRetainedBytes = options.maxBodyBytes / 2;
    return options;
}

} // namespace

Daemon::Daemon(process::ProcessConfig config, Incarnation incarnation)
    : m_config(std::move(config))
    , m_incarnation(incarnation)
    , m_controlContext(1)
    , m_reducer(Reducer::create(reducerOptions(m_config, incarnation), Clock::now()).value())
    , m_statusServer(m_controlContext, m_config.listen, m_config.resources.forStatus())
    , m_engineMonitor(m_controlContext, *m_config.backendServer, [this](const Event& event) { apply(event); })
    , m_mapControl(m_controlContext, { m_config.id, incarnation, *m_config.rpc, *m_config.backendServer })
    , m_timer(m_controlContext)
{
    addStatusPages();
}

void Daemon::run()
{
    m_signals = std::make_unique<process::StopSignals>(m_controlContext, [this](int count) {
        log::write(log::Event::ProcessStopping, "signals={}", count);
        if (count > 1)
            return m_traffic.stop();
        startLeaving();
    });
    startFleetControl();
    std::thread traffic([this] { runTraffic(); });
    m_engineMonitor.start();
    tick();
    m_controlContext.run();
    m_mapControl.stop();
    m_fleetControl->stop();
    traffic.join();
}

void Daemon::startFleetControl()
{
    daemon::FleetControl::Hooks hooks;
    hooks.onSettings = [this](Revision, const settings::Tree& tree) {
        m_settings = tree;
        applySettings();
        m_mapControl.setSettings(tree);
    };
    hooks.onViewChanged = [this](const std::shared_ptr<const membership::View>& view) {
        if (auto self = view->find(membership::NodeId(m_config.id)))
            m_serviceName = self->listed->service;
        applySettings();
        apply(InstanceListReceived { policy::ListRevision(view->listRevision.value()), Clock::now() });
        m_mapControl.setView(view);
    };
    hooks.onLeaving = [this] { apply(LeaveRequested { Clock::now() }); };
    m_fleetControl = std::make_unique<daemon::FleetControl>(m_controlContext, m_config, membership::Role::Agent, m_incarnation, std::move(hooks));
}

void Daemon::applySettings()
{
    auto service = m_settings ? m_settings->service(m_serviceName) : Result<settings::ServiceSettings>(Error {});
    if (!service)
        return;
    boost::asio::post(m_traffic.ioContext(), [this, size = service->resumeBuffer] {
        if (m_service)
            m_service->setResumeBuffer(size);
    });
}

void Daemon::startLeaving()
{
    apply(LeaveRequested { Clock::now() });
    m_fleetControl->leave();
}

void Daemon::runTraffic()
{
    m_traffic.run(
        [this] {
            m_service = std::make_unique<Service>(m_traffic.ioContext(), *m_config.backendServer, ServiceOptions { m_incarnation }, [this](std::vector<Event> events) { post(std::move(events)); });
            m_service->setOnDrained([this] { m_traffic.stop(); });
            m_listener = std::make_unique<rpc::Listener>(m_traffic.ioContext(), *m_config.rpc, m_service->bootstrap());
        },
        [this] {
            m_listener.reset();
            m_service.reset();
        });
    m_controlContext.stop();
}

void Daemon::post(std::vector<Event> events)
{
    boost::asio::post(m_controlContext, [this, events = std::move(events)] {
        auto effects = std::make_shared<Effects>();
        for (auto& event : events)
            m_reducer.apply(event, *effects);
        execute(std::move(effects));
    });
}

void Daemon::apply(const Event& event)
{
    auto effects = std::make_shared<Effects>();
    m_reducer.apply(event, *effects);
    execute(std::move(effects));
}

void Daemon::execute(std::shared_ptr<const Effects> effects)
{
    if (effects->empty())
        return;
    for (auto& effect : *effects) {
        if (std::holds_alternative<ProbeEngine>(effect))
            m_engineMonitor.probeNow();
    }
    boost::asio::post(m_traffic.ioContext(), [this, effects = std::move(effects)] {
        for (auto& effect : *effects) {
            if (m_service)
                m_service->execute(effect);
        }
    });
}

void Daemon::tick()
{
    apply(Tick { Clock::now() });
    m_timer.expires_at(Clock::now() + tickInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            tick();
    });
}

void Daemon::addStatusPages()
{
    m_statusServer.add("/healthz", [] { return process::StatusAnswer { 200, "text/plain", "ok\n" }; });
    m_statusServer.add("/readyz", [this] {
        if (m_reducer.isLeaving())
            return process::StatusAnswer { 503, "text/plain", "leaving\n" };
        return process::StatusAnswer { 200, "text/plain", "ready\n" };
    });
    m_statusServer.add("/swiftloft/v1/maps", [this] { return process::StatusAnswer { 200, "application/json", m_mapControl.toJson() }; });
    m_statusServer.add("/metrics", [this] {
        m_metrics.set("swiftloft_agent_running", {}, static_cast<double>(m_reducer.running()));
        return process::StatusAnswer { 200, "text/plain; version=0.0.4", m_metrics.text() };
    });
}

} // namespace swiftloft::agent
