#include "src/ctl/settings-file.h"

#include <swiftloft/settings/manifest.h>

#include "src/ctl/options.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace swiftloft::ctl {

namespace {

using settings::Problem;
using settings::ProblemCode;
using settings::Source;

std::optional<Problem> findPartProblem(const settings::Part& part, const Source& source)
{
    auto digest = settings::digestOf(source.text);
    if (part.digest == digest && part.size == Bytes(source.text.size()))
        return std::nullopt;
    return Problem { ProblemCode::Contradiction, source.file, 1, "part " + part.name, "sha256",
        fmt::format("{} ({} bytes)", digest.value(), source.text.size()),
        fmt::format("{} ({} bytes), as the manifest says; renew it with swiftloft-ctl manifest", part.digest.value(), part.size.value()) };
}

settings::Parsed loadParts(const std::string& path, const std::string& text)
{
    auto parsed = settings::Manifest::parse(text, path);
    if (!parsed.manifest)
        return { std::nullopt, std::move(parsed.problems) };
    std::vector<Source> sources;
    std::vector<Problem> problems;
    for (auto& part : parsed.manifest->parts()) {
        auto file = std::filesystem::path(path).replace_filename(part.name + ".ini").string();
        auto& source = sources.emplace_back(Source { file, readFile(file) });
        if (auto problem = findPartProblem(part, source))
            problems.push_back(std::move(*problem));
    }
    auto outcome = settings::Tree::parse(sources);
    if (problems.empty())
        return outcome;
    problems.insert(problems.end(), outcome.problems.begin(), outcome.problems.end());
    return { std::nullopt, std::move(problems) };
}

} // namespace

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file || !std::filesystem::is_regular_file(path))
        throw UsageError(fmt::format("{}: can't be read", path));
    return { std::istreambuf_iterator<char>(file), {} };
}

settings::Parsed loadSettings(const std::string& path)
{
    auto text = readFile(path);
    if (settings::Manifest::isManifest(text))
        return loadParts(path, text);
    return settings::Tree::parse(text, path);
}

std::optional<settings::Tree> loadValidSettings(const std::string& path, const Console& console)
{
    auto parsed = loadSettings(path);
    for (auto& problem : parsed.problems)
        console.err(problem.toString() + "\n");
    return parsed.tree;
}

} // namespace swiftloft::ctl
