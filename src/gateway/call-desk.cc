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
    m_desk.apply(dispatch::Closed { m_id });
}

asio::awaitable<CallDecision> CallDesk::Ticket::arrive(CallRequest request)
{
    return m_desk.decisionFor(m_id, dispatch::Arrived { m_id, std::move(request) });
}

asio::awaitable<CallDecision> CallDesk::Ticket::attemptEnded(AttemptEnd end)
{
    return m_desk.decisionFor(m_id, dispatch::AttemptEnded { m_id, end });
}

void CallDesk::Ticket::answerBegan()
{
    m_desk.apply(dispatch::AnswerBegan { m_id });
}

void CallDesk::Ticket::answered()
{
    m_desk.apply(dispatch::AttemptEnded { m_id, AttemptEnd::Answered });
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

void CallDesk::apply(const dispatch::Event& event)
{
    if (m_isClosed)
        return;
    auto effects = m_dispatcher.apply(Clock::now(), event);
    for (auto& effect : effects)
        std::visit([this](auto& it) { deliver(it.call, it); }, effect);
    armTimer();
    bool isLoad = std::holds_alternative<dispatch::LoadArrived>(event) || std::holds_alternative<dispatch::SnapshotChanged>(event);
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
