#pragma once

#include <compare>
#include <cstdint>

namespace swiftloft::policy {

/// Names a backend server inside one `Router` without hashing its id. A handle of a removed server matches nothing,
/// also when its slot has been given to another one.
struct ServerHandle {
    std::uint32_t slot { 0 };
    std::uint32_t generation { 0 };

    friend auto operator<=>(const ServerHandle&, const ServerHandle&) = default;
};

} // namespace swiftloft::policy
