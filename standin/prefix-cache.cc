#include "standin/prefix-cache.h"

#include <xxhash.h>

namespace swiftloft::standin {

PrefixCache::PrefixCache(std::size_t capacityInBlocks)
    : m_capacity(capacityInBlocks)
{
}

std::vector<std::uint64_t> PrefixCache::blocksOf(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::uint64_t hash = 0;
    for (std::size_t at = 0; at + blockCharacters <= prompt.size(); at += blockCharacters) {
        hash = XXH64(prompt.data() + at, blockCharacters, hash);
        blocks.push_back(hash);
    }
    return blocks;
}

std::size_t PrefixCache::touch(std::string_view prompt)
{
    auto blocks = blocksOf(prompt);
    std::size_t hits = 0;
    while (hits < blocks.size() && m_held.contains(blocks[hits]))
        ++hits;
    // Last block first, so that the start of a prefix is the last to be evicted.
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it)
        hold(*it);
    return hits * blockCharacters;
}

void PrefixCache::hold(std::uint64_t block)
{
    auto it = m_held.find(block);
    if (it != m_held.end()) {
        m_order.splice(m_order.end(), m_order, it->second);
        return;
    }
    m_held[block] = m_order.insert(m_order.end(), block);
    if (m_held.size() > m_capacity) {
        m_held.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace swiftloft::standin
