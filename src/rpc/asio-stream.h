#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <kj/async-io.h>

namespace swiftloft::rpc {

/// A connected socket as a kj stream, for use on the thread of an `EventLoop` that owns the socket's context.
///
/// kj may drop a read or write promise at any time and then reuse its buffer, while Asio's operation is still under
/// way. So Asio reads into and writes from buffers that belong to the operation, at the price of one copy each way.
kj::Own<kj::AsyncIoStream> makeAsioStream(boost::asio::ip::tcp::socket socket);

} // namespace swiftloft::rpc
