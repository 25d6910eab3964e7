#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/result.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace swiftloft::settings {

/// The kinds of sections a settings tree has.
enum class NodeKind : std::uint8_t {
    Defaults,
    Service,
    Organisation,
    OrganisationAtService,
    Group,
    DataCentre,
};

/// The word of a kind in section headings, such as "data-centre".
std::string_view toString(NodeKind kind);

/// Names one node of the tree. Its text form is the section's heading: "defaults", "service NAME",
/// "organisation NAME", "organisation NAME at service NAME", "group NAME" or "data-centre NAME".
struct NodeId {
    NodeKind kind { NodeKind::Defaults };
    /// Empty for the defaults.
    std::string name;
    /// Only for `OrganisationAtService`.
    std::string service;

    static NodeId defaults() { return {}; }
    static NodeId of(const ServiceName& name) { return { NodeKind::Service, name.value(), {} }; }
    static NodeId of(const OrganisationName& name) { return { NodeKind::Organisation, name.value(), {} }; }
    static NodeId of(const EngineGroupName& name) { return { NodeKind::Group, name.value(), {} }; }
    static NodeId of(const DataCentreName& name) { return { NodeKind::DataCentre, name.value(), {} }; }
    static NodeId of(const OrganisationName& organisation, const ServiceName& service)
    {
        return { NodeKind::OrganisationAtService, organisation.value(), service.value() };
    }

    /// Reads the text form; the error's message says what was expected.
    static Result<NodeId> parse(std::string_view text);

    std::string toString() const;

    friend auto operator<=>(const NodeId&, const NodeId&) = default;
};

/// True for names a tree may use: 1 to 63 of a-z, 0-9 and '-', not beginning or ending with '-'.
bool isValidName(std::string_view name);

} // namespace swiftloft::settings
