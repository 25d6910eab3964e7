#include "src/process/response-head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <iterator>

namespace swiftloft::process {

namespace http = boost::beast::http;

namespace {

constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;
constexpr unsigned minFinalStatus = 200;
constexpr unsigned httpVersion11 = 11;

} // namespace

boost::system::error_code checkResponseHead(const http::response_header<>& head)
{
    auto status = head.result_int();
    if (status < minStatus || status > maxStatus || head.result() == http::status::switching_protocols)
        return http::error::bad_status;
    auto [coding, end] = head.equal_range(http::field::transfer_encoding);
    if (coding == end)
        return {};
    const http::opt_token_list codings(coding->value());
    bool isSingle = std::next(coding) == end && http::validate_list(codings) && std::distance(codings.begin(), codings.end()) == 1;
    bool isChunked = isSingle && boost::beast::iequals(*codings.begin(), "chunked");
    if (!isChunked || head.version() != httpVersion11)
        return http::error::bad_transfer_encoding;
    return {};
}

bool isInterim(unsigned status)
{
    return status < minFinalStatus;
}

bool isInvalidResponse(const boost::system::error_code& ec)
{
    bool isIncomplete = ec == http::error::end_of_stream || ec == http::error::partial_message;
    return ec.category() == http::make_error_code(http::error::bad_status).category() && !isIncomplete;
}

} // namespace swiftloft::process
