#include <swiftloft/settings/diff.h>

#include <algorithm>
#include <array>

namespace swiftloft::settings {

namespace {

using Settings = std::vector<EffectiveSetting>;

std::vector<SettingChange> changesBetween(const Settings& before, const Settings& after)
{
    std::vector<SettingChange> changes;
    auto old = before.begin();
    auto now = after.begin();
    // Both lists are in the order of the schema, with gaps where a key has no value.
    while (old != before.end() || now != after.end()) {
        if (now == after.end() || (old != before.end() && old->key < now->key)) {
            changes.push_back({ old->key, *old, std::nullopt });
            ++old;
        } else if (old == before.end() || now->key < old->key) {
            changes.push_back({ now->key, std::nullopt, *now });
            ++now;
        } else {
            if (old->value != now->value)
                changes.push_back({ now->key, *old, *now });
            ++old;
            ++now;
        }
    }
    return changes;
}

Settings withoutBuiltIns(Settings settings)
{
    std::erase_if(settings, [](const EffectiveSetting& setting) { return setting.origin.isBuiltIn(); });
    return settings;
}

std::optional<PlaceChange> placeChange(std::string before, std::string after)
{
    if (before == after)
        return std::nullopt;
    return PlaceChange { std::move(before), std::move(after) };
}

std::string parentOf(const Tree& tree, const NodeId& node)
{
    auto parent = tree.parentOf(node);
    return parent ? parent->toString() : std::string();
}

std::string serviceOf(const Tree& tree, const NodeId& node)
{
    if (node.kind != NodeKind::Group)
        return {};
    auto group = tree.group(EngineGroupName(node.name));
    return group ? group->service.value() : std::string();
}

std::optional<NodeChange> changeOf(const NodeId& node, const Tree& before, const Tree& after)
{
    NodeChange change;
    change.node = node;
    change.parent = placeChange(parentOf(before, node), parentOf(after, node));
    change.service = placeChange(serviceOf(before, node), serviceOf(after, node));
    change.settings = changesBetween(before.effective(node).value(), after.effective(node).value());
    if (!change.parent && !change.service && change.settings.empty())
        return std::nullopt;
    return change;
}

NodeChange additionOf(const NodeId& node, const Tree& after)
{
    return { node, NodeChangeKind::Added, placeChange({}, parentOf(after, node)), placeChange({}, serviceOf(after, node)),
        changesBetween({}, withoutBuiltIns(after.effective(node).value())) };
}

NodeChange removalOf(const NodeId& node, const Tree& before)
{
    return { node, NodeChangeKind::Removed, placeChange(parentOf(before, node), {}), placeChange(serviceOf(before, node), {}),
        changesBetween(withoutBuiltIns(before.effective(node).value()), {}) };
}

} // namespace

std::string_view toString(NodeChangeKind kind)
{
    constexpr std::array<std::string_view, 3> names { "added", "removed", "changed" };
    return names[static_cast<std::size_t>(kind)];
}

std::vector<NodeChange> diff(const Tree& before, const Tree& after)
{
    std::vector<NodeChange> changes;
    for (auto& node : after.nodes()) {
        if (!before.contains(node))
            changes.push_back(additionOf(node, after));
        else if (auto change = changeOf(node, before, after))
            changes.push_back(std::move(*change));
    }
    for (auto& node : before.nodes()) {
        if (!after.contains(node))
            changes.push_back(removalOf(node, before));
    }
    return changes;
}

} // namespace swiftloft::settings
