#pragma once

#include "src/process/client-bounds.h"

#include <cstddef>

namespace swiftloft::process {

/// What the machine gives to one process.
struct Resources {
    std::size_t memoryBytes { std::size_t { 256 } << 20 };
    /// Descriptors that the process may open.
    std::size_t descriptors { 0 };

    /// The default memory, and as many descriptors as the system lets this process open.
    static Resources ofThisProcess();

    /// For the clients of the service: half of the descriptors, since each request needs one at each side, and a quarter of the
    /// memory.
    ClientBounds::Options forClients() const { return { descriptors / 2, memoryBytes / 4 }; }
    /// For those who ask whether the process is ready, or where to connect.
    ClientBounds::Options forPages() const { return { descriptors / 8, memoryBytes / 16 }; }
    /// For peers that fetch documents.
    ClientBounds::Options forPeers() const { return { descriptors / 8, memoryBytes / 16 }; }
    /// For those who read metrics and status pages.
    ClientBounds::Options forStatus() const { return { descriptors / 16, memoryBytes / 16 }; }
    /// Bytes of whole responses that are buffered for clients.
    std::size_t maxResponseBytes() const { return memoryBytes / 16 * 3; }
};

} // namespace swiftloft::process
