#pragma once

#include "src/burn/windows.h"
#include "src/daemon/fleet-control.h"
#include "src/entry/reducer.h"
#include "src/entry/worker.h"
#include "src/process/metrics.h"
#include "src/process/process-config.h"
#include "src/process/signals.h"
#include "src/process/status-server.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace swiftloft::entry {

/// The entry process: a control thread (the caller of `run`), which runs the reducer and the control node, and the
/// traffic threads.
class Daemon {
public:
    Daemon(process::ProcessConfig config, Incarnation incarnation);

    /// Runs until the entry has shut down.
    void run();

private:
    using Reply = std::function<void(process::StatusAnswer)>;

    void startFleetControl();
    void startWorkers();
    void post(std::vector<Event> events);
    void apply(const Event& event);
    void execute(const Effects& effects);
    void recordCompletion(const RecordCompletion& completion);
    void tick();
    void leave();
    void onWorkerFinished();

    void replyWithPage(const std::string& target, const Reply& reply);
    process::StatusAnswer statusPage(const std::string& target);
    process::StatusAnswer readiness() const;
    process::StatusAnswer metrics();
    process::StatusAnswer addresses(const std::string& target);
    process::StatusAnswer status() const;
    process::StatusAnswer route(const std::string& target);
    process::StatusAnswer burn(const std::string& target) const;

    process::ProcessConfig m_config;
    Incarnation m_incarnation;
    boost::asio::io_context m_control;
    Reducer m_reducer;
    process::Metrics m_metrics;
    burn::BurnWindows m_burn;
    std::string m_startedAt;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<process::StopSignals> m_signals;
    std::unique_ptr<daemon::FleetControl> m_fleetControl;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::thread> m_threads;
    std::uint64_t m_addressAnswers { 0 };
    std::size_t m_finishedWorkers { 0 };
};

} // namespace swiftloft::entry
