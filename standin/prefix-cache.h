#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace swiftloft::standin {

/// The prompt prefixes an engine still holds, in blocks of 64 characters, least recently used first out.
///
/// A block is named by the hash of everything up to its end, so that two prompts share blocks only as long as they
/// are equal from the start.
class PrefixCache {
public:
    static constexpr std::size_t blockCharacters = 64;

    explicit PrefixCache(std::size_t capacityInBlocks);

    /// Characters of `prompt` held already; all its blocks are held afterwards.
    std::size_t touch(std::string_view prompt);

private:
    using Order = std::list<std::uint64_t>;

    static std::vector<std::uint64_t> blocksOf(std::string_view prompt);
    void hold(std::uint64_t block);

    std::size_t m_capacity;
    Order m_order;
    std::unordered_map<std::uint64_t, Order::iterator> m_held;
};

} // namespace swiftloft::standin
