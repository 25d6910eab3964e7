#include "src/entry/response-writer.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace swiftloft::entry {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion11 = 11;

std::string_view toStringView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

template <typename Buffers>
void append(const Buffers& buffers, std::string& out)
{
    for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers); ++it) {
        boost::asio::const_buffer buf(*it);
        out.append(static_cast<const char*>(buf.data()), buf.size());
    }
}

void appendHeader(http::response<http::empty_body>& response, std::string& out)
{
    http::response_serializer<http::empty_body> serializer(response);
    serializer.split(true);
    while (!serializer.is_header_done()) {
        boost::system::error_code ec;
        serializer.next(ec, [&](boost::system::error_code&, const auto& buffers) {
            append(buffers, out);
            serializer.consume(boost::asio::buffer_size(buffers));
        });
        if (ec)
            throw boost::system::system_error(ec);
    }
}

} // namespace

ResponseWriter::ResponseWriter(Options options)
    : m_options(std::move(options))
    , m_keepsAlive(m_options.keepsAlive && !m_options.isEntryLeaving)
{
}

void ResponseWriter::add(const ResponsePart& part, std::string& out)
{
    if (auto head = std::get_if<ResponseHead>(&part))
        addHead(*head, out);
    else if (auto data = std::get_if<ResponseData>(&part))
        addData(data->bytes, out);
    else if (std::holds_alternative<ResponseEnd>(part))
        addEnd(out);
    else if (auto abort = std::get_if<ResponseAbort>(&part))
        addAbort(*abort, out);
    else
        addLocalResponse(std::get<LocalResponse>(part), out);
}

void ResponseWriter::addHead(const ResponseHead& head, std::string& out)
{
    http::response<http::empty_body> response(static_cast<http::status>(head.status), m_options.httpVersion);
    for (auto& field : head.fields)
        response.insert(field.name(), field.name_string(), field.value());
    response.set("Swiftloft-Request-Id", m_options.requestId);
    response.set("Swiftloft-Verdict", std::string(toString(Verdict::Ran)));
    response.set("Swiftloft-Backend-Server", head.server.value());
    response.set("Swiftloft-Entry", m_options.entry);
    if (m_options.isEntryLeaving)
        response.set("Swiftloft-Ask-Again", "yes");
    m_isEventStream = toStringView(response[http::field::content_type]).starts_with("text/event-stream");
    auto hasLength = response.find(http::field::content_length) != response.end();
    m_isChunked = !hasLength && m_options.httpVersion >= httpVersion11;
    if (m_isChunked)
        response.chunked(true);
    if (!hasLength && !m_isChunked)
        m_keepsAlive = false;
    response.keep_alive(m_keepsAlive);
    appendHeader(response, out);
}

void ResponseWriter::addData(std::string_view bytes, std::string& out) const
{
    if (m_options.isHeadRequest || bytes.empty())
        return;
    if (m_isChunked)
        append(http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size())), out);
    else
        out.append(bytes);
}

void ResponseWriter::addEnd(std::string& out)
{
    addLastEvent(R"({"verdict":"ran"})", "", out);
    if (m_isChunked && !m_options.isHeadRequest)
        append(http::make_chunk_last(), out);
    m_isDone = true;
}

void ResponseWriter::addAbort(const ResponseAbort& abort, std::string& out)
{
    // The response may have been aborted in the middle of an event. The empty line ends that event before the last
    // event is written.
    addLastEvent(toJson(abort.refusal), "\n\n", out);
    m_keepsAlive = false;
    m_isDone = true;
}

void ResponseWriter::addLastEvent(std::string_view json, std::string_view before, std::string& out) const
{
    if (!m_isEventStream || !m_isChunked)
        return;
    while (json.ends_with('\n'))
        json.remove_suffix(1);
    addData(fmt::format("{}event: swiftloft\ndata: {}\n\n", before, json), out);
}

void ResponseWriter::addLocalResponse(const LocalResponse& local, std::string& out)
{
    http::response<http::empty_body> response(static_cast<http::status>(local.status), m_options.httpVersion);
    for (auto& field : local.fields)
        response.insert(field.name(), field.name_string(), field.value());
    response.set("Swiftloft-Request-Id", m_options.requestId);
    response.set("Swiftloft-Entry", m_options.entry);
    if (m_options.isEntryLeaving)
        response.set("Swiftloft-Ask-Again", "yes");
    response.content_length(local.body.size());
    response.keep_alive(m_keepsAlive);
    appendHeader(response, out);
    if (!m_options.isHeadRequest)
        out.append(local.body);
    m_isDone = true;
}

} // namespace swiftloft::entry
