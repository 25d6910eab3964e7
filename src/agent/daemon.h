#pragma once

#include "src/agent/engine-monitor.h"
#include "src/agent/map-control.h"
#include "src/agent/reducer.h"
#include "src/agent/service.h"
#include "src/daemon/fleet-control.h"
#include "src/process/metrics.h"
#include "src/process/process-config.h"
#include "src/process/signals.h"
#include "src/process/status-server.h"
#include "src/rpc/connection.h"
#include "src/rpc/event-loop.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <thread>

namespace swiftloft::agent {

/// The agent process. The control thread (the caller of `run()`) owns the reducer; one traffic thread owns the `Service`.
class Daemon {
public:
    Daemon(process::ProcessConfig config, Incarnation incarnation);

    /// Runs the agent. Returns when it has shut down gracefully.
    void run();

private:
    void post(std::vector<Event> events);
    void apply(const Event& event);
    void execute(std::shared_ptr<const Effects> effects);
    void startFleetControl();
    void startLeaving();
    void applySettings();
    void tick();
    void addStatusPages();
    void runTraffic();

    process::ProcessConfig m_config;
    Incarnation m_incarnation;
    boost::asio::io_context m_controlContext;
    Reducer m_reducer;
    process::Metrics m_metrics;
    process::StatusServer m_statusServer;
    EngineMonitor m_engineMonitor;
    MapControl m_mapControl;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<process::StopSignals> m_signals;
    std::unique_ptr<daemon::FleetControl> m_fleetControl;
    std::optional<settings::Tree> m_settings;
    /// Service of this backend server according to the published list.
    ServiceName m_serviceName;

    rpc::EventLoop m_traffic;
    std::unique_ptr<Service> m_service;
    std::unique_ptr<rpc::Listener> m_listener;
};

} // namespace swiftloft::agent
