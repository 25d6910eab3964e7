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
struct AnswerHead {
    unsigned status { 200 };
    HeaderFields fields;
    BackendServerId server;
};

struct AnswerData {
    std::string bytes;
};

struct AnswerEnd {
};

/// The answer breaks off here; the client must see that.
struct AnswerCut {
    Refusal refusal;
};

/// A complete answer of the entry's own: a refusal or a status page.
struct OwnAnswer {
    unsigned status { 200 };
    HeaderFields fields;
    std::string body;
};

using Piece = std::variant<AnswerHead, AnswerData, AnswerEnd, AnswerCut, OwnAnswer>;

/// One client request on a traffic thread, and the pieces of its answer on their way from the agent to the client.
class Exchange {
public:
    Exchange(boost::asio::io_context& ioContext, RequestId id, std::shared_ptr<const ClientMessage> message);

    RequestId id() const { return m_id; }
    const std::shared_ptr<const ClientMessage>& message() const { return m_message; }

    /// Queues a piece. The promise resolves when the client's connection has taken it, which holds the agent back when
    /// the client reads slowly. Pieces for a client that has gone are dropped.
    kj::Promise<void> push(Piece piece);

    /// Keeps a head back until the first byte or the end follows it, so that an attempt that breaks right after its head
    /// can still be retried.
    void holdHead(AnswerHead head) { m_heldHead = std::move(head); }

    /// A new attempt starts over: a head that has not gone out is replaced.
    void dropHeldHead() { m_heldHead.reset(); }

    /// The next piece to write.
    boost::asio::awaitable<Piece> next();

    /// True when `next` has a piece at once.
    bool hasNext() const { return !m_pieces.empty(); }

    /// The client has gone or has its answer: pieces are dropped from now on.
    void setGone();
    bool isGone() const { return m_isGone; }

private:
    struct Queued {
        Piece piece;
        kj::Own<kj::PromiseFulfiller<void>> taken;
    };

    RequestId m_id;
    std::shared_ptr<const ClientMessage> m_message;
    std::optional<AnswerHead> m_heldHead;
    std::deque<Queued> m_pieces;
    boost::asio::steady_timer m_arrived;
    bool m_isGone { false };
};

} // namespace swiftloft::entry
