#include "src/gateway/event-splitter.h"

#include <catch2/catch.hpp>

using swiftloft::gateway::EventSplitter;

TEST_CASE("EventSplitter: events come out whole, however the bytes are cut")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        auto events = splitter.append(stream.substr(0, cut));
        for (auto& event : splitter.append(stream.substr(cut)))
            events.push_back(event);
        INFO("cut at " << cut);
        REQUIRE(events.size() == 3);
        CHECK(events[0].bytes == "id: 1\ndata: a\n\n");
        CHECK(events[0].id == 1);
        CHECK(events[1].id == 2);
        CHECK_FALSE(events[2].id.has_value());
        CHECK_FALSE(splitter.hasPartialEvent());
    }
}

TEST_CASE("EventSplitter: lines may end with carriage returns")
{
    EventSplitter splitter;
    auto events = splitter.append("id: 7\r\ndata: x\r\n\r\nid: 8\r\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == 7);
    CHECK(splitter.hasPartialEvent());
}

// Guards against this failure: a server dies in the middle of an event and another server resumes the stream with a
// complete event. If the two were joined, the client would read one event made of two runs.
TEST_CASE("EventSplitter: half an event is dropped when another server goes on")
{
    EventSplitter splitter;
    splitter.append("id: 3\ndata: half of i");
    CHECK(splitter.hasPartialEvent());
    splitter.reset();
    auto events = splitter.append("id: 3\ndata: whole\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].bytes == "id: 3\ndata: whole\n\n");
}

// Guards against this failure: a server sends an event that does not end, and the memory and the time to search it grow with it.
TEST_CASE("EventSplitter: an event that is too large is noticed, and a large one comes out whole")
{
    EventSplitter splitter;
    const std::string part(4096, 'x');
    std::string large = "id: 1\ndata: ";
    while (large.size() + part.size() < EventSplitter::maxEventBytes)
        large += part;
    CHECK(splitter.append(large).empty());
    CHECK_FALSE(splitter.isEventTooLarge());
    CHECK(splitter.append("\n").empty());
    auto events = splitter.append("\nid: 2\n\n");
    REQUIRE(events.size() == 2);
    CHECK(events[0].bytes == large + "\n\n");
    CHECK(events[1].id == 2);
    splitter.append(large);
    splitter.append(part + part);
    CHECK(splitter.isEventTooLarge());
    splitter.reset();
    CHECK_FALSE(splitter.isEventTooLarge());
}
