#pragma once

#include <cstddef>

namespace swiftloft::process {

/// Upper bound of the bytes of a connection that are read and not yet parsed. The parser in use bounds heads and bodies, but
/// neither chunk headers nor trailers: their sender could fill the memory.
inline constexpr std::size_t maxUnparsedBytes { std::size_t { 128 } << 10 };

} // namespace swiftloft::process
