#include <swiftloft/settings/assembler.h>

#include <fmt/format.h>

#include <algorithm>

namespace swiftloft::settings {

Assembler Assembler::create(Revision revision, std::string text)
{
    Assembler assembler;
    assembler.m_revision = revision;
    assembler.m_digest = digestOf(text);
    assembler.m_isManifest = Manifest::isManifest(text);
    if (assembler.m_isManifest)
        assembler.m_manifest = Manifest::parse(text);
    if (assembler.m_manifest.manifest)
        assembler.m_parts.resize(assembler.m_manifest.manifest->parts().size());
    assembler.m_text = std::make_shared<const std::string>(std::move(text));
    return assembler;
}

std::vector<Part> Assembler::missing() const
{
    std::vector<Part> parts;
    for (std::size_t it = 0; it < m_parts.size(); ++it) {
        if (!m_parts[it])
            parts.push_back(m_manifest.manifest->parts()[it]);
    }
    return parts;
}

PartVerdict Assembler::offerPart(std::string bytes)
{
    return take(std::make_shared<const std::string>(std::move(bytes)));
}

void Assembler::reuse(const std::vector<PartBytes>& parts)
{
    for (auto& part : parts) {
        if (part)
            take(part);
    }
}

/// The digest decides which part the bytes are, not the name they were asked for under: bytes damaged on their way or
/// read from a replica that is behind match nothing and are left out, however often they come.
PartVerdict Assembler::take(const PartBytes& bytes)
{
    auto digest = digestOf(*bytes);
    auto verdict = PartVerdict::NotAsked;
    for (std::size_t it = 0; it < m_parts.size(); ++it) {
        auto& part = m_manifest.manifest->parts()[it];
        if (part.digest != digest || part.size != Bytes(bytes->size()))
            continue;
        if (!m_parts[it]) {
            m_parts[it] = bytes;
            verdict = PartVerdict::Taken;
        } else if (verdict == PartVerdict::NotAsked)
            verdict = PartVerdict::AlreadyHeld;
    }
    return verdict;
}

bool Assembler::isComplete() const
{
    return std::all_of(m_parts.begin(), m_parts.end(), [](auto& part) { return part != nullptr; });
}

Result<Candidate> Assembler::finish() const
{
    if (!isComplete())
        return Error { ErrorCode::Unavailable, fmt::format("revision {}: {} parts are still missing", m_revision.value(), missing().size()) };
    Candidate candidate { m_revision, m_digest, {}, m_text, m_parts };
    if (m_manifest.manifest) {
        std::vector<Source> sources;
        for (std::size_t it = 0; it < m_parts.size(); ++it)
            sources.push_back({ m_manifest.manifest->parts()[it].name, *m_parts[it] });
        candidate.parsed = Tree::parse(sources);
    } else if (m_isManifest)
        candidate.parsed.problems = m_manifest.problems;
    else
        candidate.parsed = Tree::parse(*m_text);
    return candidate;
}

} // namespace swiftloft::settings
