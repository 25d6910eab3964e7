#include <swiftloft/expertmap/rank-agent.h>

#include <algorithm>

namespace swiftloft::expertmap {

using namespace rank;

Result<RankAgent> RankAgent::create(const Options& options)
{
    if (options.incarnation.value() == 0)
        return Error { ErrorCode::InvalidArgument, "a rank agent needs an incarnation other than 0" };
    if (options.engineTimeout <= milliseconds(0) || options.askAfter <= milliseconds(0))
        return Error { ErrorCode::InvalidArgument, "the times of a rank agent must be positive" };
    return RankAgent(options);
}

RankAgent::RankAgent(const Options& options)
    : m_options(options)
{
}

Effects RankAgent::start(TimePoint now)
{
    Effects effects;
    write(now, ReadStatus {}, effects);
    m_askAt = now + m_options.askAfter;
    effects.push_back(SendHello { { m_options.rank, m_options.incarnation } });
    return effects;
}

Effects RankAgent::apply(TimePoint now, const Event& event)
{
    Effects effects;
    if (auto* arrived = std::get_if<OrderArrived>(&event))
        onOrder(now, arrived->order, effects);
    else if (auto* answer = std::get_if<EngineAnswered>(&event))
        onAnswer(now, *answer, effects);
    else if (std::holds_alternative<EngineLost>(event))
        forgetEngine();
    else
        onTick(now, effects);
    return effects;
}

bool RankAgent::isWaiting() const
{
    if (!m_status)
        return true;
    return !m_status->isAdmitted || (m_status->armed && !m_status->isReleased);
}

void RankAgent::onOrder(TimePoint now, const RankOrder& order, Effects& effects)
{
    if (order.rank != m_options.rank)
        return;
    // Failure: a coordinator that was frozen wakes after its replacement has started and repeats its orders. Its
    // fencing number is older, so nothing reaches the engine; the report tells it that it has been superseded.
    if (order.fence < m_promised) {
        effects.push_back(OrderRefused { order });
        effects.push_back(SendReport { order.fence.holder, { m_options.rank, m_options.incarnation, m_promised, order.round, std::nullopt } });
        return;
    }
    m_promised = order.fence;
    // Failure: orders overtake each other on their way. Within one coordinator a higher round is newer.
    bool isOlder = m_next && m_next->fence == order.fence && order.round < m_next->round;
    if (!isOlder)
        m_next = order;
    beginNext(now, effects);
}

void RankAgent::beginNext(TimePoint now, Effects& effects)
{
    if (m_isInFlight || !m_next)
        return;
    m_current = std::exchange(m_next, std::nullopt);
    // Failure: this agent has just started, or its engine ignores fencing numbers and may have been ordered by an
    // earlier agent of this slot. What it remembers may be wrong, so it reads the engine before it orders anything.
    bool readFirst = !m_options.engineChecksFences || !m_status;
    m_isOrderWritten = !readFirst;
    write(now, readFirst ? Order { ReadStatus {} } : m_current->order, effects);
}

void RankAgent::write(TimePoint now, const Order& order, Effects& effects)
{
    m_isInFlight = true;
    m_engineDeadline = now + m_options.engineTimeout;
    effects.push_back(WriteEngine { { ++m_lastId, m_promised, order } });
}

bool RankAgent::stillFits(const RankOrder& order) const
{
    if (std::holds_alternative<ReadStatus>(order.order))
        return false;
    // Failure: the engine restarted after the coordinator saw it armed or staged. The order speaks of an engine that
    // is gone; the report shows the new life and the coordinator decides again.
    if (order.engine != m_status->engine)
        return false;
    return order.fence == m_promised;
}

void RankAgent::onAnswer(TimePoint now, const EngineAnswered& answer, Effects& effects)
{
    // Failure: an answer that was given up as late would be taken for that of the order now in flight.
    if (!m_isInFlight || answer.id != m_lastId)
        return;
    m_isInFlight = false;
    if (!m_status || m_status->engine != answer.status.engine || m_status->armed != answer.status.armed)
        m_askAt = now + m_options.askAfter;
    m_status = answer.status;
    m_promised = std::max(m_promised, answer.fence);
    if (m_current && !m_isOrderWritten && stillFits(*m_current)) {
        m_isOrderWritten = true;
        write(now, m_current->order, effects);
        return;
    }
    report(effects);
    beginNext(now, effects);
}

void RankAgent::forgetEngine()
{
    m_isInFlight = false;
    m_status.reset();
    m_current.reset();
}

void RankAgent::report(Effects& effects)
{
    if (!m_current)
        return;
    effects.push_back(SendReport { m_current->fence.holder, { m_options.rank, m_options.incarnation, m_promised, m_current->round, m_status } });
    m_current.reset();
}

void RankAgent::onTick(TimePoint now, Effects& effects)
{
    if (m_isInFlight && now >= m_engineDeadline) {
        // The order may still be taken later; it is conditional, and the next one is preceded by a read.
        forgetEngine();
    }
    beginNext(now, effects);
    // Failure: the coordinator died between the first and the last `Go`. This rank holds rather than guess, and asks
    // whoever runs rank 0 now.
    if (isWaiting() && now >= m_askAt) {
        m_askAt = now + m_options.askAfter;
        effects.push_back(SendHello { { m_options.rank, m_options.incarnation } });
    }
}

} // namespace swiftloft::expertmap
