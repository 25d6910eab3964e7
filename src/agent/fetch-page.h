#pragma once

#include <swiftloft/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace swiftloft::agent {

/// Body of a small page of the engine. Throws `boost::system::system_error`, with `beast::error::timeout` at `deadline`.
///
/// A fresh connection each time: a kept one can go silent while the engine is well, or outlive a restart unnoticed.
boost::asio::awaitable<std::string> fetchPage(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint engine, std::string target, TimePoint deadline);

} // namespace swiftloft::agent
