#include "src/rpc/event-loop.h"

#include <boost/asio/post.hpp>

namespace swiftloft::rpc {

namespace internal {

/// Lets kj wait for Asio's events. Handlers run inside `wait` and `poll` and queue kj events by fulfilling promises.
class AsioEventPort : public kj::EventPort {
public:
    explicit AsioEventPort(boost::asio::io_context& ioContext)
        : m_ioContext(ioContext)
    {
    }

    bool wait() override
    {
        m_ioContext.run_one();
        m_ioContext.poll();
        return false;
    }

    bool poll() override
    {
        m_ioContext.poll();
        return false;
    }

private:
    boost::asio::io_context& m_ioContext;
};

} // namespace internal

EventLoop::EventLoop()
    : m_ioContext(1)
    , m_workGuard(boost::asio::make_work_guard(m_ioContext))
{
}

void EventLoop::run(const Hook& onStart, const Hook& onStop)
{
    internal::AsioEventPort port(m_ioContext);
    kj::EventLoop loop(port);
    kj::WaitScope scope(loop);
    auto stopped = kj::newPromiseAndFulfiller<void>();
    m_stopFulfiller = kj::mv(stopped.fulfiller);
    if (m_isStopRequested)
        m_stopFulfiller->fulfill();
    onStart();
    stopped.promise.wait(scope);
    onStop();
    m_stopFulfiller = nullptr;
}

void EventLoop::stop()
{
    boost::asio::post(m_ioContext, [this] {
        m_isStopRequested = true;
        if (m_stopFulfiller.get())
            m_stopFulfiller->fulfill();
    });
}

} // namespace swiftloft::rpc
