#include "src/replay/generator.h"
#include "src/replay/trace.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <random>

using namespace swiftloft;
using namespace swiftloft::replay;

namespace {

const std::string head = "swiftloft-trace 1\n";
const std::string goodLine = "5 drafting cafes model POST /v1/completions letter:100:case-1:20 8 1000 yes yes k-1 answered\n";

std::string messageOf(const std::string& text)
{
    auto trace = parseTrace(text);
    return trace ? "accepted" : trace.error().message;
}

} // namespace

TEST_CASE("Trace: what the formatter writes is read back the same")
{
    for (auto firm : { Firm::ViaHe, Firm::RasoiRahdari }) {
        auto trace = generate({ firm, 3, seconds(20), 10 });
        trace.outcomes = { { Measure::Lost, Bound::AtMost, 0 }, { Measure::AnsweredShare, Bound::AtLeast, 0.95 } };
        REQUIRE(trace.requests.size() > 100);
        CHECK(parseTrace(formatTrace(trace)).value() == trace);
    }
}

TEST_CASE("Trace: the same seed gives the same trace, another seed another")
{
    auto one = generate({ Firm::ViaHe, 7, seconds(5), 10 });
    CHECK(one == generate({ Firm::ViaHe, 7, seconds(5), 10 }));
    CHECK_FALSE(one == generate({ Firm::ViaHe, 8, seconds(5), 10 }));
}

TEST_CASE("Trace: the traces in the repository are the ones their seeds make")
{
    struct Case {
        const char* file;
        GeneratorOptions options;
    };
    for (auto& it : {
             Case { "via-he-small", { Firm::ViaHe, 7, seconds(4), 10 } },
             Case { "rasoi-rahdari-small", { Firm::RasoiRahdari, 7, seconds(4), 10 } },
             Case { "via-he-morning", { Firm::ViaHe, 11, seconds(10), 20 } },
             Case { "rasoi-rahdari-morning", { Firm::RasoiRahdari, 11, seconds(10), 20 } },
         }) {
        INFO(it.file);
        std::ifstream file(fmt::format(SWIFTLOFT_SOURCE_DIR "/traces/{}.trace", it.file));
        std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        CHECK(text == formatTrace(generate(it.options)));
    }
}

TEST_CASE("Trace: an error names line, column and what was expected")
{
    CHECK(messageOf("swiftloft-trace 2\n") == "line 1: first line: expected 'swiftloft-trace 1', found 'swiftloft-trace 2'");
    CHECK(messageOf(head + "\n5 drafting cafes\n") == "line 3: request: expected 13 columns, found '3 columns'");
    CHECK(messageOf(head + "outcome lost == 0\n") == "line 2: bound: expected one of <=, >=, found '=='");
    auto withColumn = [](const std::string& from, const std::string& to) {
        auto line = goodLine;
        return head + line.replace(line.find(from), from.size(), to);
    };
    CHECK(messageOf(head + goodLine) == "accepted");
    CHECK(messageOf(withColumn("5 d", "-5 d")) == "line 2: offset_ms: expected a number from 0 to 86400000, found '-5'");
    CHECK(messageOf(withColumn("model", "modal")) == "line 2: kind: expected one of model, plain, found 'modal'");
    CHECK(messageOf(withColumn("letter:100", "letter")) == "line 2: prompt: expected PREFIX:CHARACTERS:OWN:CHARACTERS or -, found 'letter:case-1:20'");
    CHECK(messageOf(withColumn(" 8 ", " 0 ")) == "line 2: prompt: expected a prompt and at least one token for a model, found '0 tokens'");
    CHECK(messageOf(head + goodLine + "4" + goodLine.substr(1)) == "line 3: offset_ms: expected no time before the line above, found '4'");
}

// Traces come from outside: whatever the bytes, the parser says what is wrong or gives a trace that it can write and
// read again.
TEST_CASE("Trace: random bytes and damaged traces are refused or read, never worse")
{
    std::mt19937_64 random(20261202);
    auto whole = formatTrace(generate({ Firm::RasoiRahdari, 1, seconds(2), 10 }));
    for (int round = 0; round < 3000; ++round) {
        auto text = round % 2 ? whole : head + std::string(random() % 200, ' ');
        auto changes = 1 + random() % 20;
        for (std::size_t n = 0; n < changes; ++n)
            text[random() % text.size()] = static_cast<char>(random());
        auto trace = parseTrace(text);
        if (trace)
            CHECK(parseTrace(formatTrace(*trace)).value() == *trace);
        else
            CHECK(trace.error().code == ErrorCode::MalformedInput);
    }
}
