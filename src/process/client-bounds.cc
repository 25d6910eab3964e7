#include "src/process/client-bounds.h"

#include <algorithm>
#include <utility>

namespace swiftloft::process {

ClientBounds::Share::Share(ClientBounds& bounds, GiveUp giveUp)
    : m_bounds(bounds)
    , m_giveUp(std::move(giveUp))
{
    m_bounds.m_bytes += m_bytes;
    m_isCounted = m_bounds.m_connections < m_bounds.m_options.maxConnections || m_bounds.freeConnection();
    m_bounds.m_connections += m_isCounted;
    if (!m_isCounted)
        ++m_bounds.m_madeWay;
}

ClientBounds::Share::~Share()
{
    dequeue();
    m_bounds.m_bytes -= m_bytes;
    m_bounds.m_connections -= m_isCounted;
}

void ClientBounds::Share::enqueue(Kind kind, TimePoint now)
{
    dequeue();
    auto& queue = m_bounds.queueOf(kind);
    m_position = queue.insert(queue.end(), this);
    m_kind = kind;
    m_progressAt = now;
    m_bytesAtProgress = m_bytes;
}

void ClientBounds::Share::dequeue()
{
    if (m_kind)
        m_bounds.queueOf(*m_kind).erase(m_position);
    m_kind.reset();
}

void ClientBounds::Share::startReading(TimePoint now)
{
    m_isReading = true;
    enqueue(m_bytes > maxSmallBytes ? Kind::Large : Kind::Small, now);
}

void ClientBounds::Share::startProgress()
{
    m_isReading = false;
    dequeue();
}

void ClientBounds::Share::onStalled(TimePoint now)
{
    m_isReading = false;
    enqueue(Kind::Stalled, now);
}

bool ClientBounds::Share::resize(TimePoint now, std::size_t bytes)
{
    auto size = bytes + connectionBytes;
    m_bounds.m_bytes = m_bounds.m_bytes - m_bytes + size;
    m_bytes = size;
    if (m_isReading && (size < m_bytesAtProgress || size >= m_bytesAtProgress + progressBytes))
        startReading(now);
    auto max = size > maxSmallBytes ? m_bounds.maxLargeBytes() : m_bounds.m_options.maxBytes;
    while (m_bounds.m_bytes > max) {
        if (m_bounds.freeBytes(*this))
            continue;
        ++m_bounds.m_madeWay;
        return false;
    }
    return true;
}

void ClientBounds::Share::makeWay(Needed needed)
{
    dequeue();
    ++m_bounds.m_madeWay;
    if (needed == Needed::Connection)
        m_bounds.m_connections -= std::exchange(m_isCounted, false);
    // The connection releases its memory when it is resumed; until then others must not make way for the same bytes.
    m_bounds.m_bytes -= m_bytes;
    m_bytes = 0;
    m_giveUp(needed);
}

bool ClientBounds::freeConnection()
{
    Share* oldest = nullptr;
    for (auto kind : { Share::Kind::Large, Share::Kind::Small }) {
        auto& queue = queueOf(kind);
        if (!queue.empty() && (!oldest || queue.front()->m_progressAt < oldest->m_progressAt))
            oldest = queue.front();
    }
    auto& stalled = queueOf(Share::Kind::Stalled);
    if (!oldest && !stalled.empty())
        oldest = stalled.front();
    if (oldest)
        oldest->makeWay(Needed::Connection);
    return oldest;
}

bool ClientBounds::freeBytes(const Share& share)
{
    bool isSmall = share.m_bytes <= maxSmallBytes;
    for (auto kind : { Share::Kind::Large, Share::Kind::Stalled, Share::Kind::Small }) {
        // A small one makes way only for a small one.
        auto& queue = queueOf(kind);
        auto it = std::find_if(queue.begin(), queue.end(), [&](auto* other) { return other != &share && (isSmall || other->m_bytes > maxSmallBytes); });
        if (it == queue.end())
            continue;
        (*it)->makeWay(Needed::Bytes);
        return true;
    }
    return false;
}

} // namespace swiftloft::process
