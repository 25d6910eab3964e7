#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace swiftloft::agent {

/// Buffer of the last bytes of one response, so that a new connection can resume where an old one broke.
///
/// Offsets count body bytes from 0. At least the last `capacity` bytes are kept; older ones may be dropped.
class ReplayBuffer {
public:
    explicit ReplayBuffer(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    void append(std::string_view bytes);

    /// Offset of the first byte in the buffer.
    std::uint64_t begin() const { return m_begin; }
    std::uint64_t end() const { return m_begin + m_bytes.size(); }

    /// Returns at most `maxBytes` bytes from `offset` on, or `nullopt` when `offset` is outside the buffered range.
    std::optional<std::string_view> read(std::uint64_t offset, std::size_t maxBytes) const;

private:
    std::size_t m_capacity;
    std::uint64_t m_begin { 0 };
    std::string m_bytes;
};

} // namespace swiftloft::agent
