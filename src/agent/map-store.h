#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <deque>

namespace swiftloft::agent {

/// The contents of the newest few maps that an agent has made or been sent, by version.
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

    /// Null when the map is not held.
    const expertmap::ExpertMap* find(MapVersion version) const
    {
        for (auto& versionedMap : m_maps) {
            if (versionedMap.version == version)
                return &versionedMap.map;
        }
        return nullptr;
    }

private:
    /// A change is between two maps; a few more spare a fetch after a change that was put off.
    static constexpr std::size_t maxMaps = 8;

    std::deque<expertmap::VersionedMap> m_maps;
};

} // namespace swiftloft::agent
