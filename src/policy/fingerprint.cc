#include <swiftloft/policy/fingerprint.h>

#include <xxhash.h>

#include <memory>

namespace swiftloft::policy {

namespace {

struct HashStateDeleter {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// Hashes a JSON body without the whitespace outside its strings.
class BodyHasher {
public:
    explicit BodyHasher(XXH3_state_t* state)
        : m_state(state)
    {
    }

    void add(std::string_view body)
    {
        std::size_t begin = 0;
        for (std::size_t i = 0; i < body.size(); ++i) {
            if (isSpace(body[i]) && !m_isInString) {
                addRaw(body.substr(begin, i - begin));
                begin = i + 1;
            }
            trackStrings(body[i]);
        }
        addRaw(body.substr(begin));
    }

private:
    void trackStrings(char c)
    {
        if (m_isEscaped)
            m_isEscaped = false;
        else if (c == '\\')
            m_isEscaped = m_isInString;
        else if (c == '"')
            m_isInString = !m_isInString;
    }

    void addRaw(std::string_view text) { XXH3_64bits_update(m_state, text.data(), text.size()); }

    XXH3_state_t* m_state;
    bool m_isInString { false };
    bool m_isEscaped { false };
};

} // namespace

Fingerprint fingerprintOf(const OrganisationName& organisation, const ServiceName& service, std::string_view body)
{
    auto seed = XXH3_64bits(organisation.value().data(), organisation.value().size());
    seed = XXH3_64bits_withSeed(service.value().data(), service.value().size(), seed);
    std::unique_ptr<XXH3_state_t, HashStateDeleter> state(XXH3_createState());
    XXH3_64bits_reset_withSeed(state.get(), seed);
    BodyHasher(state.get()).add(body);
    return Fingerprint(XXH3_64bits_digest(state.get()));
}

Fingerprint fingerprintOf(const RequestContent& content)
{
    auto& organisation = content.organisation.value();
    auto seed = XXH3_64bits(organisation.data(), organisation.size());
    seed = XXH3_64bits_withSeed(content.target.data(), content.target.size(), seed);
    return Fingerprint(XXH3_64bits_withSeed(content.body.data(), content.body.size(), seed));
}

Fingerprint fingerprintOf(const ServiceName& service, PromptPartId part)
{
    auto seed = XXH3_64bits(service.value().data(), service.value().size());
    auto number = part.value();
    return Fingerprint(XXH3_64bits_withSeed(&number, sizeof number, seed));
}

} // namespace swiftloft::policy
