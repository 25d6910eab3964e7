#include "src/spread/document.h"

#include "src/spread/peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <array>
#include <cstring>

namespace swiftloft::spread {

namespace {

constexpr std::size_t smallestPart = 1024;
constexpr std::size_t largestPart = 16 * 1024;
/// Twelve bits: a boundary about every 4 KB. The top bits depend on the most bytes of the rolling window.
constexpr std::uint64_t boundaryMask = 0xfff0000000000000ull;
constexpr std::size_t maxParts = maxDocumentBytes / smallestPart;
constexpr std::uint64_t manifestTraversalWords = 16 * maxParts;
constexpr int manifestNesting = 4;

using GearTable = std::array<std::uint64_t, 256>;

/// Fixed for all versions: nodes that cut alike share parts.
constexpr GearTable makeGearTable()
{
    GearTable table {};
    std::uint64_t state = 0x5377696674ull;
    for (auto& it : table) {
        state += 0x9e3779b97f4a7c15ull;
        auto z = state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
        it = z ^ (z >> 31);
    }
    return table;
}

constexpr GearTable gear = makeGearTable();

std::size_t partSize(std::string_view rest)
{
    if (rest.size() <= smallestPart)
        return rest.size();
    auto end = std::min(rest.size(), largestPart);
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < end; ++i) {
        hash = (hash << 1) + gear[static_cast<unsigned char>(rest[i])];
        if (i >= smallestPart && !(hash & boundaryMask))
            return i + 1;
    }
    return end;
}

Error malformed(const char* what)
{
    return Error { ErrorCode::MalformedInput, std::string("manifest: ") + what };
}

Result<Manifest> read(schema::Manifest::Reader from)
{
    Manifest manifest;
    if (from.getParts().size() > maxParts)
        return malformed("too many parts");
    manifest.parts.reserve(from.getParts().size());
    for (auto it : from.getParts()) {
        if (it.getSize() == 0 || it.getSize() > largestPart)
            return malformed("a part's size is out of range");
        manifest.parts.push_back(Part { Digest { it.getDigest().getHigh(), it.getDigest().getLow() }, it.getSize() });
    }
    if (manifest.size() > maxDocumentBytes)
        return malformed("the document is too large");
    return manifest;
}

} // namespace

std::uint64_t Manifest::size() const
{
    std::uint64_t sum = 0;
    for (auto& it : parts)
        sum += it.size;
    return sum;
}

std::string Manifest::encode() const
{
    capnp::MallocMessageBuilder builder;
    auto list = builder.initRoot<schema::Manifest>().initParts(static_cast<unsigned>(parts.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        auto digest = list[i].initDigest();
        digest.setHigh(parts[i].digest.high);
        digest.setLow(parts[i].digest.low);
        list[i].setSize(parts[i].size);
    }
    auto words = capnp::messageToFlatArray(builder);
    auto bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

Result<Manifest> Manifest::decode(std::string_view bytes)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = manifestTraversalWords;
        options.nestingLimit = manifestNesting;
        capnp::FlatArrayMessageReader reader(words, options);
        return read(reader.getRoot<schema::Manifest>());
    } catch (const kj::Exception& e) {
        return malformed(e.getDescription().cStr());
    }
}

Manifest cut(std::string_view body)
{
    Manifest manifest;
    while (!body.empty()) {
        auto part = body.substr(0, partSize(body));
        manifest.parts.push_back(Part { membership::digestOf(part), static_cast<std::uint32_t>(part.size()) });
        body.remove_prefix(part.size());
    }
    return manifest;
}

std::shared_ptr<const Document> Document::create(Topic topic, Revision revision, std::shared_ptr<const std::string> body)
{
    auto manifest = cut(*body).encode();
    return create(topic, revision, std::move(body), std::move(manifest));
}

std::shared_ptr<const Document> Document::create(Topic topic, Revision revision, std::shared_ptr<const std::string> body, std::string manifest)
{
    std::shared_ptr<Document> document(new Document);
    document->m_topic = topic;
    document->m_revision = revision;
    document->m_body = std::move(body);
    document->m_manifest = std::move(manifest);
    document->m_digest = membership::digestOf(document->m_manifest);
    auto parts = Manifest::decode(document->m_manifest);
    std::size_t offset = 0;
    for (auto& it : parts.value().parts) {
        document->m_parts[it.digest] = Range { offset, it.size };
        offset += it.size;
    }
    return document;
}

std::optional<std::string_view> Document::blob(const Digest& digest) const
{
    if (digest == m_digest)
        return m_manifest;
    auto it = m_parts.find(digest);
    if (it == m_parts.end())
        return std::nullopt;
    return std::string_view(*m_body).substr(it->second.offset, it->second.size);
}

std::size_t Document::memoryBytes() const
{
    constexpr std::size_t partEntry = 64;
    return m_body->size() + m_manifest.size() + m_parts.size() * partEntry;
}

} // namespace swiftloft::spread
