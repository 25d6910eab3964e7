#include "src/gateway/async-dispatcher.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace swiftloft::gateway {

namespace asio = boost::asio;

AsyncDispatcher::AsyncDispatcher(asio::io_context& ioContext, const DispatcherOptions& options, policy::Generator generator)
    : m_ioContext(ioContext)
    , m_reducer(options, generator)
    , m_timer(ioContext)
{
}

AsyncDispatcher::CallHandle::CallHandle(AsyncDispatcher& dispatcher, CallId id)
    : m_dispatcher(dispatcher)
    , m_id(id)
{
}

AsyncDispatcher::CallHandle::~CallHandle()
{
    m_dispatcher.m_waiters.erase(m_id);
    m_dispatcher.m_attemptHooks.erase(m_id);
    m_dispatcher.apply(dispatch::CallClosed { m_id });
}

asio::awaitable<CallDecision> AsyncDispatcher::CallHandle::submit(CallRequest request)
{
    return m_dispatcher.awaitDecision(m_id, dispatch::RequestArrived { m_id, std::move(request) });
}

asio::awaitable<CallDecision> AsyncDispatcher::CallHandle::reportAttemptEnd(AttemptOutcome outcome)
{
    return m_dispatcher.awaitDecision(m_id, dispatch::AttemptEnded { m_id, outcome });
}

void AsyncDispatcher::CallHandle::reportResponseStarted()
{
    m_dispatcher.apply(dispatch::ResponseStarted { m_id });
}

void AsyncDispatcher::CallHandle::reportProgress()
{
    m_dispatcher.apply(dispatch::StreamProgressed { m_id, true });
}

void AsyncDispatcher::CallHandle::reportDelivered()
{
    m_dispatcher.apply(dispatch::StreamDelivered { m_id });
}

void AsyncDispatcher::CallHandle::reportResponseReceived()
{
    m_dispatcher.apply(dispatch::ResponseReceived { m_id });
}

void AsyncDispatcher::CallHandle::reportTakeoverAccepted()
{
    m_dispatcher.apply(dispatch::TakeoverAccepted { m_id });
}

void AsyncDispatcher::CallHandle::reportTakeoverFailed(AttemptOutcome outcome)
{
    m_dispatcher.apply(dispatch::TakeoverFailed { m_id, outcome });
}

void AsyncDispatcher::CallHandle::setAttemptHooks(AttemptHooks hooks)
{
    m_dispatcher.m_attemptHooks[m_id] = std::move(hooks);
}

void AsyncDispatcher::CallHandle::reportCompleted(bool isSuccess, bool endsWithConnection)
{
    m_dispatcher.apply(dispatch::AttemptEnded { m_id, AttemptOutcome::Answered, endsWithConnection, isSuccess });
}

asio::awaitable<CallDecision> AsyncDispatcher::awaitDecision(CallId id, dispatch::Event event)
{
    auto waiter = std::make_shared<Waiter>(m_ioContext);
    m_waiters[id] = waiter;
    apply(event);
    while (!waiter->decision) {
        boost::system::error_code ec;
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    m_waiters.erase(id);
    co_return *waiter->decision;
}

void AsyncDispatcher::deliver(CallId id, CallDecision decision)
{
    auto it = m_waiters.find(id);
    if (it == m_waiters.end())
        return;
    it->second->decision = std::move(decision);
    it->second->timer.cancel();
}

void AsyncDispatcher::perform(const dispatch::CancelAttempt& effect)
{
    auto it = m_attemptHooks.find(effect.call);
    if (it != m_attemptHooks.end())
        it->second.onCancel();
}

void AsyncDispatcher::perform(const dispatch::StartTakeover& effect)
{
    auto it = m_attemptHooks.find(effect.call);
    if (it != m_attemptHooks.end())
        it->second.onStartTakeover(effect);
}

void AsyncDispatcher::perform(const dispatch::PublishLeaving& effect)
{
    if (m_onServerLeaving)
        m_onServerLeaving(effect.server);
}

void AsyncDispatcher::perform(const dispatch::ProbeServer& effect)
{
    if (m_onProbe)
        m_onProbe(effect.server);
}

void AsyncDispatcher::perform(const dispatch::RetryDenied& effect)
{
    if (m_onRetryDenied)
        m_onRetryDenied(effect);
}

void AsyncDispatcher::apply(const dispatch::Event& event)
{
    if (m_isClosed)
        return;
    auto effects = m_reducer.apply(Clock::now(), event);
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
    // These do not change the load. They are skipped early because they occur with every event of every stream.
    if (std::holds_alternative<dispatch::StreamProgressed>(event) || std::holds_alternative<dispatch::StreamDelivered>(event))
        return;
    armTimer();
    bool isLoad = std::holds_alternative<dispatch::LoadReceived>(event) || std::holds_alternative<dispatch::SnapshotChanged>(event) || std::holds_alternative<dispatch::SuspicionsReceived>(event);
    if (m_onLoadChanged && !isLoad)
        m_onLoadChanged();
}

void AsyncDispatcher::armTimer()
{
    auto next = m_reducer.nextTick();
    if (!next) {
        m_timer.expires_at(TimePoint::max());
        return;
    }
    if (m_timer.expiry() == *next)
        return;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            apply(dispatch::Ticked {});
    });
}

} // namespace swiftloft::gateway
