#include "src/entry/exchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace swiftloft::entry {

Exchange::Exchange(boost::asio::io_context& ioContext, RequestId id, std::shared_ptr<const ClientMessage> message)
    : m_id(id)
    , m_message(std::move(message))
    , m_arrived(ioContext, TimePoint::max())
{
}

kj::Promise<void> Exchange::push(Piece piece)
{
    if (m_isGone)
        return kj::READY_NOW;
    if (m_heldHead && !std::holds_alternative<OwnAnswer>(piece)) {
        m_pieces.push_back(Queued { std::move(*m_heldHead), {} });
        m_heldHead.reset();
    }
    auto taken = kj::newPromiseAndFulfiller<void>();
    m_pieces.push_back(Queued { std::move(piece), kj::mv(taken.fulfiller) });
    m_arrived.cancel();
    return kj::mv(taken.promise);
}

boost::asio::awaitable<Piece> Exchange::next()
{
    while (m_pieces.empty()) {
        if (m_isGone)
            throw boost::system::system_error(boost::asio::error::connection_aborted);
        boost::system::error_code ec;
        co_await m_arrived.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    auto queued = std::move(m_pieces.front());
    m_pieces.pop_front();
    if (queued.taken.get())
        queued.taken->fulfill();
    co_return std::move(queued.piece);
}

void Exchange::setGone()
{
    m_isGone = true;
    for (auto& queued : m_pieces) {
        if (queued.taken.get())
            queued.taken->fulfill();
    }
    m_pieces.clear();
    m_arrived.cancel();
}

} // namespace swiftloft::entry
