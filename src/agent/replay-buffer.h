#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace swiftloft::agent {

/// The last bytes of one answer, so that a new connection can go on where an old one broke.
///
/// Offsets count body bytes from 0. Bytes older than `capacity` behind the end are dropped.
class ReplayBuffer {
public:
    explicit ReplayBuffer(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    void append(std::string_view bytes);

    /// Offset of the first byte still held.
    std::uint64_t begin() const { return m_begin; }
    std::uint64_t end() const { return m_begin + m_bytes.size(); }

    /// At most `most` bytes from `offset` on; nothing when `offset` is outside of what is held.
    std::optional<std::string_view> read(std::uint64_t offset, std::size_t maxBytes) const;

private:
    std::size_t m_capacity;
    std::uint64_t m_begin { 0 };
    std::string m_bytes;
};

} // namespace swiftloft::agent
