#include "src/replay/sender.h"

#include "src/replay/answer-check.h"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <xxhash.h>

namespace swiftloft::replay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned http11 = 11;
/// How long past its deadline a caller still waits for the answer that says so.
constexpr seconds grace { 3 };

std::string modelBody(const TraceRequest& request)
{
    json::object body;
    auto prompt = promptText(*request.prompt);
    if (request.path == "/v1/chat/completions") {
        json::object message { { "role", "user" }, { "content", prompt } };
        body["messages"] = json::array { message };
    } else {
        body["prompt"] = prompt;
    }
    body["max_tokens"] = request.maxTokens;
    body["stream"] = request.isStream;
    return json::serialize(body);
}

std::string bodyOf(const TraceRequest& request)
{
    if (request.kind == BackendKind::Model)
        return modelBody(request);
    return request.prompt ? promptText(*request.prompt) : std::string();
}

bool mayResend(const TraceRequest& request)
{
    return request.isRepeatable || !request.key.value().empty();
}

} // namespace

Sender::Sender(asio::io_context& io, SenderOptions options)
    : m_options(std::move(options))
    , m_client(io)
{
}

AddressBook& Sender::book(const ServiceName& service)
{
    auto& book = m_books[service];
    if (!book)
        book = std::make_unique<AddressBook>(m_client, service, m_options.seeds, m_options.isDirect);
    return *book;
}

Sender::Message Sender::messageOf(const TraceRequest& request) const
{
    Message message;
    message.body = bodyOf(request);
    message.http = std::make_shared<HttpRequest>();
    auto& to = *message.http;
    to.version(http11);
    to.method_string(request.method);
    to.target(request.path);
    to.set(http::field::host, request.service.value());
    to.set("Swiftloft-Service", request.service.value());
    to.set("Swiftloft-Organisation", request.organisation.value());
    to.set("Swiftloft-Deadline-Ms", std::to_string(request.allowed.count()));
    to.set("Swiftloft-Repeatable", request.isRepeatable ? "yes" : "no");
    if (!request.key.value().empty())
        to.set("Idempotency-Key", request.key.value());
    if (m_options.isDirect && !request.key.value().empty())
        to.set("Swiftloft-Request-Key", request.key.value());
    if (request.kind == BackendKind::Model)
        to.set(http::field::content_type, "application/json");
    to.body() = message.body;
    to.prepare_payload();
    return message;
}

asio::awaitable<void> Sender::send(std::shared_ptr<Record> record)
{
    auto& request = record->request;
    auto message = messageOf(request);
    record->fingerprint = XXH64(message.body.data(), message.body.size(), 0);
    record->sentAt = Clock::now();
    auto deadline = record->sentAt + request.allowed + grace;
    auto& addressBook = book(request.service);
    int resendsLeft = mayResend(request) ? m_options.mostResends : 0;
    record->problem = "no entry gave addresses";
    auto addresses = co_await addressBook.addresses();
    for (auto& address : addresses) {
        auto end = co_await attempt(record, message, address, deadline, addressBook);
        if (end == ExchangeEnd::Whole || record->fate == Fate::Refused || Clock::now() >= deadline)
            break;
        addressBook.reportFailure(address);
        // Nothing was sent to an address that takes no connection, so going on to the next is no resend.
        if (end != ExchangeEnd::NotConnected && resendsLeft-- == 0)
            break;
    }
    record->doneAt = Clock::now();
}

asio::awaitable<ExchangeEnd> Sender::attempt(std::shared_ptr<Record> record, const Message& message, const std::string& address, TimePoint deadline, AddressBook& addressBook)
{
    AnswerCheck check(record->request, message.body, !m_options.isDirect);
    OnBody onBody = [&check](std::string_view piece, TimePoint at) { check.onBody(piece, at); };
    auto result = co_await m_client.exchange(address, message.http, deadline, onBody);
    record->entry = address;
    if (result.end != ExchangeEnd::NotConnected)
        ++record->sends;
    if (result.head["Swiftloft-Ask-Again"] == "yes")
        addressBook.askAgain();
    check.conclude(result, *record);
    co_return result.end;
}

} // namespace swiftloft::replay
