#pragma once

#include <swiftloft/expertmap/planner.h>
#include <swiftloft/settings/views.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::agent {

/// A planned map, with the number of experts and bytes that a change to it moves.
struct PlannedMap {
    expertmap::ExpertMap map;
    std::size_t movedExperts { 0 };
    Bytes movedBytes;
};

/// Reads the token counts of each expert from the engine of rank 0 and plans the group's next map. Belongs to the control
/// thread; plans, which may take 50 ms each, are computed on a separate thread.
class BackgroundPlanner {
public:
    using OnPlanned = std::function<void(const PlannedMap&)>;

    BackgroundPlanner(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, OnPlanned onPlanned);
    ~BackgroundPlanner();

    /// Starts a new planner from the map `current`. If a setting is out of range, no planner is started and the error
    /// is returned.
    std::optional<Error> start(const settings::GroupSettings& settings, const expertmap::ExpertMap& current);
    void stop();
    bool isActive() const { return m_planner != nullptr; }
    /// While this is false, load reports are processed but no map is planned.
    void setMayPlan(bool mayPlan) { m_mayPlan = mayPlan; }

private:
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<std::vector<double>> readTokens();
    void observe(std::vector<double> totals);
    void plan(std::vector<double> tokens);

    boost::asio::io_context& m_ioContext;
    boost::asio::ip::tcp::endpoint m_engine;
    OnPlanned m_onPlanned;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<expertmap::Planner> m_planner;
    settings::QuietHours m_quietHours;
    milliseconds m_reportInterval { 0 };
    std::vector<double> m_lastTotals;
    bool m_mayPlan { false };
    bool m_isPlanning { false };
    bool m_isPolling { false };
    boost::asio::thread_pool m_pool { 1 };
};

} // namespace swiftloft::agent
