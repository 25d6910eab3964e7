#pragma once

#include <compare>
#include <cstdint>

namespace swiftloft::policy {

/// Identifies a backend server within one `Router` without hashing its id. The handle of a removed server matches no
/// server, even after its slot has been reused.
struct ServerHandle {
    std::uint32_t slot { 0 };
    std::uint32_t generation { 0 };

    friend auto operator<=>(const ServerHandle&, const ServerHandle&) = default;
};

} // namespace swiftloft::policy
