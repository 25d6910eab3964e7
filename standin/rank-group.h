#pragma once

#include "standin/http-server.h"
#include "standin/map-state.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <string>
#include <vector>

namespace swiftloft::standin {

struct RankGroupOptions {
    std::uint32_t rank { 0 };
    /// Addresses of all engines of the group by rank, this one among them.
    std::vector<std::string> peers;
    double stepMs { 6 };
    bool checksFencing { true };
    milliseconds mapLoadTime { 0 };
};

/// This engine's part in a rank group that steps in lock-step. The engine of rank 0 is the barrier: every rank tells it
/// which step it has entered and waits until all have. Holds no requests; those run in the engine's batch.
class RankGroup {
public:
    RankGroup(boost::asio::io_context&, RankGroupOptions);

    void start();

    /// `POST /map/orders`: an order of the rank agent, answered with the engine's status.
    boost::asio::awaitable<void> takeOrder(Exchange&);
    /// `POST /group/entered` at rank 0: answered when all ranks have entered the step.
    boost::asio::awaitable<void> awaitOthers(Exchange&);
    /// `POST /admin/demand`: tokens that each step brings, by layer and expert.
    void setDemand(const std::string& body);
    /// `GET /map/load`: tokens so far, by layer and expert.
    std::string loadJson() const;
    /// `GET /admin/steps`: the map of each step entered.
    std::string stepsJson() const;

private:
    struct EnteredStep {
        std::uint64_t step;
        std::uint64_t map;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> pause(std::chrono::steady_clock::duration);
    boost::asio::awaitable<std::uint64_t> reportEntered(std::uint64_t step);
    boost::asio::awaitable<std::uint64_t> askBarrier(std::uint64_t step);
    boost::asio::awaitable<std::uint64_t> waitForCompletion(std::uint32_t rank, std::uint64_t step);
    void noteEntered(std::uint32_t rank, std::uint64_t step);
    void completeStep();
    void logStep(std::uint64_t step);

    boost::asio::io_context& m_io;
    RankGroupOptions m_options;
    MapState m_maps;
    std::deque<EnteredStep> m_steps;
    std::vector<double> m_demand;
    std::vector<double> m_tokens;

    // Barrier; used at rank 0 only.
    /// Step each rank entered last; unset until the rank has been heard since this engine started.
    std::vector<std::optional<std::uint64_t>> m_entered;
    std::uint64_t m_completed { 0 };
    std::chrono::steady_clock::time_point m_nextCompletionAt;
};

} // namespace swiftloft::standin
