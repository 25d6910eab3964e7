#pragma once

#include <swiftloft/expertmap/expert-map.h>

#include <deque>

namespace swiftloft::agent {

/// The contents of the newest few maps that an agent has made or been sent, by version.
class MapStore {
public:
    void add(const expertmap::VersionedMap& named)
    {
        if (find(named.version))
            return;
        m_maps.push_front(named);
        if (m_maps.size() > mostMaps)
            m_maps.pop_back();
    }

    /// Null when the map is not held.
    const expertmap::ExpertMap* find(MapVersion version) const
    {
        for (auto& named : m_maps) {
            if (named.version == version)
                return &named.map;
        }
        return nullptr;
    }

private:
    /// A change is between two maps; a few more spare a fetch after a change that was put off.
    static constexpr std::size_t mostMaps = 8;

    std::deque<expertmap::VersionedMap> m_maps;
};

} // namespace swiftloft::agent
