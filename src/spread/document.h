#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/membership/message.h>
#include <swiftloft/result.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace swiftloft::spread {

using membership::Digest;
using membership::Topic;

/// Larger documents are refused.
inline constexpr std::size_t maxDocumentBytes = 8 * 1024 * 1024;

struct DigestHash {
    std::size_t operator()(const Digest& digest) const { return static_cast<std::size_t>(digest.low); }
};

/// A run of a document's bytes, named by its digest.
struct Part {
    Digest digest;
    std::uint32_t size { 0 };
};

/// The parts of a document in order. Travels before the parts, so that a peer asks only for those it lacks.
struct Manifest {
    std::vector<Part> parts;

    std::uint64_t size() const;
    std::string encode() const;
    /// Fails with `MalformedInput`; any bytes are safe to pass. A manifest that promises more than a document may
    /// hold is refused before any memory is set aside for it.
    static Result<Manifest> decode(std::string_view bytes);
};

/// Cuts `body` where its content says (a rolling hash), about 4 KB a part: an edit changes the one or two parts around
/// it, also when it moves all bytes behind it.
Manifest cut(std::string_view body);

/// One revision of a published document, whole. Never changed once made.
class Document {
public:
    /// `body` is at most `maxDocumentBytes` long.
    static std::shared_ptr<const Document> create(Topic topic, Revision revision, std::shared_ptr<const std::string> body);
    /// As pulled from a peer: keeps the manifest's own bytes, so that its digest stays the announced one.
    static std::shared_ptr<const Document> create(Topic topic, Revision revision, std::shared_ptr<const std::string> body, std::string manifest);

    Topic topic() const { return m_topic; }
    Revision revision() const { return m_revision; }
    const Digest& digest() const { return m_digest; }
    const std::shared_ptr<const std::string>& body() const { return m_body; }

    /// The manifest or the part with that digest, if it belongs to this document.
    std::optional<std::string_view> blob(const Digest& digest) const;

    std::size_t memoryBytes() const;

private:
    struct Range {
        std::size_t offset { 0 };
        std::size_t size { 0 };
    };

    Document() = default;

    Topic m_topic { Topic::Settings };
    Revision m_revision;
    Digest m_digest;
    std::shared_ptr<const std::string> m_body;
    std::string m_manifest;
    std::unordered_map<Digest, Range, DigestHash> m_parts;
};

} // namespace swiftloft::spread
