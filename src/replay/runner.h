#pragma once

#include "src/replay/sender.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace swiftloft::replay {

struct RunnerOptions {
    SenderOptions sender;
    /// Callers that each keep address answers and connections of their own.
    std::size_t callers { 1 };
    /// Closed loop with so many requests in progress; 0 sends at the times of the trace (open loop).
    std::size_t concurrency { 0 };
    /// Factor on the times of the trace; 2 sends twice as fast.
    double speed { 1 };
};

/// Sends requests and collects what became of them.
class Runner {
public:
    /// Gives the next request; empty at the end.
    using Source = std::function<std::optional<TraceRequest>()>;

    Runner(boost::asio::io_context&, RunnerOptions);

    /// Called with each record as it is complete.
    std::function<void(const Record&)> onRecord;

    /// Sends all of `source` and returns the records in the order of sending; runs the I/O context.
    std::vector<std::shared_ptr<Record>> run(Source);

private:
    boost::asio::awaitable<void> openLoop();
    boost::asio::awaitable<void> closedLoop(std::size_t caller);
    boost::asio::awaitable<void> sendOne(std::shared_ptr<Record>, std::size_t caller);
    std::shared_ptr<Record> nextRecord();

    boost::asio::io_context& m_io;
    RunnerOptions m_options;
    std::vector<std::unique_ptr<Sender>> m_senders;
    Source m_source;
    std::vector<std::shared_ptr<Record>> m_records;
};

} // namespace swiftloft::replay
