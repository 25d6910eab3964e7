#include "src/gateway/call-desk.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace swiftloft::gateway {

namespace asio = boost::asio;

CallDesk::CallDesk(asio::io_context& ioContext, const DispatcherOptions& options, policy::Generator generator)
    : m_ioContext(ioContext)
    , m_dispatcher(options, generator)
    , m_timer(ioContext)
{
}

CallDesk::Ticket::Ticket(CallDesk& desk, CallId id)
    : m_desk(desk)
    , m_id(id)
{
}

CallDesk::Ticket::~Ticket()
{
    m_desk.m_waiters.erase(m_id);
    m_desk.m_onTakeBack.erase(m_id);
    m_desk.apply(dispatch::CallClosed { m_id });
}

asio::awaitable<CallDecision> CallDesk::Ticket::arrive(CallRequest request)
{
    return m_desk.decisionFor(m_id, dispatch::RequestArrived { m_id, std::move(request) });
}

asio::awaitable<CallDecision> CallDesk::Ticket::attemptEnded(AttemptOutcome end)
{
    return m_desk.decisionFor(m_id, dispatch::AttemptEnded { m_id, end });
}

void CallDesk::Ticket::answerBegan()
{
    m_desk.apply(dispatch::ResponseStarted { m_id });
}

void CallDesk::Ticket::progressed()
{
    m_desk.apply(dispatch::StreamProgressed { m_id });
}

void CallDesk::Ticket::setOnTakeBack(std::function<void()> hook)
{
    m_desk.m_onTakeBack[m_id] = std::move(hook);
}

void CallDesk::Ticket::answered()
{
    m_desk.apply(dispatch::AttemptEnded { m_id, AttemptOutcome::Answered });
}

asio::awaitable<CallDecision> CallDesk::decisionFor(CallId id, dispatch::Event event)
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

void CallDesk::deliver(CallId id, CallDecision decision)
{
    auto it = m_waiters.find(id);
    if (it == m_waiters.end())
        return;
    it->second->decision = std::move(decision);
    it->second->timer.cancel();
}

void CallDesk::perform(const dispatch::CancelAttempt& effect)
{
    auto it = m_onTakeBack.find(effect.call);
    if (it != m_onTakeBack.end())
        it->second();
}

void CallDesk::perform(const dispatch::PublishLeaving& effect)
{
    if (m_onServerLeaving)
        m_onServerLeaving(effect.server);
}

void CallDesk::apply(const dispatch::Event& event)
{
    if (m_isClosed)
        return;
    auto effects = m_dispatcher.apply(Clock::now(), event);
    for (auto& effect : effects)
        std::visit([this](auto& it) { perform(it); }, effect);
    // Comes with every event of every stream and changes no load.
    if (std::holds_alternative<dispatch::StreamProgressed>(event))
        return;
    armTimer();
    bool isLoad = std::holds_alternative<dispatch::LoadReceived>(event) || std::holds_alternative<dispatch::SnapshotChanged>(event);
    if (m_onLoadChanged && !isLoad)
        m_onLoadChanged();
}

void CallDesk::armTimer()
{
    auto next = m_dispatcher.nextTick();
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
