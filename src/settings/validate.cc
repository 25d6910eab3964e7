#include "src/settings/parser.h"

#include <fmt/format.h>

#include <array>

namespace swiftloft::settings::internal {

namespace {

bool mayInherit(NodeKind child, NodeKind parent)
{
    if (parent == NodeKind::Defaults || child == parent)
        return true;
    return child == NodeKind::Group && parent == NodeKind::Service;
}

std::string parentForms(NodeKind child)
{
    if (child == NodeKind::Group)
        return "service NAME or group NAME";
    return fmt::format("{} NAME, or no parent for the defaults", toString(child));
}

/// Reports on one node of a tree.
class Reporter {
public:
    Reporter(const TreeData& data, Problems& problems)
        : m_data(data)
        , m_problems(problems)
    {
    }

    /// A key that was written and refused must not be called missing too.
    void addMissing(const Node& node, Key key, std::string expected) const
    {
        auto name = infoOf(key).name;
        if (!m_problems.contains(node.id.toString(), name))
            add(node, ProblemCode::MissingKey, node.line, name, "nothing", std::move(expected));
    }

    void add(const Node& node, ProblemCode code, std::uint32_t line, std::string_view key, std::string found, std::string expected) const
    {
        auto file = m_data.files.empty() ? std::string() : m_data.files[node.file];
        m_problems.add({ code, file, line, node.id.toString(), std::string(key), std::move(found), std::move(expected) });
    }

private:
    const TreeData& m_data;
    Problems& m_problems;
};

class Linker {
public:
    Linker(TreeData& data, Problems& problems)
        : m_data(data)
        , m_reporter(data, problems)
    {
    }

    void linkAll()
    {
        for (auto& node : m_data.nodes) {
            if (node.parentLine != 0)
                linkOne(node);
        }
        breakCycles();
    }

private:
    void linkOne(Node& node)
    {
        auto id = NodeId::parse(node.parentText);
        if (!id || !mayInherit(node.id.kind, id->kind)) {
            m_reporter.add(node, ProblemCode::BadParent, node.parentLine, "parent", fmt::format("\"{}\"", node.parentText), parentForms(node.id.kind));
            node.isParentBad = true;
            return;
        }
        auto it = m_data.byName.find(id->toString());
        if (it != m_data.byName.end()) {
            node.parent = it->second;
            return;
        }
        m_reporter.add(node, ProblemCode::MissingParent, node.parentLine, "parent", fmt::format("\"{}\"", node.parentText), "the name of a section in this tree");
        node.isParentBad = true;
    }

    /// Walks up from each node once. A node met again on the same walk closes a cycle; it is reported where the walk
    /// began to repeat and hung from the defaults, so that every later walk ends.
    void breakCycles()
    {
        std::vector<NodeIndex> walkOf(m_data.nodes.size(), 0);
        for (NodeIndex start = 1; start < m_data.nodes.size(); ++start) {
            auto it = start;
            while (it != defaultsIndex && walkOf[it] == 0) {
                walkOf[it] = start;
                it = m_data.nodes[it].parent;
            }
            if (it != defaultsIndex && walkOf[it] == start)
                breakCycleAt(m_data.nodes[it]);
        }
    }

    void breakCycleAt(Node& node)
    {
        auto path = node.id.toString();
        for (auto it = &m_data.parentOf(node); it != &node; it = &m_data.parentOf(*it))
            path += " -> " + it->id.toString();
        m_reporter.add(node, ProblemCode::Cycle, node.parentLine, "parent", path + " -> " + node.id.toString(), "parents that lead to the defaults");
        node.parent = defaultsIndex;
        node.isParentBad = true;
    }

    TreeData& m_data;
    Reporter m_reporter;
};

/// One value that must not lie below a multiple of another.
struct Order {
    Key higher;
    Key lower;
    double factor;
    std::string_view expected;
};

constexpr std::array orders {
    Order { Key::RetryBackoffMax, Key::RetryBackoffBase, 1, "at least retry-backoff-base" },
    Order { Key::HeartbeatTimeout, Key::HeartbeatInterval, 2, "at least twice heartbeat-interval" },
};

class Validator {
public:
    Validator(TreeData& data, Problems& problems)
        : m_data(data)
        , m_reporter(data, problems)
    {
    }

    void checkAll()
    {
        for (NodeIndex it = 0; it < m_data.nodes.size(); ++it)
            check(it);
    }

private:
    void check(NodeIndex index)
    {
        auto& node = m_data.nodes[index];
        checkKeyDigest(node, index);
        if (node.id.kind == NodeKind::OrganisationAtService) {
            if (checkReferences(node))
                checkOrganisation(node, *searchPathOf(m_data, node.id));
            return;
        }
        auto path = SearchPath::of(m_data, node);
        // One bad parent would otherwise be reported again as missing keys of every node below it.
        if (path.isBroken())
            return;
        checkOrders(node, path);
        if (node.isTemplate() || node.id.kind == NodeKind::Defaults)
            return;
        checkRequired(node, path);
        if (node.id.kind == NodeKind::Group)
            checkGroup(node, path);
        if (node.id.kind == NodeKind::Organisation)
            checkOrganisation(node, path);
    }

    bool checkReferences(const Node& node)
    {
        auto hasOrganisation = m_data.find({ NodeKind::Organisation, node.id.name, {} }) != nullptr;
        auto hasService = m_data.find({ NodeKind::Service, node.id.service, {} }) != nullptr;
        if (!hasOrganisation)
            m_reporter.add(node, ProblemCode::UnknownReference, node.line, {}, fmt::format("\"{}\"", node.id.name), "an organisation of this tree");
        if (!hasService)
            m_reporter.add(node, ProblemCode::UnknownReference, node.line, {}, fmt::format("\"{}\"", node.id.service), "a service of this tree");
        return hasOrganisation && hasService;
    }

    /// Two organisations with one key couldn't be told apart.
    void checkKeyDigest(const Node& node, NodeIndex index)
    {
        auto setting = node.find(Key::KeyDigest);
        if (!setting)
            return;
        auto [it, isNew] = m_data.byKeyDigest.emplace(std::get<std::string>(setting->value), index);
        if (!isNew)
            m_reporter.add(node, ProblemCode::Contradiction, setting->line, infoOf(Key::KeyDigest).name, fmt::format("the digest of {}", m_data.nodes[it->second].id.toString()), "a key of its own");
    }

    void checkOrders(const Node& node, const SearchPath& path)
    {
        for (auto& order : orders) {
            if (!infoOf(order.higher).kinds.contains(node.id.kind))
                continue;
            auto higher = path.find(order.higher);
            auto lower = path.find(order.lower);
            // Reported once, where one of the two is written, not at every node that inherits both.
            if (higher.node != &node && lower.node != &node)
                continue;
            if (magnitude(*higher.value) < magnitude(*lower.value) * order.factor) {
                auto& blamed = higher.node == &node ? higher : lower;
                m_reporter.add(node, ProblemCode::Contradiction, blamed.line, infoOf(order.higher).name,
                    formatValue(ValueType::Duration, *higher.value), fmt::format("{}, which is {}", order.expected, formatValue(ValueType::Duration, *lower.value)));
            }
        }
    }

    void checkRequired(const Node& node, const SearchPath& path)
    {
        for (auto& info : schema()) {
            // Keys that a service only hands down to its groups are asked of the groups.
            auto isForNode = info.kinds.contains(node.id.kind) && !(node.id.kind == NodeKind::Service && info.kinds.contains(NodeKind::Group));
            if (isForNode && info.presence == Presence::Required && !path.find(info.key).value)
                m_reporter.addMissing(node, info.key, "the key here or at a parent, or template = yes");
        }
    }

    void checkGroup(const Node& node, const SearchPath& path)
    {
        auto service = path.service();
        if (!service) {
            m_reporter.add(node, ProblemCode::BadParent, node.parentLine ? node.parentLine : node.line, "parent", node.parentText.empty() ? "nothing" : fmt::format("\"{}\"", node.parentText),
                "a parent that is or leads to a service that is no template");
            return;
        }
        auto kind = SearchPath::of(m_data, *service).find(Key::Kind);
        if (kind.value && std::get<std::string>(*kind.value) != "model")
            m_reporter.add(node, ProblemCode::BadParent, node.parentLine, "parent", fmt::format("the plain service {}", service->id.name), "a service of kind model");
        checkDataCentre(node, path);
    }

    void checkDataCentre(const Node& node, const SearchPath& path)
    {
        auto found = path.find(Key::DataCentre);
        if (!found.value)
            return;
        auto& name = std::get<std::string>(*found.value);
        auto dataCentre = m_data.find({ NodeKind::DataCentre, name, {} });
        if (!dataCentre || dataCentre->isTemplate())
            m_reporter.add(node, ProblemCode::UnknownReference, found.node == &node ? found.line : node.line, infoOf(Key::DataCentre).name, fmt::format("\"{}\"", name), "a [data-centre NAME] of this tree that is no template");
    }

    void checkOrganisation(const Node& node, const SearchPath& path)
    {
        auto organisation = m_data.find({ NodeKind::Organisation, node.id.name, {} });
        auto isRequired = std::get<bool>(*path.find(Key::RequiresKey).value);
        if (isRequired && !organisation->isTemplate() && !organisation->find(Key::KeyDigest))
            m_reporter.addMissing(node, Key::KeyDigest, "the SHA-256 digest of the organisation's key, or requires-key = no");
    }

    TreeData& m_data;
    Reporter m_reporter;
};

} // namespace

void link(TreeData& data, Problems& problems)
{
    Linker(data, problems).linkAll();
}

void validate(TreeData& data, Problems& problems)
{
    Validator(data, problems).checkAll();
}

} // namespace swiftloft::settings::internal
