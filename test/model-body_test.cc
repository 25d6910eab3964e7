#include "src/entry/model-body.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using entry::readModelBody;

TEST_CASE("Model body: the fields that an entry needs are read, whatever else the body has")
{
    auto body = readModelBody(R"( {"more":[{"model":"no"},[1,2.5e3,null]],"model":"m","max_tokens":12,"prompt":"a \"b\"é"} )").value();
    CHECK(body.model == "m");
    CHECK(body.maxTokens == 12);
    CHECK(body.prompt == "a \"b\"\xc3\xa9");
}

TEST_CASE("Model body: the messages are the prompt if there is no other")
{
    CHECK(readModelBody(R"({"messages":[{"role":"user","content":"x"},{"n":[1,true]}],"prompt":7})").value().prompt == R"({"role":"user","content":"x"}{"n":[1,true]})");
    CHECK(readModelBody(R"({"messages":[{"role":"user"}],"prompt":"p"})").value().prompt == "p");
    CHECK(readModelBody(R"({"messages":{"role":"user"}})").value().prompt.empty());
}

TEST_CASE("Model body: the last one of several fields of a name counts")
{
    auto body = readModelBody(R"({"prompt":"a","prompt":"b","model":1,"model":"m","messages":[1],"messages":[]})").value();
    CHECK(body.prompt == "b");
    CHECK(body.model == "m");
    CHECK(body.modelProblem.empty());
}

TEST_CASE("Model body: a wrong value is named")
{
    using Catch::Matchers::Contains;
    CHECK_THAT(readModelBody(R"({"max_tokens":"12"})").error().message, Contains("\"max_tokens\" is a string"));
    CHECK_THAT(readModelBody(R"({"max_tokens":1.5})").error().message, Contains("\"max_tokens\" is a number that is not whole"));
    CHECK_THAT(readModelBody(R"({"model":[]})").value().modelProblem, Contains("\"model\" is an array"));
    CHECK_FALSE(readModelBody(R"({"max_tokens":null,"model":"m"})").value().maxTokens);
    for (auto* text : { "[]", "{", "{} x", "", "7", "nul" })
        CHECK_THAT(readModelBody(text).error().message, Contains("expected a JSON object"));
}
