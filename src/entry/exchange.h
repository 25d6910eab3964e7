#pragma once

#include "src/entry/events.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <kj/async.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace swiftloft::entry {

using ClientMessage = boost::beast::http::request<boost::beast::http::string_body>;
using HeaderFields = boost::beast::http::fields;

/// Status and end-to-end headers of an answer.
struct ResponseHead {
    unsigned status { 200 };
    HeaderFields fields;
    BackendServerId server;
};

struct ResponseData {
    std::string bytes;
};

struct ResponseEnd {
};

/// The answer breaks off here; the client must see that.
struct ResponseAbort {
    Refusal refusal;
};

/// A complete answer of the entry's own: a refusal or a status page.
struct LocalResponse {
    unsigned status { 200 };
    HeaderFields fields;
    std::string body;
};

using ResponsePart = std::variant<ResponseHead, ResponseData, ResponseEnd, ResponseAbort, LocalResponse>;

/// One client request on a traffic thread, and the pieces of its answer on their way from the agent to the client.
class Exchange {
public:
    Exchange(boost::asio::io_context& ioContext, RequestId id, std::shared_ptr<const ClientMessage> message);

    RequestId id() const { return m_id; }
    const std::shared_ptr<const ClientMessage>& message() const { return m_message; }

    /// Queues a piece. The promise resolves when the client's connection has taken it, which holds the agent back when
    /// the client reads slowly. Pieces for a client that has gone are dropped.
    kj::Promise<void> push(ResponsePart part);

    /// Keeps a head back until the first byte or the end follows it, so that an attempt that breaks right after its head
    /// can still be retried.
    void holdHead(ResponseHead head) { m_heldHead = std::move(head); }

    /// A new attempt starts over: a head that has not gone out is replaced.
    void dropHeldHead() { m_heldHead.reset(); }

    /// The next piece to write.
    boost::asio::awaitable<ResponsePart> next();

    /// True when `next` has a piece at once.
    bool hasNext() const { return !m_parts.empty(); }

    /// The client has gone or has its answer: pieces are dropped from now on.
    void close();
    bool isClosed() const { return m_isClosed; }

private:
    struct QueuedPart {
        ResponsePart part;
        kj::Own<kj::PromiseFulfiller<void>> consumed;
    };

    RequestId m_id;
    std::shared_ptr<const ClientMessage> m_message;
    std::optional<ResponseHead> m_heldHead;
    std::deque<QueuedPart> m_parts;
    boost::asio::steady_timer m_partAvailable;
    bool m_isClosed { false };
};

} // namespace swiftloft::entry
