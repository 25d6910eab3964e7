#include "src/entry/request-reader.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace swiftloft::entry {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::size_t maxKeyLength = 200;
constexpr std::size_t maxNameLength = 128;
constexpr std::int64_t maxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t bytesPerToken = 4;
constexpr std::int64_t defaultMaxTokens = 256;
constexpr std::int64_t maxTokenLimit = 1'000'000;
constexpr std::size_t maxJsonDepth = 32;

std::string_view toStringView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

Error malformed(std::string_view where, std::string_view found, std::string_view expected)
{
    return { ErrorCode::MalformedInput, fmt::format("{} is '{}'; expected {}", where, found.substr(0, maxKeyLength), expected) };
}

bool isVisibleText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

std::optional<std::int64_t> toNumber(std::string_view text)
{
    std::int64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned n = 0; n < size; ++n)
        hex += fmt::format("{:02x}", digest[n]);
    return hex;
}

class Reader {
public:
    Reader(const ClientMessage& message, TimePoint now)
        : m_message(message)
        , m_now(now)
        , m_info(std::make_shared<RequestInfo>())
    {
    }

    Result<std::shared_ptr<const RequestInfo>> read()
    {
        readNames();
        readKey();
        readDeadline();
        readRepeatable();
        readAuthorisation();
        readTarget();
        auto& body = m_message.body();
        m_info->bodyHash = XXH3_64bits(body.data(), body.size());
        if (!m_error && isModelRequest())
            readModelBody(body);
        if (m_error)
            return *m_error;
        return std::shared_ptr<const RequestInfo>(m_info);
    }

private:
    std::string_view header(const char* name) const
    {
        auto it = m_message.find(name);
        return it == m_message.end() ? std::string_view() : toStringView(it->value());
    }

    void fail(std::string_view where, std::string_view found, std::string_view expected)
    {
        if (!m_error)
            m_error = malformed(where, found, expected);
    }

    std::string name(const char* headerName)
    {
        auto text = header(headerName);
        if (text.size() > maxNameLength || !isVisibleText(text))
            fail(headerName, text, "a name of at most 128 visible characters");
        return std::string(text);
    }

    void readNames()
    {
        m_info->method = std::string(m_message.method_string());
        m_info->service = ServiceName(name("Swiftloft-Service"));
        m_info->organisation = OrganisationName(name("Swiftloft-Organisation"));
    }

    void readKey()
    {
        if (m_message.find("Idempotency-Key") == m_message.end())
            return;
        auto text = header("Idempotency-Key");
        if (text.empty() || text.size() > maxKeyLength || !isVisibleText(text))
            return fail("Idempotency-Key", text, "1 to 200 visible characters");
        m_info->clientKey = RequestKey(std::string(text));
    }

    void readDeadline()
    {
        auto text = header("Swiftloft-Deadline-Ms");
        if (text.empty())
            return;
        auto n = toNumber(text);
        if (!n || *n < 1 || *n > maxDeadlineMs)
            return fail("Swiftloft-Deadline-Ms", text, "milliseconds from now, 1 to 86400000");
        m_info->deadline = m_now + milliseconds(*n);
    }

    void readRepeatable()
    {
        auto text = header("Swiftloft-Repeatable");
        if (text.empty())
            return;
        if (text != "yes" && text != "no")
            return fail("Swiftloft-Repeatable", text, "yes or no");
        m_info->isRepeatable = text == "yes";
    }

    void readAuthorisation()
    {
        constexpr std::string_view scheme = "Bearer ";
        auto text = header("Authorization");
        if (boost::algorithm::istarts_with(text, scheme))
            m_info->keyDigest = sha256Hex(text.substr(scheme.size()));
    }

    void readTarget()
    {
        auto target = toStringView(m_message.target());
        if (target.empty() || target[0] != '/')
            fail("the request target", target, "a path that begins with '/'");
    }

    bool isModelRequest() const
    {
        auto target = toStringView(m_message.target());
        auto path = target.substr(0, target.find('?'));
        return m_message.method() == http::verb::post && (path == "/v1/completions" || path == "/v1/chat/completions");
    }

    void readModelBody(const std::string& body)
    {
        json::parse_options options;
        options.max_depth = maxJsonDepth;
        json::error_code ec;
        auto value = json::parse(json::string_view(body.data(), body.size()), ec, {}, options);
        auto object = ec ? nullptr : value.if_object();
        if (!object)
            return fail("the body", ec ? ec.message() : "not an object", "a JSON object");
        readModelName(*object);
        readTokenLimit(*object);
        auto prompt = promptOf(*object);
        m_info->promptTokens = Tokens(static_cast<std::int64_t>(prompt.size()) / bytesPerToken + 1);
        auto salt = XXH3_64bits(m_info->service.value().data(), m_info->service.value().size());
        m_info->prefix = policy::prefixBlocks(prompt, salt, {});
    }

    void readModelName(const json::object& object)
    {
        auto model = object.if_contains("model");
        if (!model || !m_info->service.value().empty())
            return;
        if (!model->is_string() || model->get_string().size() > maxNameLength)
            return fail("\"model\"", json::serialize(*model), "a string of at most 128 characters");
        m_info->service = ServiceName(std::string(model->get_string()));
    }

    void readTokenLimit(const json::object& object)
    {
        m_info->expectedOutput = Tokens(defaultMaxTokens);
        auto limit = object.if_contains("max_tokens");
        if (!limit || limit->is_null())
            return;
        if (!limit->is_int64() || limit->get_int64() < 1 || limit->get_int64() > maxTokenLimit)
            return fail("\"max_tokens\"", json::serialize(*limit), "a whole number from 1 to 1000000");
        m_info->expectedOutput = Tokens(limit->get_int64());
    }

    static std::string promptOf(const json::object& object)
    {
        auto prompt = object.if_contains("prompt");
        if (prompt && prompt->is_string())
            return std::string(prompt->get_string());
        auto messages = object.if_contains("messages");
        if (!messages || !messages->is_array())
            return "";
        std::string text;
        for (auto& message : messages->get_array())
            text += json::serialize(message);
        return text;
    }

    const ClientMessage& m_message;
    TimePoint m_now;
    std::shared_ptr<RequestInfo> m_info;
    std::optional<Error> m_error;
};

} // namespace

Result<std::shared_ptr<const RequestInfo>> readRequest(const ClientMessage& message, TimePoint now)
{
    return Reader(message, now).read();
}

} // namespace swiftloft::entry
