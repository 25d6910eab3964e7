#include <swiftloft/policy/random.h>
#include <swiftloft/policy/ticket.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

const OrganisationName cafe("cafe");

Ticket sample()
{
    return { BackendServerId("engine-7.tay-ho:9000"), Incarnation(0xfedcba9876543210), MintEpoch(42), Incarnation(7), 99 };
}

} // namespace

TEST_CASE("TicketCodec: a ticket is decoded as it was encoded, from a header-safe text")
{
    auto text = TicketCodec::encode(sample(), cafe).value().value();
    CHECK(text.size() <= 256);
    CHECK(TicketCodec::decode(text, cafe).value() == sample());
    Ticket longest = sample();
    longest.agent = BackendServerId(std::string(167, 'a'));
    CHECK(TicketCodec::decode(TicketCodec::encode(longest, cafe).value().value(), cafe).value() == longest);
    longest.agent = BackendServerId(std::string(168, 'a'));
    CHECK_FALSE(TicketCodec::encode(longest, cafe).has_value());
    longest.agent = BackendServerId("a b");
    CHECK_FALSE(TicketCodec::encode(longest, cafe).has_value());
}

TEST_CASE("TicketCodec: another organisation cannot use a ticket")
{
    // A ticket leaks to another organisation and is sent with that organisation's credentials. If it were accepted, it
    // would attach to the first organisation's run and reveal its response.
    auto text = TicketCodec::encode(sample(), cafe).value().value();
    CHECK(TicketCodec::decode(text, OrganisationName("other")).error().code == ErrorCode::MalformedInput);
}

TEST_CASE("TicketCodec: a ticket with one damaged byte is refused, not decoded as another ticket")
{
    // A client or a proxy changes a character. If the text were read as another ticket, a resend would become a new
    // request and run twice.
    auto text = TicketCodec::encode(sample(), cafe).value().value();
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (int c = 0; c < 256; ++c) {
            auto damaged = text;
            damaged[i] = static_cast<char>(c);
            if (damaged != text)
                CHECK_FALSE(TicketCodec::decode(damaged, cafe).has_value());
        }
    }
    for (std::size_t n = 0; n < text.size(); ++n)
        CHECK_FALSE(TicketCodec::decode(text.substr(0, n), cafe).has_value());
}

TEST_CASE("TicketCodec: random bytes are refused safely")
{
    Generator generator(20261202);
    boost::random::uniform_int_distribution<int> byte(0, 255);
    boost::random::uniform_int_distribution<std::size_t> length(0, 400);
    auto valid = TicketCodec::encode(sample(), cafe).value().value();
    for (int i = 0; i < 20000; ++i) {
        std::string text(length(generator), '\0');
        for (auto& c : text)
            c = static_cast<char>(byte(generator));
        // Half of them begin like a ticket, so that the later checks are reached too.
        if (i % 2)
            text.replace(0, std::min(text.size(), length(generator) % valid.size()), valid, 0, length(generator) % valid.size());
        auto ticket = TicketCodec::decode(text, cafe);
        if (ticket.has_value())
            CHECK(TicketCodec::encode(*ticket, cafe).value().value() == text);
    }
}
