#pragma once

#include <swiftloft/settings/tree.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace swiftloft::settings::internal {

using NodeIndex = std::uint32_t;

/// `[defaults]` is always the first node.
constexpr NodeIndex defaultsIndex = 0;

struct Setting {
    Key key;
    std::uint32_t line;
    Value value;
};

struct Node {
    NodeId id;
    std::uint32_t file { 0 };
    std::uint32_t line { 0 };
    NodeIndex parent { defaultsIndex };
    /// As written; empty for none.
    std::string parentText;
    std::uint32_t parentLine { 0 };
    /// The parent could not be taken as written; what the node would inherit is unknown.
    bool isParentBad { false };
    /// In the order of `Key`.
    std::vector<Setting> settings;

    const Setting* find(Key key) const;
    bool isTemplate() const;
};

/// Lets maps of text keys be searched without a copy.
struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
};

template <typename Mapped>
using TextMap = std::unordered_map<std::string, Mapped, TextHash, std::equal_to<>>;

/// The nodes behind a `Tree`.
struct TreeData {
    std::vector<std::string> files;
    std::vector<Node> nodes;
    TextMap<NodeIndex> byName;
    TextMap<NodeIndex> byKeyDigest;

    const Node* find(const NodeId& id) const;
    const Node& parentOf(const Node& node) const { return nodes[node.parent]; }
};

/// A value found on a search path; `node` is null for a built-in default.
struct Found {
    const Value* value { nullptr };
    const Node* node { nullptr };
    std::uint32_t line { 0 };
};

/// The nodes at which a value for one node is looked for, nearest first, ending with the defaults.
class SearchPath {
public:
    /// `node` must not be of an organisation at a service.
    static SearchPath of(const TreeData& data, const Node& node);
    /// `service` may be null: then only the organisation and the defaults are searched.
    static SearchPath of(const TreeData& data, const Node& organisation, const Node* service);

    /// The value of `key` in force, or an empty `Found` for a key that is not set and has no default.
    Found find(Key key) const;

    /// The first service on the path that is no template.
    const Node* service() const;

    /// Some node on the path has a bad parent.
    bool isBroken() const { return m_isBroken; }

private:
    void addChain(const TreeData& data, const Node& node);

    std::vector<const Node*> m_nodes;
    bool m_isBroken { false };
};

/// The search path of an existing node or of an organisation at a service whose section need not exist; empty when the
/// names are unknown.
std::optional<SearchPath> searchPathOf(const TreeData& data, const NodeId& id);

} // namespace swiftloft::settings::internal
