#include "src/settings/tree-data.h"

#include <algorithm>

namespace swiftloft::settings::internal {

const Setting* Node::find(Key key) const
{
    auto it = std::lower_bound(settings.begin(), settings.end(), key, [](const Setting& setting, Key key) { return setting.key < key; });
    return it != settings.end() && it->key == key ? &*it : nullptr;
}

bool Node::isTemplate() const
{
    auto setting = find(Key::Template);
    return setting && std::get<bool>(setting->value);
}

const Node* TreeData::find(const NodeId& id) const
{
    auto it = byName.find(id.toString());
    return it == byName.end() ? nullptr : &nodes[it->second];
}

void SearchPath::addChain(const TreeData& data, const Node& node)
{
    for (auto it = &node; it->id.kind != NodeKind::Defaults; it = &data.parentOf(*it)) {
        m_nodes.push_back(it);
        m_isBroken = m_isBroken || it->isParentBad;
    }
}

SearchPath SearchPath::of(const TreeData& data, const Node& node)
{
    SearchPath path;
    path.addChain(data, node);
    path.m_nodes.push_back(&data.nodes[defaultsIndex]);
    return path;
}

SearchPath SearchPath::of(const TreeData& data, const Node& organisation, const Node* service)
{
    SearchPath path;
    for (auto it = &organisation; it->id.kind != NodeKind::Defaults; it = &data.parentOf(*it)) {
        for (auto at = service; at && at->id.kind != NodeKind::Defaults; at = &data.parentOf(*at)) {
            if (auto section = data.find({ NodeKind::OrganisationAtService, it->id.name, at->id.name }))
                path.m_nodes.push_back(section);
        }
        path.m_nodes.push_back(it);
        path.m_isBroken = path.m_isBroken || it->isParentBad;
    }
    if (service)
        path.addChain(data, *service);
    path.m_nodes.push_back(&data.nodes[defaultsIndex]);
    return path;
}

Found SearchPath::find(Key key) const
{
    auto isOwn = infoOf(key).scope == Scope::Own;
    for (auto node : m_nodes) {
        if (auto setting = node->find(key))
            return { &setting->value, node, setting->line };
        // An organisation's own key must not pass to those that inherit from it.
        if (isOwn && node->id.kind != NodeKind::OrganisationAtService)
            break;
    }
    auto& fallback = defaultOf(key);
    return fallback ? Found { &*fallback, nullptr, 0 } : Found {};
}

const Node* SearchPath::service() const
{
    for (auto node : m_nodes) {
        if (node->id.kind == NodeKind::Service)
            return node->isTemplate() ? nullptr : node;
    }
    return nullptr;
}

std::optional<SearchPath> searchPathOf(const TreeData& data, const NodeId& id)
{
    if (id.kind != NodeKind::OrganisationAtService) {
        auto node = data.find(id);
        if (!node)
            return std::nullopt;
        return SearchPath::of(data, *node);
    }
    auto organisation = data.find({ NodeKind::Organisation, id.name, {} });
    auto service = data.find({ NodeKind::Service, id.service, {} });
    if (!organisation || !service)
        return std::nullopt;
    return SearchPath::of(data, *organisation, service);
}

} // namespace swiftloft::settings::internal
