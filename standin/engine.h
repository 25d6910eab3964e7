#pragma once

#include "standin/batch.h"
#include "standin/http-server.h"
#include "standin/rank-group.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace swiftloft::standin {

struct EngineOptions {
    std::string id { "engine" };
    BatchOptions batch;
    std::chrono::milliseconds loadLag { 0 };
    bool checksFencing { true };
    /// A prompt that holds this text crashes the engine; empty for none.
    std::string crashMarker;
    std::string runLogFile;
    /// Set when the engine is a rank of a group.
    std::optional<RankGroupOptions> group;
};

/// A model engine behind HTTP: streamed answers, load report, orders and faults on command.
class Engine {
public:
    Engine(boost::asio::io_context&, EngineOptions);

    boost::asio::awaitable<void> handle(Exchange&);

private:
    struct LoadSample {
        std::chrono::steady_clock::time_point takenAt;
        std::string json;
    };

    boost::asio::awaitable<void> dispatch(Exchange&);
    boost::asio::awaitable<void> dispatchToGroup(Exchange&);
    boost::asio::awaitable<void> generate(Exchange&, bool isChat);
    boost::asio::awaitable<void> streamAnswer(Exchange&, std::shared_ptr<Generation>, bool isChat);
    boost::asio::awaitable<void> wholeAnswer(Exchange&, std::shared_ptr<Generation>, bool isChat);
    boost::asio::awaitable<void> waitForMore(std::shared_ptr<Generation>, std::int64_t sent);
    boost::asio::awaitable<void> takeOrder(Exchange&);
    boost::asio::awaitable<void> stepLoop();

    void startStepping();
    void setFault(const std::string& body);
    void crashLater(std::chrono::milliseconds);
    void crashIfMarked(const Generation&);
    void sampleLoad();
    void dropOldSamples();
    std::string load();
    std::string currentLoadJson();
    std::string stepsJson() const;

    boost::asio::io_context& m_io;
    EngineOptions m_options;
    RunLog m_runLog;
    Batch m_batch;
    bool m_isStepping { false };
    std::string m_fault { "none" };
    double m_slowFactor { 1 };
    boost::asio::steady_timer m_crashTimer;
    std::deque<LoadSample> m_loadSamples;
    std::chrono::steady_clock::time_point m_rateSince;
    std::int64_t m_rateTokens { 0 };
    std::int64_t m_tokensPerSecond { 0 };
    std::uint64_t m_highestFencing { 0 };
    std::uint64_t m_mapVersion { 0 };
    boost::json::array m_orders;
    std::unique_ptr<RankGroup> m_group;
};

} // namespace swiftloft::standin
