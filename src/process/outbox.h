#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <utility>
#include <vector>

namespace swiftloft::process {

/// Collects what one thread has to tell another during one turn of its loop and hands it over at once.
///
/// Each hand-over wakes the other thread, which costs many times what most events take to handle; the events of one turn,
/// such as the first byte and the end of a short answer, share one. Belongs to the thread that posts.
template <typename Event>
class Outbox {
public:
    using Deliver = std::function<void(std::vector<Event>)>;

    Outbox(boost::asio::io_context& ioContext, Deliver deliver)
        : m_ioContext(ioContext)
        , m_deliver(std::move(deliver))
    {
    }

    void post(Event event)
    {
        m_events.push_back(std::move(event));
        if (m_events.size() > 1)
            return;
        boost::asio::post(m_ioContext, [this] { m_deliver(std::exchange(m_events, {})); });
    }

private:
    boost::asio::io_context& m_ioContext;
    Deliver m_deliver;
    std::vector<Event> m_events;
};

} // namespace swiftloft::process
