#include "src/entry/answer-writer.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace swiftloft::entry {

namespace http = boost::beast::http;

namespace {

constexpr unsigned httpVersion11 = 11;

std::string_view toStd(boost::beast::string_view text)
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

AnswerWriter::AnswerWriter(Options options)
    : m_options(std::move(options))
    , m_keepsAlive(m_options.keepsAlive && !m_options.asksAgain)
{
}

void AnswerWriter::add(const Piece& piece, std::string& out)
{
    if (auto head = std::get_if<AnswerHead>(&piece))
        addHead(*head, out);
    else if (auto data = std::get_if<AnswerData>(&piece))
        addData(data->bytes, out);
    else if (std::holds_alternative<AnswerEnd>(piece))
        addEnd(out);
    else if (auto cut = std::get_if<AnswerCut>(&piece))
        addCut(*cut, out);
    else
        addOwn(std::get<OwnAnswer>(piece), out);
}

void AnswerWriter::addHead(const AnswerHead& head, std::string& out)
{
    http::response<http::empty_body> response(static_cast<http::status>(head.status), m_options.httpVersion);
    for (auto& field : head.fields)
        response.insert(field.name(), field.name_string(), field.value());
    response.set("Swiftloft-Request-Id", m_options.requestId);
    response.set("Swiftloft-Verdict", std::string(toString(Verdict::Ran)));
    response.set("Swiftloft-Backend-Server", head.server.value());
    response.set("Swiftloft-Entry", m_options.entry);
    if (m_options.asksAgain)
        response.set("Swiftloft-Ask-Again", "yes");
    m_isEventStream = toStd(response[http::field::content_type]).starts_with("text/event-stream");
    auto hasLength = response.find(http::field::content_length) != response.end();
    m_isChunked = !hasLength && m_options.httpVersion >= httpVersion11;
    if (m_isChunked)
        response.chunked(true);
    if (!hasLength && !m_isChunked)
        m_keepsAlive = false;
    response.keep_alive(m_keepsAlive);
    appendHeader(response, out);
}

void AnswerWriter::addData(std::string_view bytes, std::string& out) const
{
    if (m_options.isHeadRequest || bytes.empty())
        return;
    if (m_isChunked)
        append(http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size())), out);
    else
        out.append(bytes);
}

void AnswerWriter::addEnd(std::string& out)
{
    addLastEvent(R"({"verdict":"ran"})", "", out);
    if (m_isChunked && !m_options.isHeadRequest)
        append(http::make_chunk_last(), out);
    m_isDone = true;
}

void AnswerWriter::addCut(const AnswerCut& cut, std::string& out)
{
    // An answer may have been cut inside an event; the empty line ends that one first.
    addLastEvent(toJson(cut.refusal), "\n\n", out);
    m_keepsAlive = false;
    m_isDone = true;
}

void AnswerWriter::addLastEvent(std::string_view json, std::string_view before, std::string& out) const
{
    if (!m_isEventStream || !m_isChunked)
        return;
    while (json.ends_with('\n'))
        json.remove_suffix(1);
    addData(fmt::format("{}event: swiftloft\ndata: {}\n\n", before, json), out);
}

void AnswerWriter::addOwn(const OwnAnswer& answer, std::string& out)
{
    http::response<http::empty_body> response(static_cast<http::status>(answer.status), m_options.httpVersion);
    for (auto& field : answer.fields)
        response.insert(field.name(), field.name_string(), field.value());
    response.set("Swiftloft-Request-Id", m_options.requestId);
    response.set("Swiftloft-Entry", m_options.entry);
    if (m_options.asksAgain)
        response.set("Swiftloft-Ask-Again", "yes");
    response.content_length(answer.body.size());
    response.keep_alive(m_keepsAlive);
    appendHeader(response, out);
    if (!m_options.isHeadRequest)
        out.append(answer.body);
    m_isDone = true;
}

} // namespace swiftloft::entry
