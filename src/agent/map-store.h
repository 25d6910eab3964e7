#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <deque>

namespace swiftloft::agent {

/// Cache of the newest few maps that an agent has planned or received, by version.
class MapStore {
public:
    void add(const expertmap::VersionedMap& versionedMap)
    {
        if (find(versionedMap.version))
            return;
        m_maps.push_front(versionedMap);
        if (m_maps.size() > maxMaps)
            m_maps.pop_back();
    }

    /// Returns null when the map is not in the store.
    const expertmap::ExpertMap* find(MapVersion version) const
    {
        for (auto& versionedMap : m_maps) {
            if (versionedMap.version == version)
                return &versionedMap.map;
        }
        return nullptr;
    }

private:
    /// A change involves two maps, the old and the new one. A few more are kept so that a map need not be fetched again
    /// after a postponed change.
    static constexpr std::size_t maxMaps = 8;

    std::deque<expertmap::VersionedMap> m_maps;
};

} // namespace swiftloft::agent
