#pragma once

#include <swiftloft/settings/tree.h>

#include <optional>
#include <string>
#include <vector>

/// What an edit of a settings tree changes in force, node by node, also through inheritance.
namespace swiftloft::settings {

/// A value in force that differs. `before` or `after` is empty where the key has no value.
struct SettingChange {
    Key key;
    std::optional<EffectiveSetting> before;
    std::optional<EffectiveSetting> after;
};

/// Where a node hangs in the tree, when that differs.
struct PlaceChange {
    std::string before;
    std::string after;
};

enum class NodeChangeKind {
    Added,
    Removed,
    Changed,
};

std::string_view toString(NodeChangeKind kind);

struct NodeChange {
    NodeId node;
    NodeChangeKind kind { NodeChangeKind::Changed };
    std::optional<PlaceChange> parent;
    /// Of a group: the service it serves.
    std::optional<PlaceChange> service;
    /// For an added or removed node, every value in force at it that isn't the built-in default.
    std::vector<SettingChange> settings;
};

/// Nodes whose effective settings differ, in the order of the new tree and then the removed ones. Values written in
/// another form (60s, 1min) are equal. What a service hands down to organisations without a section of their own at that
/// service is listed at the service.
std::vector<NodeChange> diff(const Tree& before, const Tree& after);

} // namespace swiftloft::settings
