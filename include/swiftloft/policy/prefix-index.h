#pragma once

#include <swiftloft/policy/server-handle.h>
#include <swiftloft/result.h>
#include <swiftloft/units.h>

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace swiftloft::policy {

/// Hash of a prompt from its start to the end of one block; equal hashes mean equal prefixes.
using BlockHash = Strong<struct BlockHashTag, std::uint64_t>;

struct PrefixBlockOptions {
    Bytes blockSize { 1024 };
    std::size_t maximumBlocks { 8 };
};

/// Hashes of the prefixes of `prompt` that end at whole blocks, shortest first. `salt` separates models and adapters.
std::vector<BlockHash> prefixBlocks(std::string_view prompt, std::uint64_t salt, const PrefixBlockOptions& options);

struct PrefixIndexOptions {
    /// Number of entries. Buckets have four entries, and the number of buckets is rounded up to a power of two. One
    /// entry takes 16 bytes.
    std::size_t capacity { 1 << 16 };
    /// Time after which an unconfirmed entry is ignored: engines evict cached prefixes without reporting it.
    seconds expireAfter { 300 };
};

/// Approximate index of the prompt prefixes that backend servers have recently cached, as observed by this entry.
///
/// A four-way set-associative table: memory is fixed, a lookup touches one cache line, and the least recently used of
/// four entries is replaced. The index is a hint. A wrong entry costs one prefill, so lost and late cache events need
/// not be repaired.
class PrefixIndex {
public:
    struct Holder {
        ServerHandle server;
        /// Number of blocks of the prompt that the server is expected to have cached.
        std::size_t blocks { 0 };
    };
    static constexpr std::size_t maximumHolders = 4;
    using Holders = std::array<Holder, maximumHolders>;

    static Result<PrefixIndex> create(PrefixIndexOptions options);

    /// Records that `server` has computed, and therefore caches, every prefix in `blocks`.
    void insert(std::span<const BlockHash> blocks, ServerHandle server, TimePoint now);
    /// Fills `holders` with the servers that are expected to have cached the longest known prefix, and returns their
    /// number.
    std::size_t find(std::span<const BlockHash> blocks, TimePoint now, Holders& holders) const;
    void evict(BlockHash block, ServerHandle server);
    /// Invalidates all entries of `server` in constant time, after a restart or a gap in its cache events.
    void invalidate(ServerHandle server);

private:
    static constexpr std::size_t ways = maximumHolders;
    static constexpr std::uint32_t noEpoch = 0;

    struct Entry {
        std::uint32_t tag { 0 };
        std::uint32_t slot { 0 };
        std::uint32_t epoch { noEpoch };
        std::uint32_t usedAt { 0 };
    };
    struct alignas(64) Bucket {
        std::array<Entry, ways> entries;
    };

    PrefixIndex(std::size_t buckets, seconds expireAfter);
    Bucket& bucketOf(BlockHash block) { return m_buckets[block.value() & (m_buckets.size() - 1)]; }
    const Bucket& bucketOf(BlockHash block) const { return m_buckets[block.value() & (m_buckets.size() - 1)]; }
    bool isValid(const Entry& entry, std::uint32_t tag, std::uint32_t now) const;
    void insertBlock(BlockHash block, ServerHandle server, std::uint32_t now);

    std::vector<Bucket> m_buckets;
    std::vector<std::uint32_t> m_epochs;
    std::vector<std::uint32_t> m_generations;
    std::uint32_t m_expireAfter;
};

} // namespace swiftloft::policy
