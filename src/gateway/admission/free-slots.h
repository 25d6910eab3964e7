#pragma once

namespace swiftloft::gateway::admission {

/// Slots of a service that a request could get now.
struct FreeSlots {
    /// Free slots for which all entries compete.
    double shared { 0 };
    /// A server has capacity that is this entry's own share of a limit, which other entries can't use.
    bool hasOwnShare { false };
};

} // namespace swiftloft::gateway::admission
