#pragma once

#include <swiftloft/settings/node-id.h>
#include <swiftloft/settings/problem.h>
#include <swiftloft/settings/schema.h>
#include <swiftloft/settings/views.h>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::settings {

namespace internal {
struct TreeData;
}

/// One INI text and the name under which problems report it.
struct Source {
    std::string file;
    std::string text;
};

/// Where an effective value was written; `file` is empty for a built-in default.
struct Origin {
    NodeId node;
    std::string file;
    std::uint32_t line { 0 };

    bool isBuiltIn() const { return file.empty(); }
    /// "NODE (FILE:LINE)" or "built-in default".
    std::string toString() const;

    friend bool operator==(const Origin&, const Origin&) = default;
};

/// A value in force at a node, after inheritance.
struct EffectiveSetting {
    Key key;
    Value value;
    Origin origin;

    std::string_view name() const { return infoOf(key).name; }
    std::string text() const { return formatValue(infoOf(key).type, value); }
};

struct Parsed;

/// A valid settings tree. Immutable and cheap to copy; copies share their nodes, from any thread.
///
/// Which value is in force: a node's own, else its parent's and so on up to `[defaults]`, else the built-in default. For
/// an organisation X at a service Y the order is: X at Y, X at Y's parents, X, then the same for each parent of X, then
/// Y, Y's parents and `[defaults]`: what is said of an organisation goes before what is said of a service.
class Tree {
public:
    /// Reads and validates one text. Pure: the same bytes give the same outcome everywhere.
    static Parsed parse(std::string_view text, std::string file = "settings");
    /// The same for a tree in several texts; sections of one may name nodes of another.
    static Parsed parse(std::span<const Source> sources);

    /// Sections of the tree, counting `[defaults]` also when it isn't written.
    std::size_t nodeCount() const;
    /// All sections, in their order in the text.
    std::vector<NodeId> nodes() const;
    bool contains(const NodeId& node) const;
    /// The node that `node` inherits from; nothing for the defaults, an organisation at a service, and unknown nodes.
    std::optional<NodeId> parentOf(const NodeId& node) const;

    /// Names without templates, in their order in the text.
    std::vector<ServiceName> services() const;
    std::vector<OrganisationName> organisations() const;
    std::vector<EngineGroupName> groups() const;
    std::vector<DataCentreName> dataCentres() const;

    /// Effective settings as plain values. `NotFound` for a name that isn't in the tree or is a template. These walk
    /// the tree: keep the answer for as long as the revision is in force.
    Result<ServiceSettings> service(const ServiceName& name) const;
    Result<OrganisationSettings> organisation(const OrganisationName& name, const ServiceName& service) const;
    Result<GroupSettings> group(const EngineGroupName& name) const;
    Result<DataCentreSettings> dataCentre(const DataCentreName& name) const;
    /// Settings of the system's own processes that hold for the whole fleet.
    SystemSettings system() const;

    /// The organisation whose key has this SHA-256 (lower-case hexadecimal).
    std::optional<OrganisationName> organisationByKeyDigest(std::string_view digest) const;

    /// Every value in force at `node` with its origin, in the order of the schema. For an organisation at a service the
    /// section itself need not exist. `NotFound` when the node doesn't.
    Result<std::vector<EffectiveSetting>> effective(const NodeId& node) const;

private:
    explicit Tree(std::shared_ptr<const internal::TreeData> data);

    std::shared_ptr<const internal::TreeData> m_data;
};

/// What parsing gave: a tree, or every problem found.
struct Parsed {
    std::optional<Tree> tree;
    /// Empty exactly when there is a tree; in the order of file and line.
    std::vector<Problem> problems;

    /// The tree, or an error that names the first problem and how many there are.
    Result<Tree> result() const;
};

} // namespace swiftloft::settings
