#include <swiftloft/expertmap/rank-agent.h>

#include <algorithm>

namespace swiftloft::expertmap {

using namespace rank;

Result<RankAgent> RankAgent::create(const Options& options)
{
    if (options.incarnation.value() == 0)
        return Error { ErrorCode::InvalidArgument, "the incarnation of a rank agent must not be 0" };
    if (options.engineTimeout <= milliseconds(0) || options.helloInterval <= milliseconds(0))
        return Error { ErrorCode::InvalidArgument, "engineTimeout and helloInterval must be positive" };
    return RankAgent(options);
}

RankAgent::RankAgent(const Options& options)
    : m_options(options)
{
}

Effects RankAgent::start(TimePoint now)
{
    Effects effects;
    sendToEngine(now, ReadStatus {}, effects);
    m_nextHelloAt = now + m_options.helloInterval;
    effects.push_back(SendHello { { m_options.rank, m_options.incarnation } });
    return effects;
}

Effects RankAgent::apply(TimePoint now, const Event& event)
{
    Effects effects;
    if (auto* received = std::get_if<OrderReceived>(&event))
        onOrder(now, received->order, effects);
    else if (auto* response = std::get_if<EngineResponded>(&event))
        onEngineResponse(now, *response, effects);
    else if (std::holds_alternative<EngineDisconnected>(event))
        resetEngineState();
    else
        onTick(now, effects);
    return effects;
}

bool RankAgent::isEngineWaiting() const
{
    if (!m_status)
        return true;
    return !m_status->isAdmitted || (m_status->armed && !m_status->isReleased);
}

void RankAgent::onOrder(TimePoint now, const RankOrder& order, Effects& effects)
{
    if (order.rank != m_options.rank)
        return;
    // A coordinator that was frozen may wake after its replacement has started, and repeat its orders. Its fencing
    // number is older, so none of its orders reaches the engine. The newer number in the report shows this coordinator
    // that it has been superseded.
    if (order.fence < m_promised) {
        effects.push_back(OrderRefused { order });
        effects.push_back(SendReport { order.fence.holder, { m_options.rank, m_options.incarnation, m_promised, order.round, std::nullopt } });
        return;
    }
    m_promised = order.fence;
    // Orders can overtake each other in transit. Among the orders of one coordinator, a higher round is newer.
    bool isOlder = m_nextOrder && m_nextOrder->fence == order.fence && order.round < m_nextOrder->round;
    if (!isOlder)
        m_nextOrder = order;
    startNextOrder(now, effects);
}

void RankAgent::startNextOrder(TimePoint now, Effects& effects)
{
    if (m_isInFlight || !m_nextOrder)
        return;
    m_currentOrder = std::exchange(m_nextOrder, std::nullopt);
    // If this agent has just started, it does not know the engine's status. If the engine ignores fencing numbers, it
    // may have received orders from an earlier agent of this rank, and the status that this agent remembers may be
    // outdated. In both cases, the agent reads the status before it forwards an order.
    bool mustReadFirst = !m_options.engineChecksFences || !m_status;
    m_isOrderSent = !mustReadFirst;
    sendToEngine(now, mustReadFirst ? Order { ReadStatus {} } : m_currentOrder->order, effects);
}

void RankAgent::sendToEngine(TimePoint now, const Order& order, Effects& effects)
{
    m_isInFlight = true;
    m_engineDeadline = now + m_options.engineTimeout;
    effects.push_back(SendToEngine { { ++m_lastId, m_promised, order } });
}

bool RankAgent::isStillValid(const RankOrder& order) const
{
    if (std::holds_alternative<ReadStatus>(order.order))
        return false;
    // If the engine has restarted since the coordinator read its status, the order was meant for the earlier
    // incarnation, which was armed or had staged a map. The report shows the new incarnation, and the coordinator
    // decides again.
    if (order.engine != m_status->engine)
        return false;
    return order.fence == m_promised;
}

void RankAgent::onEngineResponse(TimePoint now, const EngineResponded& response, Effects& effects)
{
    // A late response to an order that has timed out must not be taken for the response to the order in flight.
    if (!m_isInFlight || response.id != m_lastId)
        return;
    m_isInFlight = false;
    if (!m_status || m_status->engine != response.status.engine || m_status->armed != response.status.armed)
        m_nextHelloAt = now + m_options.helloInterval;
    m_status = response.status;
    m_promised = std::max(m_promised, response.fence);
    if (m_currentOrder && !m_isOrderSent && isStillValid(*m_currentOrder)) {
        m_isOrderSent = true;
        sendToEngine(now, m_currentOrder->order, effects);
        return;
    }
    sendReport(effects);
    startNextOrder(now, effects);
}

void RankAgent::resetEngineState()
{
    m_isInFlight = false;
    m_status.reset();
    m_currentOrder.reset();
}

void RankAgent::sendReport(Effects& effects)
{
    if (!m_currentOrder)
        return;
    effects.push_back(SendReport { m_currentOrder->fence.holder, { m_options.rank, m_options.incarnation, m_promised, m_currentOrder->round, m_status } });
    m_currentOrder.reset();
}

void RankAgent::onTick(TimePoint now, Effects& effects)
{
    if (m_isInFlight && now >= m_engineDeadline) {
        // The engine may still carry out the order later. The order is conditional, and the next one is preceded by a
        // read.
        resetEngineState();
    }
    startNextOrder(now, effects);
    // The coordinator may have died between the first and the last `Go`. This rank can't know the outcome, so it keeps
    // holding and sends a hello to the process that runs rank 0 now.
    if (isEngineWaiting() && now >= m_nextHelloAt) {
        m_nextHelloAt = now + m_options.helloInterval;
        effects.push_back(SendHello { { m_options.rank, m_options.incarnation } });
    }
}

} // namespace swiftloft::expertmap
