#include <swiftloft/settings/node-id.h>

#include <fmt/format.h>

#include <array>

namespace swiftloft::settings {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::string_view atService = " at service ";
constexpr std::string_view forms = "defaults, service NAME, organisation NAME, organisation NAME at service NAME, group NAME or data-centre NAME";

Error badForm()
{
    return { ErrorCode::MalformedInput, std::string(forms) };
}

Result<std::string> checkedName(std::string_view name)
{
    if (!isValidName(name))
        return Error { ErrorCode::MalformedInput, "a name of 1 to 63 of a-z, 0-9 and '-', not beginning or ending with '-'" };
    return std::string(name);
}

Result<NodeId> parseOrganisationAtService(std::string_view names, std::size_t split)
{
    auto organisation = checkedName(names.substr(0, split));
    if (!organisation)
        return organisation.error();
    auto service = checkedName(names.substr(split + atService.size()));
    if (!service)
        return service.error();
    return NodeId { NodeKind::OrganisationAtService, *organisation, *service };
}

} // namespace

std::string_view toString(NodeKind kind)
{
    constexpr std::array<std::string_view, 6> words { "defaults", "service", "organisation", "organisation at service", "group", "data-centre" };
    return words[static_cast<std::size_t>(kind)];
}

bool isValidName(std::string_view name)
{
    if (name.empty() || name.size() > maxNameLength || name.front() == '-' || name.back() == '-')
        return false;
    return name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
}

Result<NodeId> NodeId::parse(std::string_view text)
{
    if (text == "defaults")
        return NodeId::defaults();
    auto space = text.find(' ');
    if (space == std::string_view::npos)
        return badForm();
    auto word = text.substr(0, space);
    auto names = text.substr(space + 1);
    if (word == "organisation") {
        auto split = names.find(atService);
        if (split != std::string_view::npos)
            return parseOrganisationAtService(names, split);
    }
    for (auto kind : { NodeKind::Service, NodeKind::Organisation, NodeKind::Group, NodeKind::DataCentre }) {
        if (word != settings::toString(kind))
            continue;
        auto name = checkedName(names);
        if (!name)
            return name.error();
        return NodeId { kind, *name, {} };
    }
    return badForm();
}

std::string NodeId::toString() const
{
    switch (kind) {
    case NodeKind::Defaults:
        return "defaults";
    case NodeKind::OrganisationAtService:
        return fmt::format("organisation {} at service {}", name, service);
    default:
        return fmt::format("{} {}", settings::toString(kind), name);
    }
}

} // namespace swiftloft::settings
