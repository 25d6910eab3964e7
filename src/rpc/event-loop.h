#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <kj/async.h>

#include <functional>

namespace swiftloft::rpc {

/// One loop that drives both Asio and Cap'n Proto RPC on the thread that calls `run`.
///
/// kj sleeps in `io_context::run_one`, so an Asio handler may make RPC calls and an RPC method may start Asio
/// operations, with no queue and no second thread between them.
class EventLoop {
public:
    using Hook = std::function<void()>;

    EventLoop();

    boost::asio::io_context& ioContext() { return m_ioContext; }

    /// Runs until `stop`. `onStart` is called on the loop's thread before the first event. `onStop` is called after the
    /// last one and must destroy every promise and RPC object made on the loop.
    void run(const Hook& onStart, const Hook& onStop);

    /// May be called from any thread, also before `run`.
    void stop();

private:
    boost::asio::io_context m_ioContext;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    kj::Own<kj::PromiseFulfiller<void>> m_stopFulfiller;
    bool m_isStopRequested { false };
};

} // namespace swiftloft::rpc
