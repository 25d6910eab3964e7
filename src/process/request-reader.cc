#include "src/process/request-reader.h"

#include "src/process/http-limits.h"

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace swiftloft::process {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

constexpr std::size_t headReadBytes = 4096;
constexpr std::size_t bodyReadBytes = 16384;
/// What a parsed field takes beside its name and value.
constexpr std::size_t fieldBytes = 96;

ReadError readErrorFrom(const boost::system::error_code& ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return ReadError::HeaderTooLarge;
    if (ec == http::error::body_limit)
        return ReadError::BodyTooLarge;
    if (ec == beast::error::timeout)
        return ReadError::TooSlow;
    bool isBroken = ec.category() == asio::error::get_system_category() || ec.category() == asio::error::get_misc_category();
    return isBroken ? ReadError::Closed : ReadError::Malformed;
}

} // namespace

unsigned statusOf(ReadError error)
{
    switch (error) {
    case ReadError::HeaderTooLarge:
        return 431;
    case ReadError::BodyTooLarge:
        return 413;
    case ReadError::TooSlow:
        return 408;
    case ReadError::NoMemory:
        return 503;
    default:
        return 400;
    }
}

std::string_view toString(ReadError error)
{
    switch (error) {
    case ReadError::None:
        return "none";
    case ReadError::Closed:
        return "closed";
    case ReadError::Malformed:
        return "unreadable";
    case ReadError::HeaderTooLarge:
        return "header-too-large";
    case ReadError::BodyTooLarge:
        return "body-too-large";
    case ReadError::TooSlow:
        return "too-slow";
    case ReadError::NoMemory:
        return "no-memory";
    }
    return "unknown";
}

/// Parses a request whose body grows with the bytes that come, not with the length that is announced.
class RequestReader::Parser {
public:
    explicit Parser(const ReadLimits& limits)
        : m_maxBodyBytes(limits.maxBodyBytes)
    {
        m_parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        m_parser.body_limit(limits.maxBodyBytes);
    }

    bool isHeadDone() const { return m_parser.is_header_done(); }
    bool isDone() const { return m_parser.is_done(); }
    auto& head() { return m_parser.get().base(); }
    /// What the parsed part of the request takes.
    std::size_t bytes() const { return m_headBytes + m_body.capacity(); }

    /// Parses the bytes of the buffer, the head or else the body. Fails with `need_more` if they end before.
    void parse(beast::flat_buffer& buffer, bool isHead, boost::system::error_code& ec)
    {
        std::array<char, bodyReadBytes> part;
        ec = {};
        while (!ec && !(isHead ? isHeadDone() : isDone())) {
            if (buffer.size() == 0) {
                ec = http::error::need_more;
                break;
            }
            auto& body = m_parser.get().body();
            body.data = part.data();
            body.size = part.size();
            body.more = true;
            buffer.consume(m_parser.put(buffer.data(), ec));
            if (ec == http::error::need_buffer)
                ec = {};
            append({ part.data(), part.size() - body.size });
        }
        if (isHeadDone() && m_headBytes == 0)
            countHead();
    }

    ClientRequest release()
    {
        ClientRequest request(std::move(m_parser.get().base()));
        request.body() = std::move(m_body);
        return request;
    }

private:
    void append(std::string_view bytes)
    {
        auto size = m_body.size() + bytes.size();
        if (size > m_body.capacity()) {
            auto max = m_parser.content_length() ? *m_parser.content_length() : m_maxBodyBytes;
            m_body.reserve(std::max<std::size_t>(size, std::min<std::size_t>(max, size + size / 2)));
        }
        m_body.append(bytes);
    }

    void countHead()
    {
        for (auto& field : head())
            m_headBytes += field.name_string().size() + field.value().size() + fieldBytes;
        m_headBytes += head().target().size();
    }

    http::request_parser<http::buffer_body> m_parser;
    std::string m_body;
    std::size_t m_headBytes { 0 };
    std::size_t m_maxBodyBytes;
};

RequestReader::RequestReader(beast::tcp_stream& stream, ClientBounds& bounds, std::function<void()> closeNow)
    : m_stream(stream)
    , m_closeNow(std::move(closeNow))
    , m_share(bounds, [this](auto needed) { onMakingWay(needed); })
{
}

void RequestReader::onMakingWay(ClientBounds::Needed needed)
{
    m_needed = needed;
    if (needed == ClientBounds::Needed::Connection || !m_isReading)
        m_closeNow();
    else
        m_stream.cancel();
}

asio::awaitable<bool> RequestReader::waitForRequest(TimePoint deadline)
{
    release();
    m_share.startReading(Clock::now());
    if (m_buffer.size() > 0)
        co_return true;
    m_buffer.max_size(headReadBytes);
    boost::system::error_code ec;
    m_stream.expires_at(deadline);
    auto n = co_await m_stream.async_read_some(m_buffer.prepare(headReadBytes), redirect_error(use_awaitable, ec));
    m_buffer.commit(n);
    co_return !ec && !m_needed;
}

asio::awaitable<ReadError> RequestReader::readPart(Parser& parser, bool isHead)
{
    for (;;) {
        boost::system::error_code ec;
        parser.parse(m_buffer, isHead, ec);
        if (!m_share.resize(Clock::now(), m_buffer.capacity() + parser.bytes()))
            co_return ReadError::NoMemory;
        if (!ec)
            co_return ReadError::None;
        if (ec != http::error::need_more)
            co_return readErrorFrom(ec);
        auto size = std::min(isHead ? headReadBytes : bodyReadBytes, m_buffer.max_size() - m_buffer.size());
        if (size == 0)
            co_return ReadError::HeaderTooLarge;
        auto n = co_await m_stream.async_read_some(m_buffer.prepare(size), redirect_error(use_awaitable, ec));
        m_buffer.commit(n);
        if (m_needed)
            co_return *m_needed == ClientBounds::Needed::Connection ? ReadError::Closed : ReadError::NoMemory;
        if (ec)
            co_return readErrorFrom(ec);
    }
}

asio::awaitable<ReadError> RequestReader::read(const ReadLimits& limits, ClientRequest& request)
{
    m_buffer.max_size(std::max(limits.maxHeaderBytes + maxUnparsedBytes, m_buffer.size()));
    Parser parser(limits);
    m_isReading = true;
    m_stream.expires_at(std::min<TimePoint>(Clock::now() + limits.headerTimeout, limits.deadline));
    auto error = co_await readPart(parser, true);
    if (error == ReadError::None && !parser.isDone()) {
        boost::system::error_code ec;
        if (m_buffer.size() == 0 && parser.head()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> interim(http::status::continue_, parser.head().version());
            co_await http::async_write(m_stream, interim, redirect_error(use_awaitable, ec));
        }
        m_stream.expires_at(std::min<TimePoint>(Clock::now() + limits.bodyTimeout, limits.deadline));
        if (!ec)
            error = co_await readPart(parser, false);
        else
            error = readErrorFrom(ec);
    }
    m_isReading = false;
    m_share.startProgress();
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    if (error != ReadError::None) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        release();
        co_return error;
    }
    request = parser.release();
    co_return error;
}

void RequestReader::release()
{
    hold(0);
}

bool RequestReader::hold(std::size_t bytes)
{
    return m_share.resize(Clock::now(), m_buffer.capacity() + bytes);
}

asio::awaitable<void> closeInOrder(beast::tcp_stream& stream, TimePoint deadline)
{
    std::array<char, headReadBytes> discarded;
    boost::system::error_code ec;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    stream.expires_at(deadline);
    while (!ec)
        co_await stream.async_read_some(asio::buffer(discarded), redirect_error(use_awaitable, ec));
}

} // namespace swiftloft::process
