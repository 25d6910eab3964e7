#pragma once

#include <swiftloft/membership/types.h>
#include <swiftloft/result.h>

#include <cstddef>
#include <span>
#include <vector>

/// Datagrams exchanged between the processes of the system, and their Cap'n Proto encoding.
namespace swiftloft::membership {

/// A document published by the platform. Each topic has its own sequence of revisions.
enum class Topic : std::uint8_t {
    Settings,
    Instances,
};

inline constexpr std::size_t topicCount = 2;
inline constexpr Topic allTopics[topicCount] = { Topic::Settings, Topic::Instances };

const char* toString(Topic topic);

/// XXH3-128 hash that identifies contents. Not cryptographic: it gives no protection against a malicious peer.
struct Digest {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    friend auto operator<=>(const Digest&, const Digest&) = default;
};

Digest digestOf(std::string_view bytes);

/// State of a member as reported by a node. A leaving mark takes precedence over health and holds for the rest of the
/// member's incarnation.
struct MemberUpdate {
    NodeKey member;
    OrderedIncarnation incarnation;
    std::uint32_t sequence { 0 }; ///< Incremented only by the member itself, to refute a suspicion.
    Health health { Health::Alive };
    bool isLeaving { false };

    friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

/// Announces the revision of a document of which the sender holds a complete, valid copy.
struct Announcement {
    Topic topic { Topic::Settings };
    Revision revision;
    Digest digest; ///< Digest of the document's manifest.
    /// Time since any node last received a response from the platform, as far as the sender knows.
    milliseconds platformAge { 0 };

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

enum class MessageKind : std::uint8_t {
    Ping,
    Ack, ///< Replies to a ping and carries its nonce.
    PingRequest, ///< Asks the receiver to ping `target` on the sender's behalf.
    Gossip, ///< Carries updates and announcements. Not acknowledged.
    SyncRequest, ///< Requests the state of all suspect, dead or leaving members. Answered with `Gossip`.
    Note, ///< Carries application data for the embedding process in `note`.
};

/// One datagram. The fields `from` to `isReady` describe the sender.
struct Message {
    MessageKind kind { MessageKind::Gossip };
    NodeKey from;
    OrderedIncarnation incarnation;
    std::uint32_t sequence { 0 };
    bool isLeaving { false };
    /// True if the sender has checked its settings against peers. A joining node counts only announcements of ready
    /// senders as replies.
    bool isReady { false };
    std::uint64_t nonce { 0 };
    NodeKey target;
    std::vector<MemberUpdate> updates;
    std::vector<Announcement> announcements;
    std::string note; ///< Application data of the embedding process, at most `maxNoteBytes`.

    friend bool operator==(const Message&, const Message&) = default;
};

/// Maximum number of updates in one datagram. Keeps the datagram below 1,200 bytes, so that it is not fragmented on the
/// network path.
inline constexpr std::size_t maxUpdatesPerMessage = 24;
inline constexpr std::size_t maxDatagramBytes = 1200;
inline constexpr std::size_t maxNoteBytes = 900;

std::vector<std::byte> encode(const Message& message);

/// Decodes a datagram. Fails with `MalformedInput` if the bytes are not a valid message. Safe on untrusted input.
Result<Message> decode(std::span<const std::byte> bytes);

} // namespace swiftloft::membership
