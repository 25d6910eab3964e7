#include "src/gateway/admission/request-queue.h"

#include <algorithm>

namespace swiftloft::gateway::admission {

void RequestQueue::push(const QueuedRequest& request)
{
    auto isLessUrgent = [&](const QueuedRequest& it) { return !it.isFirst && it.priority > request.priority; };
    m_requests.insert(std::find_if(m_requests.begin(), m_requests.end(), isLessUrgent), request);
}

void RequestQueue::pushFirst(const QueuedRequest& request)
{
    m_requests.insert(m_requests.begin(), request)->isFirst = true;
}

void RequestQueue::remove(CallId call)
{
    std::erase_if(m_requests, [&](auto& it) { return it.call == call; });
}

std::vector<CallId> RequestQueue::order() const
{
    std::vector<CallId> calls;
    calls.reserve(m_requests.size());
    for (auto& it : m_requests)
        calls.push_back(it.call);
    return calls;
}

} // namespace swiftloft::gateway::admission
