#include "src/entry/request-reader.h"

#include "src/entry/model-body.h"

#include <boost/algorithm/string/predicate.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace swiftloft::entry {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t maxKeyLength = 200;
constexpr std::size_t maxNameLength = 128;
constexpr std::int64_t maxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t bytesPerToken = 4;
constexpr std::int64_t defaultMaxTokens = 256;
constexpr std::int64_t maxTokenLimit = 1'000'000;

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
            readModel(body);
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

    void readModel(const std::string& text)
    {
        auto body = readModelBody(text);
        if (!body) {
            m_error = body.error();
            return;
        }
        if (m_info->service.value().empty()) {
            if (!body->modelProblem.empty())
                m_error = Error { ErrorCode::MalformedInput, body->modelProblem };
            auto model = body->model.value_or("");
            if (model.size() > maxNameLength)
                return fail("\"model\"", model, "a string of at most 128 characters");
            m_info->service = ServiceName(model);
        }
        auto limit = body->maxTokens.value_or(defaultMaxTokens);
        if (limit < 1 || limit > maxTokenLimit)
            return fail("\"max_tokens\"", std::to_string(limit), "a whole number from 1 to 1000000");
        m_info->expectedOutput = Tokens(limit);
        m_info->promptTokens = Tokens(static_cast<std::int64_t>(body->prompt.size()) / bytesPerToken + 1);
        auto salt = XXH3_64bits(m_info->service.value().data(), m_info->service.value().size());
        m_info->prefix = policy::prefixBlocks(body->prompt, salt, {});
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
