#include "src/spread/blob-codec.h"

#include "src/spread/peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

namespace swiftloft::spread {

namespace {

constexpr std::uint64_t traversalLimitWords = 2 * maxReplyBytes / sizeof(capnp::word);
constexpr int nestingLimit = 6;

std::string bytesOf(capnp::MallocMessageBuilder& builder)
{
    auto words = capnp::messageToFlatArray(builder);
    auto bytes = words.asBytes();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

Error malformed(const std::string& what)
{
    return Error { ErrorCode::MalformedInput, "pull of parts: " + what };
}

/// Gives `read` a reader over `bytes`, and turns what Cap'n Proto finds wrong with them into an error.
template <typename T, typename Read>
Result<T> withMessage(std::string_view bytes, Read read)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalLimitWords;
        options.nestingLimit = nestingLimit;
        capnp::FlatArrayMessageReader reader(words, options);
        return read(reader);
    } catch (const kj::Exception& e) {
        return malformed(e.getDescription().cStr());
    }
}

PullStatus statusOf(schema::Status status)
{
    switch (status) {
    case schema::Status::OK:
        return PullStatus::Ok;
    case schema::Status::BUSY:
        return PullStatus::Busy;
    default:
        return PullStatus::Unknown;
    }
}

schema::Status schemaOf(PullStatus status)
{
    switch (status) {
    case PullStatus::Ok:
        return schema::Status::OK;
    case PullStatus::Busy:
        return schema::Status::BUSY;
    default:
        return schema::Status::UNKNOWN;
    }
}

} // namespace

std::string encodeRequest(const std::vector<Digest>& digests)
{
    capnp::MallocMessageBuilder builder;
    auto list = builder.initRoot<schema::BlobRequest>().initDigests(static_cast<unsigned>(digests.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setHigh(digests[i].high);
        list[i].setLow(digests[i].low);
    }
    return bytesOf(builder);
}

Result<std::vector<Digest>> decodeRequest(std::string_view bytes)
{
    return withMessage<std::vector<Digest>>(bytes, [](capnp::MessageReader& reader) -> Result<std::vector<Digest>> {
        auto list = reader.getRoot<schema::BlobRequest>().getDigests();
        if (list.size() > maxDigestsPerRequest)
            return malformed("too many digests");
        std::vector<Digest> digests;
        for (auto it : list)
            digests.push_back(Digest { it.getHigh(), it.getLow() });
        return digests;
    });
}

std::string encodeReply(const BlobsPulled& reply)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::BlobReply>();
    root.setStatus(schemaOf(reply.status));
    auto blobs = root.initBlobs(static_cast<unsigned>(reply.blobs.size()));
    for (unsigned i = 0; i < blobs.size(); ++i) {
        auto& blob = reply.blobs[i];
        blobs.set(i, kj::arrayPtr(reinterpret_cast<const kj::byte*>(blob.data()), blob.size()));
    }
    return bytesOf(builder);
}

Result<BlobsPulled> decodeReply(std::string_view bytes)
{
    return withMessage<BlobsPulled>(bytes, [](capnp::MessageReader& reader) -> Result<BlobsPulled> {
        auto root = reader.getRoot<schema::BlobReply>();
        if (root.getBlobs().size() > maxDigestsPerRequest)
            return malformed("too many blobs");
        BlobsPulled reply;
        reply.status = statusOf(root.getStatus());
        for (auto it : root.getBlobs())
            reply.blobs.emplace_back(reinterpret_cast<const char*>(it.begin()), it.size());
        return reply;
    });
}

} // namespace swiftloft::spread
