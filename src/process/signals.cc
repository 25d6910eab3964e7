#include "src/process/signals.h"

#include <csignal>

namespace swiftloft::process {

StopSignals::StopSignals(boost::asio::io_context& ioContext, std::function<void(int)> onStop)
    : m_signals(ioContext, SIGTERM, SIGINT)
    , m_onStop(std::move(onStop))
{
    wait();
}

StopSignals::~StopSignals()
{
    if (m_count == 0)
        return;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void StopSignals::wait()
{
    m_signals.async_wait([this](boost::system::error_code ec, int) {
        if (ec)
            return;
        m_onStop(++m_count);
        wait();
    });
}

HangUpSignal::HangUpSignal(boost::asio::io_context& ioContext, std::function<void()> onHangUp)
    : m_signals(ioContext, SIGHUP)
    , m_onHangUp(std::move(onHangUp))
{
    wait();
}

void HangUpSignal::wait()
{
    m_signals.async_wait([this](boost::system::error_code ec, int) {
        if (ec)
            return;
        m_onHangUp();
        wait();
    });
}

} // namespace swiftloft::process
