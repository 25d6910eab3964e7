#include <swiftloft/settings/manifest.h>

#include "src/ctl/options.h"
#include "src/ctl/settings-file.h"

#include <fmt/format.h>

#include <filesystem>

namespace swiftloft::ctl {

namespace {

settings::Part partFrom(const std::string& path)
{
    auto text = readFile(path);
    auto name = std::filesystem::path(path).stem().string();
    if (!settings::isValidName(name))
        throw UsageError(fmt::format("{}: found \"{}\", expected a file named NAME.ini with NAME of a-z, 0-9 and '-'", path, name));
    if (text.empty() || Bytes(text.size()) > settings::Manifest::maxPartSize)
        throw UsageError(fmt::format("{}: found {} bytes, expected 1 to {}", path, text.size(), settings::Manifest::maxPartSize.value()));
    return { name, settings::digestOf(text), Bytes(text.size()) };
}

} // namespace

ExitCode runManifest(const Command& command, const Arguments& arguments, const Console& console)
{
    Options options(command);
    if (!options.parse(arguments, console))
        return ExitCode::Ok;
    std::vector<settings::Part> parts;
    for (auto& path : options.operands(1, settings::Manifest::maxParts))
        parts.push_back(partFrom(path));
    console.out(settings::Manifest::format(parts));
    return ExitCode::Ok;
}

} // namespace swiftloft::ctl
