#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

/// Validity of the heads of HTTP/1.1 responses, as far as the parser in use leaves it to its callers.
namespace swiftloft::process {

/// Returns `http::error::bad_status` for a status code outside 100 to 599 (RFC 9110, section 15), and for a switch of protocols,
/// which swiftloft's requests never ask for. The parser accepts any three digits.
///
/// Returns `http::error::bad_transfer_encoding` for any transfer coding but a single `chunked` of HTTP/1.1 (RFC 9112, section 6.1).
/// The parser takes the bytes of other codings for the body.
boost::system::error_code checkResponseHead(const boost::beast::http::response_header<>& head);

/// Number of interim responses before one final response beyond which it is given up.
inline constexpr int maxInterimResponses = 8;

/// True for a response that precedes the final one (RFC 9110, section 15.2); only for a valid head.
bool isInterim(unsigned status);

/// True if a response could not be read because its bytes are not valid HTTP, and false if they are incomplete or did not arrive.
bool isInvalidResponse(const boost::system::error_code& ec);

} // namespace swiftloft::process
