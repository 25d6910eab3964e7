#include "src/replay/answer-check.h"

#include "standin/answer-text.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::replay {

namespace json = boost::json;

namespace {

constexpr int firstErrorStatus = 400;

std::string field(const HttpHead& head, std::string_view name)
{
    auto it = head.find(boost::beast::string_view(name.data(), name.size()));
    return it == head.end() ? std::string() : std::string(it->value().data(), it->value().size());
}

std::string promptOf(const TraceRequest& request)
{
    if (!request.prompt)
        return {};
    auto text = promptText(*request.prompt);
    return request.path == "/v1/chat/completions" ? standin::chatMessageText("user", text) : text;
}

Refusal refusalIn(const json::object& object)
{
    Refusal refusal;
    if (auto* reason = object.if_contains("reason"); reason && reason->is_number())
        refusal.number = reason->to_number<int>();
    if (auto* name = object.if_contains("name"); name && name->is_string())
        refusal.name = json::value_to<std::string>(*name);
    return refusal;
}

std::string textOfChoice(const json::value& answer)
{
    auto& choice = answer.as_object().at("choices").as_array().at(0).as_object();
    if (auto* text = choice.if_contains("text"))
        return json::value_to<std::string>(*text);
    auto* message = choice.if_contains("delta") ? choice.if_contains("delta") : choice.if_contains("message");
    return message ? json::value_to<std::string>(message->as_object().at("content")) : std::string();
}

} // namespace

std::string_view toString(Fate fate)
{
    switch (fate) {
    case Fate::Answered:
        return "answered";
    case Fate::Refused:
        return "refused";
    case Fate::Lost:
        return "lost";
    }
    return "unknown";
}

AnswerCheck::AnswerCheck(const TraceRequest& request, std::string body, bool needsVerdict)
    : m_request(request)
    , m_body(std::move(body))
    , m_needsVerdict(needsVerdict)
    , m_hash(standin::promptHash(promptOf(request)))
    , m_parser([this](const SseEvent& event) { onEvent(event); })
{
}

void AnswerCheck::onBody(std::string_view piece, TimePoint at)
{
    if (!m_request.isStream)
        return;
    m_pieceAt = at;
    m_parser.feed(piece);
}

void AnswerCheck::onEvent(const SseEvent& event)
{
    if (event.name == "swiftloft")
        takeFinal(event);
    else if (event.data == "[DONE]")
        m_isDone = true;
    else if (m_streamProblem.empty())
        takeToken(event);
}

void AnswerCheck::takeToken(const SseEvent& event)
{
    try {
        auto text = textOfChoice(json::parse(event.data));
        auto expected = standin::answerToken(m_nextToken, m_hash);
        if (text != expected)
            m_streamProblem = fmt::format("token {} is '{}', not '{}'", m_nextToken, text, expected);
        ++m_nextToken;
        m_tokensAt.push_back(m_pieceAt);
    } catch (const std::exception&) {
        m_streamProblem = fmt::format("event after token {} can't be read", m_nextToken);
    }
}

void AnswerCheck::takeFinal(const SseEvent& event)
{
    try {
        auto object = json::parse(event.data).as_object();
        m_finalVerdict = verdictFromString(json::value_to<std::string>(object.at("verdict")));
        m_finalRefusal = refusalIn(object);
    } catch (const std::exception&) {
        m_streamProblem = "the event with the verdict can't be read";
    }
}

void AnswerCheck::readHead(const HttpHead& head, Record& record) const
{
    record.status = static_cast<int>(head.result_int());
    record.requestId = field(head, "Swiftloft-Request-Id");
    record.backendServer = field(head, "Swiftloft-Backend-Server");
    record.verdict = verdictFromString(field(head, "Swiftloft-Verdict"));
    if (m_finalVerdict)
        record.verdict = m_finalVerdict;
}

void AnswerCheck::readRefusal(const std::string& body, Record& record) const
{
    boost::system::error_code ec;
    auto value = json::parse(body, ec);
    if (!ec && value.is_object())
        record.refusal = refusalIn(value.as_object());
}

void AnswerCheck::conclude(const ExchangeResult& result, Record& record)
{
    record.doneAt = result.doneAt;
    record.firstByteAt = m_tokensAt.empty() ? result.firstByteAt : m_tokensAt.front();
    record.tokensAt = m_tokensAt;
    record.tokens = m_nextToken;
    record.fate = Fate::Lost;
    if (result.hasHead())
        readHead(result.head, record);
    if (result.end != ExchangeEnd::Whole) {
        // A cut stream whose last event gave verdict and reason was given up honestly.
        auto wasTold = m_finalVerdict && m_finalRefusal.number != 0;
        record.refusal = m_finalRefusal;
        record.fate = wasTold ? Fate::Refused : Fate::Lost;
        record.problem = wasTold ? std::string() : fmt::format("{} after {} tokens", result.failure, m_nextToken);
        return;
    }
    if (m_needsVerdict && !record.verdict) {
        record.problem = "no verdict";
        return;
    }
    if (record.status >= firstErrorStatus) {
        readRefusal(result.body, record);
        record.fate = record.refusal.number != 0 || !m_needsVerdict ? Fate::Refused : Fate::Lost;
        record.problem = record.fate == Fate::Lost ? fmt::format("status {} without a reason", record.status) : std::string();
        return;
    }
    if (m_finalRefusal.number != 0) {
        record.refusal = m_finalRefusal;
        record.fate = Fate::Refused;
        return;
    }
    record.problem = problemOfAnswer(result);
    if (!m_request.isStream)
        record.tokens = m_request.maxTokens;
    record.fate = record.problem.empty() ? Fate::Answered : Fate::Lost;
}

std::string AnswerCheck::problemOfAnswer(const ExchangeResult& result) const
{
    if (m_request.kind == BackendKind::Plain)
        return problemOfPlainBody(result.body);
    return m_request.isStream ? problemOfStream() : problemOfModelBody(result.body);
}

std::string AnswerCheck::problemOfStream() const
{
    if (!m_streamProblem.empty())
        return m_streamProblem;
    if (!m_isDone || m_parser.isInsideEvent())
        return fmt::format("the stream looks whole but has no end mark after {} tokens", m_nextToken);
    if (m_nextToken != m_request.maxTokens)
        return fmt::format("{} tokens of {}", m_nextToken, m_request.maxTokens);
    if (m_needsVerdict && !m_finalVerdict)
        return "no verdict at the end of the stream";
    return {};
}

std::string AnswerCheck::problemOfModelBody(const std::string& body) const
{
    try {
        if (textOfChoice(json::parse(body)) == standin::answerText(0, m_request.maxTokens, m_hash))
            return {};
        return "the answer is not the one to this prompt";
    } catch (const std::exception&) {
        return "the answer can't be read";
    }
}

std::string AnswerCheck::problemOfPlainBody(const std::string& body) const
{
    try {
        auto echo = json::parse(body).as_object();
        if (json::value_to<std::string>(echo.at("path")) != m_request.path)
            return "the answer is to another path";
        if (json::value_to<std::string>(echo.at("method")) != m_request.method)
            return "the answer is to another method";
        if (json::value_to<std::string>(echo.at("body")) != m_body)
            return "the answer is to another body";
        return {};
    } catch (const std::exception&) {
        return "the answer can't be read";
    }
}

} // namespace swiftloft::replay
