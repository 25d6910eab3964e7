#pragma once

#include <swiftloft/membership/types.h>
#include <swiftloft/result.h>

#include <cstddef>
#include <span>
#include <vector>

/// Datagrams between the processes of the system, and their Cap'n Proto form.
namespace swiftloft::membership {

/// A document that the platform publishes, with its own sequence of revisions.
enum class Topic : std::uint8_t {
    Settings,
    Instances,
};

inline constexpr std::size_t topicCount = 2;
inline constexpr Topic allTopics[topicCount] = { Topic::Settings, Topic::Instances };

const char* toString(Topic topic);

/// XXH3-128 of some bytes. Names contents; proves nothing against a peer that wants to deceive.
struct Digest {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    friend auto operator<=>(const Digest&, const Digest&) = default;
};

Digest digestOf(std::string_view bytes);

/// What some node says of a member. A leaving mark outranks health: it holds for the rest of that life.
struct MemberUpdate {
    NodeKey member;
    OrderedIncarnation incarnation;
    std::uint32_t sequence { 0 }; ///< Raised only by the member itself, to refute a suspicion.
    Health health { Health::Alive };
    bool isLeaving { false };

    friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

/// The revision of a document that the sender holds whole and valid.
struct Announcement {
    Topic topic { Topic::Settings };
    Revision revision;
    Digest digest; ///< Of the document's manifest.
    milliseconds platformAge { 0 }; ///< Since somebody, by what the sender has heard, last had an answer from the platform.

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

enum class MessageKind : std::uint8_t {
    Ping,
    Ack, ///< Answers a ping, with its nonce.
    PingRequest, ///< Asks the receiver to ping `target` on the sender's behalf.
    Gossip, ///< Carries updates and announcements; no answer.
    SyncRequest, ///< Asks for all that is out of the ordinary; answered by `News`.
    Note, ///< Carries `note` for the embedding process.
};

/// One datagram. `from` to `isReady` describe the sender.
struct Message {
    MessageKind kind { MessageKind::Gossip };
    NodeKey from;
    OrderedIncarnation incarnation;
    std::uint32_t sequence { 0 };
    bool isLeaving { false };
    bool isReady { false }; ///< Holds settings it has checked against peers; its announcements count as answers to a joining node.
    std::uint64_t nonce { 0 };
    NodeKey target;
    std::vector<MemberUpdate> updates;
    std::vector<Announcement> announcements;
    std::string note; ///< For the embedding process; at most `maxNoteBytes`.

    friend bool operator==(const Message&, const Message&) = default;
};

/// Most updates one datagram carries; keeps it under 1,200 bytes, so that no network on the way fragments it.
inline constexpr std::size_t maxUpdatesPerMessage = 24;
inline constexpr std::size_t maxDatagramBytes = 1200;
inline constexpr std::size_t maxNoteBytes = 900;

std::vector<std::byte> encode(const Message& message);

/// Fails with `MalformedInput` on bytes that are no message. Any bytes are safe to pass.
Result<Message> decode(std::span<const std::byte> bytes);

} // namespace swiftloft::membership
