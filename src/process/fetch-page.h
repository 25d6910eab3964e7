#pragma once

#include <swiftloft/units.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace swiftloft::process {

/// Body of a small page of another process. An answer other than 200 throws `Exception` with `Refused`. Throws `boost::system::system_error`, with `beast::error::timeout` at `deadline`.
///
/// A fresh connection each time: a kept one can go silent while its process is well, or outlive a restart unnoticed.
boost::asio::awaitable<std::string> fetchPage(boost::asio::io_context& ioContext, boost::asio::ip::tcp::endpoint server, std::string target, TimePoint deadline);

} // namespace swiftloft::process
