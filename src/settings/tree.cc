#include <swiftloft/settings/tree.h>

#include "src/settings/parser.h"
#include "src/settings/tree-data.h"

#include <fmt/format.h>

namespace swiftloft::settings {

namespace {

template <typename Name>
std::vector<Name> namesOf(const internal::TreeData& data, NodeKind kind)
{
    std::vector<Name> names;
    for (auto& node : data.nodes) {
        if (node.id.kind == kind && !node.isTemplate())
            names.emplace_back(node.id.name);
    }
    return names;
}

Origin originOf(const internal::TreeData& data, const internal::Found& found)
{
    if (!found.node)
        return {};
    return { found.node->id, data.files[found.node->file], found.line };
}

} // namespace

std::string Origin::toString() const
{
    if (isBuiltIn())
        return "built-in default";
    return fmt::format("{} ({}:{})", node.toString(), file, line);
}

Result<Tree> Parsed::result() const
{
    if (tree)
        return *tree;
    auto first = problems.front().toString();
    if (problems.size() == 1)
        return Error { ErrorCode::MalformedInput, first };
    return Error { ErrorCode::MalformedInput, fmt::format("{} (and {} more)", first, problems.size() - 1) };
}

Tree::Tree(std::shared_ptr<const internal::TreeData> data)
    : m_data(std::move(data))
{
}

Parsed Tree::parse(std::string_view text, std::string file)
{
    Source source { std::move(file), std::string(text) };
    return parse(std::span(&source, 1));
}

Parsed Tree::parse(std::span<const Source> sources)
{
    internal::Problems problems;
    auto data = internal::readSources(sources, problems);
    internal::link(data, problems);
    internal::validate(data, problems);
    if (!problems.isEmpty())
        return { std::nullopt, problems.take(data.files) };
    return { Tree(std::make_shared<const internal::TreeData>(std::move(data))), {} };
}

std::size_t Tree::nodeCount() const
{
    return m_data->nodes.size();
}

std::vector<NodeId> Tree::nodes() const
{
    std::vector<NodeId> ids;
    ids.reserve(m_data->nodes.size());
    for (auto& node : m_data->nodes)
        ids.push_back(node.id);
    return ids;
}

bool Tree::contains(const NodeId& node) const
{
    return m_data->find(node) != nullptr;
}

std::optional<NodeId> Tree::parentOf(const NodeId& id) const
{
    auto node = m_data->find(id);
    if (!node || id.kind == NodeKind::Defaults || id.kind == NodeKind::OrganisationAtService)
        return std::nullopt;
    return m_data->parentOf(*node).id;
}

std::vector<ServiceName> Tree::services() const
{
    return namesOf<ServiceName>(*m_data, NodeKind::Service);
}

std::vector<OrganisationName> Tree::organisations() const
{
    return namesOf<OrganisationName>(*m_data, NodeKind::Organisation);
}

std::vector<EngineGroupName> Tree::groups() const
{
    return namesOf<EngineGroupName>(*m_data, NodeKind::Group);
}

std::vector<DataCentreName> Tree::dataCentres() const
{
    return namesOf<DataCentreName>(*m_data, NodeKind::DataCentre);
}

std::optional<OrganisationName> Tree::organisationByKeyDigest(std::string_view digest) const
{
    auto it = m_data->byKeyDigest.find(digest);
    if (it == m_data->byKeyDigest.end() || m_data->nodes[it->second].isTemplate())
        return std::nullopt;
    return OrganisationName(m_data->nodes[it->second].id.name);
}

Result<std::vector<EffectiveSetting>> Tree::effective(const NodeId& node) const
{
    auto path = internal::searchPathOf(*m_data, node);
    if (!path)
        return Error { ErrorCode::NotFound, fmt::format("no [{}] in this tree", node.toString()) };
    std::vector<EffectiveSetting> settings;
    for (auto& info : schema()) {
        if (!info.kinds.contains(node.kind))
            continue;
        auto found = path->find(info.key);
        if (found.value)
            settings.push_back({ info.key, *found.value, originOf(*m_data, found) });
    }
    return settings;
}

} // namespace swiftloft::settings
