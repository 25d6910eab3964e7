#pragma once

#include "src/spread/platform-client.h"

#include <swiftloft/settings/manifest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::spread {

/// Reads the settings tree from the platform, also one that is published as a manifest of parts.
///
/// Only the few watchers read from the platform, so it is they who gather the parts. What the rest of the fleet gets is
/// one text: the parts in the manifest's order. Parts that the last tree had too are not read again, which keeps a
/// watcher's traffic near the size of what changed.
class TreeReader : public std::enable_shared_from_this<TreeReader> {
public:
    static std::shared_ptr<TreeReader> create(std::shared_ptr<PlatformClient> client);

    /// As `PlatformClient::watch` for the settings, with parts joined. `Failed` when a part can't be had by `deadline`
    /// or is not what the manifest says; what was read of it is kept for the next try. A manifest with faults is given
    /// as it is, for the check of validity to refuse.
    void watch(Revision known, TimePoint deadline, PlatformClient::Completion done);

    std::uint64_t readBytes() const { return m_readBytes; }

private:
    /// One tree being gathered.
    struct Gathering {
        PlatformAnswer answer;
        std::vector<settings::Part> parts;
        std::size_t next { 0 };
        TimePoint deadline;
        PlatformClient::Completion done;
    };

    explicit TreeReader(std::shared_ptr<PlatformClient> client);

    void onAnswer(PlatformAnswer answer, TimePoint deadline, PlatformClient::Completion done);
    void gatherNext(const std::shared_ptr<Gathering>& gathering);
    void onPart(const std::shared_ptr<Gathering>& gathering, PlatformAnswer answer);
    void finish(Gathering& gathering);

    std::shared_ptr<PlatformClient> m_client;
    std::map<settings::Digest, std::string> m_parts; ///< Of the last tree and the one being gathered.
    std::uint64_t m_readBytes { 0 };
};

} // namespace swiftloft::spread
