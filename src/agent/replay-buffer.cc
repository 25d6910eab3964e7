#include "src/agent/replay-buffer.h"

#include <algorithm>

namespace swiftloft::agent {

void ReplayBuffer::append(std::string_view bytes)
{
    m_bytes.append(bytes);
    // Erasing moves the remaining bytes in memory. It is therefore deferred until there are as many bytes to drop as to
    // keep.
    if (m_bytes.size() < 2 * m_capacity)
        return;
    auto n = m_bytes.size() - m_capacity;
    m_bytes.erase(0, n);
    m_begin += n;
}

std::optional<std::string_view> ReplayBuffer::read(std::uint64_t offset, std::size_t maxBytes) const
{
    if (offset < m_begin || offset > end())
        return std::nullopt;
    return std::string_view(m_bytes).substr(offset - m_begin, maxBytes);
}

} // namespace swiftloft::agent
