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
    if (m_size <= alwaysBufferedBytes)
        return true;
    while (m_memory.m_sum > maxBytes) {
        if (!m_memory.reclaim(now))
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

bool ResponseMemory::reclaim(TimePoint now)
{
    auto it = std::find_if(m_deliveries.begin(), m_deliveries.end(), [](auto* share) { return share->m_size > alwaysBufferedBytes; });
    if (it == m_deliveries.end() || now < (*it)->m_protectedUntil)
        return false;
    auto& share = **it;
    share.release();
    share.m_giveUp();
    return true;
}

} // namespace swiftloft::gateway
