#include "src/gateway/response-memory.h"

#include <algorithm>
#include <utility>

namespace swiftloft::gateway {

ResponseMemory::Share::~Share()
{
    release();
}

bool ResponseMemory::Share::add(TimePoint now, std::size_t size)
{
    m_size += size;
    m_memory.m_sum += size;
    bool isSmall = m_size <= maxSmallBytes;
    auto max = isSmall ? m_memory.m_maxBytes + m_memory.m_maxBytes / 3 : m_memory.m_maxBytes;
    while (m_memory.m_sum > max) {
        if (!m_memory.reclaimLarge(now) && !(isSmall && m_memory.reclaimAny()))
            return false;
    }
    return true;
}

void ResponseMemory::Share::startDelivery(TimePoint now, std::function<void()> giveUp)
{
    m_giveUp = std::move(giveUp);
    m_protectedUntil = now + protectedTime;
    m_memory.m_deliveries.push_back(this);
}

void ResponseMemory::Share::release()
{
    m_memory.m_deliveries.remove(this);
    m_memory.m_sum -= std::exchange(m_size, 0);
}

bool ResponseMemory::reclaimLarge(TimePoint now)
{
    auto it = std::find_if(m_deliveries.begin(), m_deliveries.end(), [](auto* share) { return share->m_size > maxSmallBytes; });
    if (it == m_deliveries.end() || now < (*it)->m_protectedUntil)
        return false;
    giveUp(**it);
    return true;
}

bool ResponseMemory::reclaimAny()
{
    if (m_deliveries.empty())
        return false;
    giveUp(*m_deliveries.front());
    return true;
}

void ResponseMemory::giveUp(Share& share)
{
    share.release();
    share.m_giveUp();
}

} // namespace swiftloft::gateway
