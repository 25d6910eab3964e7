#include <swiftloft/membership/message.h>

#include "src/membership/gossip.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace swiftloft::membership {

namespace {

/// A datagram of 1,200 bytes unpacks to fewer words. A longer traversal means that the message contains pointers into
/// itself.
constexpr std::uint64_t traversalLimitWords = 2048;
constexpr int nestingLimit = 4;
/// Packing removes only zero bytes. 2,500 words is more than any message that this program encodes.
constexpr std::size_t maxAnnouncements = 4;
constexpr std::size_t scratchWords = 256;

void write(schema::Update::Builder to, const MemberUpdate& update)
{
    to.setMember(update.member.value());
    to.setGeneration(update.incarnation.generation);
    to.setIncarnation(update.incarnation.id.value());
    to.setSequence(update.sequence);
    to.setHealth(static_cast<schema::Health>(update.health));
    to.setIsLeaving(update.isLeaving);
}

void write(schema::Announcement::Builder to, const Announcement& announcement)
{
    constexpr std::int64_t maxAge = std::numeric_limits<std::uint32_t>::max();
    to.setTopic(static_cast<schema::Topic>(announcement.topic));
    to.setRevision(announcement.revision.value());
    to.setDigestHigh(announcement.digest.high);
    to.setDigestLow(announcement.digest.low);
    to.setPlatformAgeMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(announcement.platformAge.count(), 0, maxAge)));
}

void write(schema::Message::Builder to, const Message& message)
{
    to.setKind(static_cast<schema::Kind>(message.kind));
    to.setFrom(message.from.value());
    to.setGeneration(message.incarnation.generation);
    to.setIncarnation(message.incarnation.id.value());
    to.setSequence(message.sequence);
    to.setIsLeaving(message.isLeaving);
    to.setIsReady(message.isReady);
    to.setNonce(message.nonce);
    to.setTarget(message.target.value());
    if (!message.note.empty())
        to.setNote(kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte*>(message.note.data()), message.note.size()));
    auto updates = to.initUpdates(static_cast<unsigned>(message.updates.size()));
    for (unsigned i = 0; i < updates.size(); ++i)
        write(updates[i], message.updates[i]);
    auto announcements = to.initAnnouncements(static_cast<unsigned>(message.announcements.size()));
    for (unsigned i = 0; i < announcements.size(); ++i)
        write(announcements[i], message.announcements[i]);
}

Error malformed(const char* what)
{
    return Error { ErrorCode::MalformedInput, std::string("gossip datagram: ") + what };
}

MemberUpdate read(schema::Update::Reader from)
{
    // Unknown enum values come from a newer or a faulty peer. `Alive` is the least harmful interpretation.
    auto health = static_cast<std::uint16_t>(from.getHealth());
    MemberUpdate update;
    update.member = NodeKey(from.getMember());
    update.incarnation = OrderedIncarnation { from.getGeneration(), Incarnation(from.getIncarnation()) };
    update.sequence = from.getSequence();
    update.health = health <= static_cast<std::uint16_t>(Health::Dead) ? static_cast<Health>(health) : Health::Alive;
    update.isLeaving = from.getIsLeaving();
    return update;
}

Announcement read(schema::Announcement::Reader from)
{
    Announcement announcement;
    announcement.topic = static_cast<Topic>(from.getTopic());
    announcement.revision = Revision(from.getRevision());
    announcement.digest = Digest { from.getDigestHigh(), from.getDigestLow() };
    announcement.platformAge = milliseconds(from.getPlatformAgeMs());
    return announcement;
}

Result<Message> read(schema::Message::Reader from)
{
    if (static_cast<std::uint16_t>(from.getKind()) > static_cast<std::uint16_t>(MessageKind::Note))
        return malformed("unknown message kind");
    if (from.getUpdates().size() > maxUpdatesPerMessage)
        return malformed("too many updates");
    if (from.getAnnouncements().size() > maxAnnouncements)
        return malformed("too many announcements");
    Message message;
    message.kind = static_cast<MessageKind>(from.getKind());
    message.from = NodeKey(from.getFrom());
    message.incarnation = OrderedIncarnation { from.getGeneration(), Incarnation(from.getIncarnation()) };
    message.sequence = from.getSequence();
    message.isLeaving = from.getIsLeaving();
    message.isReady = from.getIsReady();
    message.nonce = from.getNonce();
    message.target = NodeKey(from.getTarget());
    auto note = from.getNote();
    if (note.size() > maxNoteBytes)
        return malformed("note is too long");
    message.note.assign(reinterpret_cast<const char*>(note.begin()), note.size());
    for (auto update : from.getUpdates())
        message.updates.push_back(read(update));
    for (auto announcement : from.getAnnouncements()) {
        if (static_cast<std::uint16_t>(announcement.getTopic()) < topicCount)
            message.announcements.push_back(read(announcement));
    }
    return message;
}

} // namespace

const char* toString(Topic topic)
{
    return topic == Topic::Settings ? "settings" : "instances";
}

Digest digestOf(std::string_view bytes)
{
    auto hash = XXH3_128bits(bytes.data(), bytes.size());
    return Digest { hash.high64, hash.low64 };
}

std::vector<std::byte> encode(const Message& message)
{
    capnp::word scratch[scratchWords] = {};
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, scratchWords));
    write(builder.initRoot<schema::Message>(), message);
    kj::VectorOutputStream out(maxDatagramBytes);
    capnp::writePackedMessage(out, builder);
    auto bytes = out.getArray();
    auto* begin = reinterpret_cast<const std::byte*>(bytes.begin());
    return { begin, begin + bytes.size() };
}

Result<Message> decode(std::span<const std::byte> bytes)
{
    if (bytes.size() > maxDatagramBytes)
        return malformed("longer than the maximum datagram size");
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalLimitWords;
        options.nestingLimit = nestingLimit;
        capnp::PackedMessageReader reader(in, options);
        return read(reader.getRoot<schema::Message>());
    } catch (const kj::Exception& e) {
        return malformed(e.getDescription().cStr());
    }
}

} // namespace swiftloft::membership
