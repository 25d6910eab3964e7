#include <swiftloft/policy/prefix-index.h>

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace swiftloft::policy {

namespace {

std::uint32_t tagOf(BlockHash block)
{
    return static_cast<std::uint32_t>(block.value() >> 32);
}

std::uint32_t wholeSeconds(TimePoint now)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(now.time_since_epoch()).count());
}

struct HashStateDeleter {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

} // namespace

std::vector<BlockHash> prefixBlocks(std::string_view prompt, std::uint64_t salt, const PrefixBlockOptions& options)
{
    std::vector<BlockHash> blocks;
    auto size = options.blockSize.value();
    if (!size)
        return blocks;
    auto n = std::min<std::size_t>(prompt.size() / size, options.maximumBlocks);
    blocks.reserve(n);
    std::unique_ptr<XXH3_state_t, HashStateDeleter> state(XXH3_createState());
    XXH3_64bits_reset_withSeed(state.get(), salt);
    for (std::size_t i = 0; i < n; ++i) {
        XXH3_64bits_update(state.get(), prompt.data() + i * size, size);
        blocks.emplace_back(XXH3_64bits_digest(state.get()));
    }
    return blocks;
}

PrefixIndex::PrefixIndex(std::size_t buckets, seconds expireAfter)
    : m_buckets(buckets)
    , m_expireAfter(static_cast<std::uint32_t>(expireAfter.count()))
{
}

Result<PrefixIndex> PrefixIndex::create(PrefixIndexOptions options)
{
    constexpr std::size_t largest = std::size_t(1) << 24;
    if (options.capacity < ways || options.capacity > largest)
        return Error { ErrorCode::OutOfRange, "prefix index: capacity must be 4 to 16777216 entries" };
    if (options.expireAfter.count() <= 0)
        return Error { ErrorCode::InvalidArgument, "prefix index: expire-after must be positive" };
    return PrefixIndex(std::bit_ceil(options.capacity / ways), options.expireAfter);
}

bool PrefixIndex::isValid(const Entry& entry, std::uint32_t tag, std::uint32_t now) const
{
    return entry.epoch != noEpoch && entry.tag == tag && entry.epoch == m_epochs[entry.slot] && now - entry.usedAt <= m_expireAfter;
}

void PrefixIndex::insert(std::span<const BlockHash> blocks, ServerHandle server, TimePoint now)
{
    if (server.slot >= m_epochs.size()) {
        m_epochs.resize(server.slot + 1, noEpoch + 1);
        m_generations.resize(server.slot + 1);
    }
    if (m_generations[server.slot] != server.generation) {
        // The slot has been reused for another server, which has not cached the prefixes of the previous one.
        m_generations[server.slot] = server.generation;
        ++m_epochs[server.slot];
    }
    for (auto block : blocks)
        insertBlock(block, server, wholeSeconds(now));
}

void PrefixIndex::insertBlock(BlockHash block, ServerHandle server, std::uint32_t now)
{
    auto tag = tagOf(block);
    auto& entries = bucketOf(block).entries;
    auto* chosen = &entries[0];
    for (auto& entry : entries) {
        if (entry.epoch != noEpoch && entry.tag == tag && entry.slot == server.slot) {
            chosen = &entry;
            break;
        }
        if (entry.usedAt < chosen->usedAt)
            chosen = &entry;
    }
    *chosen = { tag, server.slot, m_epochs[server.slot], now };
}

std::size_t PrefixIndex::find(std::span<const BlockHash> blocks, TimePoint now, Holders& holders) const
{
    for (auto length = blocks.size(); length > 0; --length) {
        auto block = blocks[length - 1];
        std::size_t n = 0;
        for (auto& entry : bucketOf(block).entries) {
            if (isValid(entry, tagOf(block), wholeSeconds(now)))
                holders[n++] = { { entry.slot, m_generations[entry.slot] }, length };
        }
        if (n)
            return n;
    }
    return 0;
}

void PrefixIndex::evict(BlockHash block, ServerHandle server)
{
    for (auto& entry : bucketOf(block).entries) {
        if (entry.tag == tagOf(block) && entry.slot == server.slot)
            entry = {};
    }
}

void PrefixIndex::invalidate(ServerHandle server)
{
    if (server.slot < m_epochs.size() && m_generations[server.slot] == server.generation)
        ++m_epochs[server.slot];
}

} // namespace swiftloft::policy
