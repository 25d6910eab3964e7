#include "src/entry/exchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace swiftloft::entry {

Exchange::Exchange(boost::asio::io_context& ioContext, RequestId id, std::shared_ptr<const ClientMessage> message)
    : m_id(id)
    , m_message(std::move(message))
    , m_partAvailable(ioContext, TimePoint::max())
{
}

kj::Promise<void> Exchange::push(ResponsePart part)
{
    if (m_isClosed)
        return kj::READY_NOW;
    if (m_heldHead && !std::holds_alternative<LocalResponse>(part)) {
        m_parts.push_back(QueuedPart { std::move(*m_heldHead), {} });
        m_heldHead.reset();
    }
    auto consumed = kj::newPromiseAndFulfiller<void>();
    m_parts.push_back(QueuedPart { std::move(part), kj::mv(consumed.fulfiller) });
    m_partAvailable.cancel();
    return kj::mv(consumed.promise);
}

boost::asio::awaitable<ResponsePart> Exchange::next()
{
    while (m_parts.empty()) {
        if (m_isClosed)
            throw boost::system::system_error(boost::asio::error::connection_aborted);
        boost::system::error_code ec;
        co_await m_partAvailable.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    auto queued = std::move(m_parts.front());
    m_parts.pop_front();
    if (queued.consumed.get())
        queued.consumed->fulfill();
    co_return std::move(queued.part);
}

void Exchange::close()
{
    m_isClosed = true;
    for (auto& queued : m_parts) {
        if (queued.consumed.get())
            queued.consumed->fulfill();
    }
    m_parts.clear();
    m_partAvailable.cancel();
}

} // namespace swiftloft::entry
