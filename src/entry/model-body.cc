#include "src/entry/model-body.h"

#include <boost/json/basic_parser_impl.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace swiftloft::entry {

namespace json = boost::json;

namespace {

constexpr std::size_t maxJsonDepth = 32;
/// A longer name of a model is cut, and refused by its reader.
constexpr std::size_t maxModelLength = 256;

std::string_view toStringView(json::string_view text)
{
    return { text.data(), text.size() };
}

/// Takes the events of the parser. Depth 1 is inside of the body's object.
class Handler {
public:
    // Boost.JSON asks for these names.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = std::size_t(-1);
    static constexpr std::size_t max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1);
    static constexpr std::size_t max_string_size = std::size_t(-1);

    bool on_document_begin(json::error_code&) { return true; }
    bool on_document_end(json::error_code&) { return true; }
    bool on_object_begin(json::error_code&)
    {
        if (m_depth == 0)
            m_isObject = true;
        return onBegin('{', "an object");
    }
    bool on_object_end(std::size_t, json::error_code&) { return onEnd('}'); }
    bool on_array_begin(json::error_code&)
    {
        return onBegin('[', "an array");
    }
    bool on_array_end(std::size_t, json::error_code&) { return onEnd(']'); }
    bool on_key_part(json::string_view text, std::size_t, json::error_code&) { return onKeyPart(text); }
    bool on_key(json::string_view text, std::size_t, json::error_code&)
    {
        onKeyPart(text);
        if (m_depth == 1)
            startField();
        else if (isInMessages())
            m_messages += "\":";
        m_key.clear();
        m_isInKey = false;
        return true;
    }
    bool on_string_part(json::string_view text, std::size_t, json::error_code&) { return onStringPart(text); }
    bool on_string(json::string_view text, std::size_t, json::error_code&)
    {
        onStringPart(text);
        m_isInString = false;
        if (isInMessages())
            m_messages += "\",";
        else if (m_depth == 1 && m_field == Field::MaxTokens)
            refuse("a string");
        return true;
    }
    bool on_number_part(json::string_view text, json::error_code&)
    {
        if (isInMessages())
            m_messages += toStringView(text);
        return true;
    }
    bool on_int64(std::int64_t number, json::string_view text, json::error_code&)
    {
        if (m_depth == 1 && m_field == Field::MaxTokens)
            m_body.maxTokens = number;
        else
            refuse("a number");
        return onScalar(text);
    }
    bool on_uint64(std::uint64_t, json::string_view text, json::error_code&)
    {
        refuse("a number that is too large");
        return onScalar(text);
    }
    bool on_double(double, json::string_view text, json::error_code&)
    {
        refuse("a number that is not whole");
        return onScalar(text);
    }
    bool on_bool(bool value, json::error_code&)
    {
        refuse("a truth value");
        return onScalar(value ? "true" : "false");
    }
    bool on_null(json::error_code&)
    {
        if (m_field == Field::Model)
            refuse("null");
        return onScalar("null");
    }
    bool on_comment_part(json::string_view, json::error_code&) { return true; }
    bool on_comment(json::string_view, json::error_code&) { return true; }
    // NOLINTEND(readability-identifier-naming)

    Result<ModelBody> result()
    {
        if (!m_isObject)
            return Error { ErrorCode::MalformedInput, "the body is 'not an object'; expected a JSON object" };
        if (!m_problem.empty())
            return Error { ErrorCode::MalformedInput, m_problem };
        if (!m_prompt)
            m_body.prompt = std::move(m_messages);
        else
            m_body.prompt = std::move(*m_prompt);
        return std::move(m_body);
    }

private:
    enum class Field { Other,
        Model,
        MaxTokens,
        Prompt,
        Messages };

    static Field fieldOf(std::string_view key)
    {
        if (key == "model")
            return Field::Model;
        if (key == "max_tokens")
            return Field::MaxTokens;
        if (key == "prompt")
            return Field::Prompt;
        return key == "messages" ? Field::Messages : Field::Other;
    }

    bool isInMessages() const { return m_depth >= 2 && m_field == Field::Messages && m_isArray; }

    void startField()
    {
        m_field = fieldOf(m_key);
        if (m_field == Field::Model)
            m_body.modelProblem.clear();
        if (m_field == Field::Prompt)
            m_prompt.reset();
        if (m_field == Field::Messages)
            m_messages.clear();
    }

    /// The value of a field of the body has the wrong type, if its type matters.
    void refuse(std::string_view found)
    {
        if (m_depth != 1)
            return;
        if (m_field == Field::Model)
            m_body.modelProblem = fmt::format("\"model\" is {}; expected a string of at most 128 characters", found);
        if (m_field == Field::MaxTokens)
            m_problem = fmt::format("\"max_tokens\" is {}; expected a whole number from 1 to 1000000", found);
    }

    bool onBegin(char begin, std::string_view type)
    {
        refuse(type);
        if (isInMessages())
            m_messages += begin;
        if (m_depth == 1)
            m_isArray = begin == '[';
        ++m_depth;
        return true;
    }

    bool onEnd(char end)
    {
        --m_depth;
        if (!isInMessages())
            return true;
        if (m_messages.ends_with(','))
            m_messages.pop_back();
        m_messages += end;
        // The texts of the messages follow one another.
        if (m_depth > 2)
            m_messages += ',';
        return true;
    }

    bool onKeyPart(json::string_view text)
    {
        if (isInMessages()) {
            if (!std::exchange(m_isInKey, true))
                m_messages += '"';
            m_messages += toStringView(text);
        } else if (m_depth == 1 && m_key.size() <= maxKeyLength)
            m_key += toStringView(text).substr(0, maxKeyLength + 1);
        return true;
    }

    bool onStringPart(json::string_view text)
    {
        bool isFirst = !std::exchange(m_isInString, true);
        if (isInMessages()) {
            if (isFirst)
                m_messages += '"';
            m_messages += toStringView(text);
        }
        if (m_depth != 1)
            return true;
        if (m_field == Field::Prompt)
            (isFirst ? m_prompt.emplace() : *m_prompt) += toStringView(text);
        if (m_field == Field::Model) {
            auto& model = isFirst ? m_body.model.emplace() : *m_body.model;
            model += toStringView(text).substr(0, maxModelLength - std::min(maxModelLength, model.size()));
        }
        return true;
    }

    bool onScalar(json::string_view text)
    {
        if (isInMessages()) {
            m_messages += toStringView(text);
            m_messages += ',';
        }
        return true;
    }

    /// Length of the longest name of a field that is needed.
    static constexpr std::size_t maxKeyLength = 10;

    ModelBody m_body;
    std::optional<std::string> m_prompt;
    std::string m_messages;
    std::string m_problem;
    std::string m_key;
    Field m_field { Field::Other };
    std::size_t m_depth { 0 };
    bool m_isObject { false };
    /// The value of the field is an array.
    bool m_isArray { false };
    bool m_isInKey { false };
    bool m_isInString { false };
};

} // namespace

Result<ModelBody> readModelBody(std::string_view text)
{
    json::parse_options options;
    options.max_depth = maxJsonDepth;
    json::basic_parser<Handler> parser(options);
    json::error_code ec;
    auto n = parser.write_some(false, text.data(), text.size(), ec);
    if (!ec && n < text.size())
        ec = json::error::extra_data;
    if (ec)
        return Error { ErrorCode::MalformedInput, fmt::format("the body is '{}'; expected a JSON object", ec.message()) };
    return parser.handler().result();
}

} // namespace swiftloft::entry
