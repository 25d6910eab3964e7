#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/settings/digest.h>
#include <swiftloft/settings/manifest.h>
#include <swiftloft/settings/tree.h>

#include <memory>
#include <string>
#include <vector>

namespace swiftloft::settings {

/// Bytes of a part, shared between revisions that have it in common.
using PartBytes = std::shared_ptr<const std::string>;

/// One revision, complete and judged: a valid tree or the problems for which it must be refused.
struct Candidate {
    Revision revision;
    /// Of the published value; for a manifest this covers the parts through their digests.
    Digest digest;
    Parsed parsed;
    /// The published value and its parts in the manifest's order, to be handed to peers.
    PartBytes text;
    std::vector<PartBytes> parts;
};

enum class PartVerdict {
    Taken,
    AlreadyHeld,
    /// No part of this revision has this digest: damaged on its way, or of another revision.
    NotAsked,
};

/// Gathers the texts of one revision. It yields a candidate only once every part is there with its right digest, so
/// that no process ever takes half of a revision; a tree in one text has no parts and is complete at once.
class Assembler {
public:
    /// `text` is the published value: a manifest or a whole tree.
    static Assembler create(Revision revision, std::string text);

    Revision revision() const { return m_revision; }
    const Digest& digest() const { return m_digest; }

    /// Parts still to be read; none when the manifest itself is faulty.
    std::vector<Part> missing() const;

    /// Takes any part this revision asks for, in any order.
    PartVerdict offerPart(std::string bytes);
    /// Takes over the parts that another revision has in common with this one.
    void reuse(const std::vector<PartBytes>& parts);

    bool isComplete() const;

    /// Parses and validates the whole. `Unavailable` while a part is missing. Costs as much as parsing the tree: run it
    /// away from the control thread.
    Result<Candidate> finish() const;

private:
    Assembler() = default;

    PartVerdict take(const PartBytes& bytes);

    Revision m_revision;
    Digest m_digest;
    PartBytes m_text;
    bool m_isManifest { false };
    ParsedManifest m_manifest;
    /// By the manifest's order; null while missing.
    std::vector<PartBytes> m_parts;
};

} // namespace swiftloft::settings
