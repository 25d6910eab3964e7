#include <swiftloft/policy/ticket.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace swiftloft::policy {

namespace {

constexpr std::string_view prefix = "sl1.";
constexpr std::size_t numberLength = 16;
constexpr std::size_t numberCount = 5;
constexpr std::size_t agentOffset = prefix.size() + numberCount * (numberLength + 1);
constexpr std::size_t maxKeyLength = 256;
constexpr std::size_t maxAgentLength = maxKeyLength - agentOffset;

bool isAgentCharacter(char c)
{
    bool isAlphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return isAlphanumeric || c == '.' || c == '_' || c == ':' || c == '-';
}

bool isAgentName(std::string_view text)
{
    return !text.empty() && text.size() <= maxAgentLength && std::all_of(text.begin(), text.end(), isAgentCharacter);
}

bool isNumber(std::string_view text)
{
    auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == numberLength && std::all_of(text.begin(), text.end(), isDigit);
}

std::uint64_t numberFrom(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

std::uint64_t checksum(std::string_view numbers, std::string_view agent, const OrganisationName& organisation)
{
    auto seed = XXH3_64bits(organisation.value().data(), organisation.value().size());
    auto covered = fmt::format("{}{}", numbers, agent);
    return XXH3_64bits_withSeed(covered.data(), covered.size(), seed);
}

Error malformed(std::string_view reason)
{
    return Error { ErrorCode::MalformedInput, fmt::format("request key: {}", reason) };
}

} // namespace

Result<RequestKey> TicketCodec::encode(const Ticket& ticket, const OrganisationName& organisation)
{
    if (!isAgentName(ticket.agent.value()))
        return Error { ErrorCode::InvalidArgument, fmt::format("ticket: an agent's id must be 1 to {} characters of A-Za-z0-9._:-", maxAgentLength) };
    auto numbers = fmt::format("{}{:016x}.{:016x}.{:016x}.{:016x}.", prefix, ticket.agentIncarnation.value(), ticket.epoch.value(), ticket.mintedBy.value(), ticket.serial);
    auto sum = checksum(numbers, ticket.agent.value(), organisation);
    return RequestKey(fmt::format("{}{:016x}.{}", numbers, sum, ticket.agent.value()));
}

Result<Ticket> TicketCodec::decode(std::string_view text, const OrganisationName& organisation)
{
    if (!hasTicketPrefix(text))
        return malformed("not a ticket");
    if (text.size() <= agentOffset || text.size() > maxKeyLength)
        return malformed("wrong length");
    std::uint64_t numbers[numberCount] = {};
    for (std::size_t i = 0; i < numberCount; ++i) {
        auto field = text.substr(prefix.size() + i * (numberLength + 1), numberLength + 1);
        if (!isNumber(field.substr(0, numberLength)) || field.back() != '.')
            return malformed("a number is not 16 hexadecimal digits");
        numbers[i] = numberFrom(field.substr(0, numberLength));
    }
    auto agent = text.substr(agentOffset);
    if (!isAgentName(agent))
        return malformed("bad agent id");
    auto covered = text.substr(0, agentOffset - numberLength - 1);
    if (checksum(covered, agent, organisation) != numbers[numberCount - 1])
        return malformed("checksum does not match");
    return Ticket { BackendServerId(std::string(agent)), Incarnation(numbers[0]), MintEpoch(numbers[1]), Incarnation(numbers[2]), numbers[3] };
}

bool TicketCodec::hasTicketPrefix(std::string_view text)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace swiftloft::policy
