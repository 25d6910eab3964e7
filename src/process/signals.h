#pragma once

#include <boost/asio/signal_set.hpp>

#include <functional>

namespace swiftloft::process {

/// Calls `onStop` for the first SIGTERM or SIGINT: a graceful shutdown begins. A second one is left to the caller's
/// hook as well, which may then stop at once.
class StopSignals {
public:
    StopSignals(boost::asio::io_context& ioContext, std::function<void(int count)> onStop);
    /// Once a shutdown has begun, blocks further signals to stop in the calling thread, which must be the last one of the process:
    /// by default they would kill it before it has ended in order.
    ~StopSignals();
    StopSignals(const StopSignals&) = delete;
    StopSignals& operator=(const StopSignals&) = delete;

private:
    void wait();

    boost::asio::signal_set m_signals;
    std::function<void(int)> m_onStop;
    int m_count { 0 };
};

/// Calls `onHangUp` for each SIGHUP, which without it would end the process.
class HangUpSignal {
public:
    HangUpSignal(boost::asio::io_context& ioContext, std::function<void()> onHangUp);

private:
    void wait();

    boost::asio::signal_set m_signals;
    std::function<void()> m_onHangUp;
};

} // namespace swiftloft::process
