#pragma once

#include "src/gateway/configuration.h"
#include "src/gateway/model.h"

#include <swiftloft/result.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace swiftloft::gateway {

namespace http = boost::beast::http;

using RequestFields = http::request_header<http::fields>;
using ResponseFields = http::response_header<http::fields>;

/// What an entry adds to a request on its way to a backend server.
struct UpstreamRequestHead {
    BackendServerId server;
    TimePoint deadline;
    /// Whose request it is; unset on routes that need no key.
    std::optional<OrganisationName> organisation;
    /// Go on behind this event of the stream.
    std::optional<std::uint64_t> lastEvent;
};

/// How clients, backend servers and published documents spell what the gateway decides about. A platform's adapter fills
/// in all of them; none decides anything.
struct Protocol {
    /// Fails with `MalformedInput` on a request that the protocol does not allow.
    std::function<Result<RequestHead>(const RequestFields& fields, TimePoint now)> decodeRequest;
    /// Makes the head for a backend server out of the client's, in place.
    std::function<void(RequestFields& fields, const UpstreamRequestHead& head, TimePoint now)> prepareUpstreamRequest;
    std::function<ResponseHead(const ResponseFields& fields, TimePoint now)> decodeResponse;
    std::function<Result<std::shared_ptr<const Configuration>>(std::string_view document)> decodeConfiguration;
    std::function<Result<BackendServer>(std::string_view id, std::string_view document)> decodeServer;
    /// Answer to a client that asks which entries to use; it may keep it until `expiresAt`.
    std::function<std::string(const std::vector<Endpoint>& entries, TimePoint expiresAt, TimePoint now)> encodeDirectory;
    /// Value of the header that says when a refused client may come back.
    std::function<std::string(TimePoint retryAt, TimePoint now)> encodeRetryAfter;
    /// Paths at which an entry says that it is ready and which entries there are.
    std::string readyPath;
    std::string directoryPath;
};

/// Counts how often the store has come back from an older copy of itself, which gives revisions out again; 0 where the store
/// doesn't say.
using StoreEra = Strong<struct StoreEraTag, std::uint64_t>;

/// Orders states of the store: the higher one is newer. Revisions alone don't, as those of an era may have been given out before.
struct StorePosition {
    StoreEra era;
    std::uint64_t revision { 0 };

    friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// A published document with the place it has in the order of all changes.
struct PublishedItem {
    /// Name within its topic: empty for the configuration, an id for a server.
    std::string name;
    std::string document;
    std::uint64_t revision { 0 };
    /// The document was withdrawn.
    bool isRemoved { false };
    /// Why the store's bytes could not be read as a document; empty when they could.
    std::string problem {};
    /// Of the store when it said so.
    StoreEra era {};

    StorePosition position() const { return { era, revision }; }
};

/// Items with the revision up to which they are known.
struct PublishedItems {
    std::vector<PublishedItem> items;
    std::uint64_t asOf { 0 };
    StoreEra era {};

    StorePosition position() const { return { era, asOf }; }
};

enum class Topic {
    Configuration,
    Servers,
};

inline const char* nameOf(Topic topic)
{
    return topic == Topic::Configuration ? "configuration" : "servers";
}

/// Thrown by `Store` when changes since the revision asked for are no longer known, or the store is another one than a moment
/// ago: list again.
class HistoryLost : public Exception {
public:
    HistoryLost()
        : Exception({ ErrorCode::Stale, "the changes since the last answer are no longer known" })
    {
    }
};

/// The platform's store of published documents, read only. Calls throw on failure and end by their deadline.
struct Store {
    std::function<boost::asio::awaitable<PublishedItems>(Topic topic, TimePoint deadline)> list;
    /// Changes after `after`; empty when none came until `waitUntil`.
    std::function<boost::asio::awaitable<PublishedItems>(Topic topic, std::uint64_t after, TimePoint waitUntil, TimePoint deadline)> watch;
};

} // namespace swiftloft::gateway
