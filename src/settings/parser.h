#pragma once

#include "src/settings/tree-data.h"

#include <span>
#include <vector>

namespace swiftloft::settings::internal {

/// Collects problems up to a limit, so that a file of garbage can't fill memory or a screen.
class Problems {
public:
    void add(Problem problem);
    bool isEmpty() const { return m_problems.empty(); }
    /// Whether something was already said about `key` at `node`.
    bool contains(std::string_view node, std::string_view key) const;

    /// In the order of file and line.
    std::vector<Problem> take(const std::vector<std::string>& files);

private:
    std::vector<Problem> m_problems;
    bool m_isCut { false };
};

/// Reads sections and keys into nodes. Parents and references between nodes are left to `link` and `validate`.
TreeData readSources(std::span<const Source> sources, Problems& problems);

/// Sets each node's parent, and finds parents that are missing, of the wrong kind or in a cycle. A node whose parent is
/// bad hangs from the defaults.
void link(TreeData& data, Problems& problems);

/// Finds what is wrong between nodes that are linked: references, keys that must be set, values that contradict.
void validate(TreeData& data, Problems& problems);

} // namespace swiftloft::settings::internal
