#include "src/spread/blob-codec.h"
#include "src/spread/control.h"
#include "src/spread/document.h"
#include "src/spread/serve-budget.h"
#include "src/spread/spreader.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <set>

namespace swiftloft::spread {

namespace {

const TimePoint now { std::chrono::hours(1) };

std::string largeTree(std::size_t nodes, std::uint64_t seed = 1)
{
    membership::Random random(seed);
    std::string text;
    for (std::size_t i = 0; i < nodes; ++i)
        text += fmt::format("[organisation organisation-{:04}]\nparent = default\nrate-limit = {}\nburst = {}\nweight = {}\n\n", i, random.below(10000), random.below(1000), random.below(100));
    return text;
}

std::shared_ptr<const Document> documentOf(std::uint64_t revision, std::string body)
{
    return Document::create(Topic::Settings, Revision(revision), std::make_shared<const std::string>(std::move(body)));
}

Announcement announcementOf(const Document& document)
{
    return Announcement { Topic::Settings, document.revision(), document.digest(), milliseconds(100) };
}

template <typename T>
std::optional<T> first(const SpreadEffects& effects)
{
    for (auto& it : effects) {
        if (auto* found = std::get_if<T>(&it))
            return *found;
    }
    return std::nullopt;
}

/// Answers pulls from `document` until the spreader asks no more; the bytes served.
std::size_t serveAll(Spreader& spreader, SpreadEffects effects, const Document& document)
{
    std::size_t bytes = 0;
    while (auto pull = first<PullBlobs>(effects)) {
        BlobsPulled reply;
        reply.ticket = pull->ticket;
        reply.status = PullStatus::Ok;
        reply.now = now;
        for (auto& digest : pull->digests) {
            reply.blobs.emplace_back(document.blob(digest).value());
            bytes += reply.blobs.back().size();
        }
        effects.clear();
        spreader.step(reply, effects);
    }
    return bytes;
}

SpreadEffects hear(Spreader& spreader, const std::string& peer, const Announcement& announcement)
{
    SpreadEffects effects;
    spreader.step(AnnouncementHeard { PeerAddress(peer), announcement, now }, effects);
    return effects;
}

} // namespace

TEST_CASE("Document: an edit moves a few parts, wherever it is", "[spread]")
{
    auto body = largeTree(9000);
    REQUIRE(body.size() > 600'000);
    auto before = cut(body);
    std::set<Digest> known;
    for (auto& it : before.parts)
        known.insert(it.digest);
    CHECK(before.size() == body.size());
    CHECK(body.size() / before.parts.size() > 3000);
    CHECK(body.size() / before.parts.size() < 7000);
    membership::Random random(3);
    std::size_t moved = 0;
    constexpr int edits = 100;
    for (int i = 0; i < edits; ++i) {
        auto edited = body;
        edited.insert(random.below(edited.size()), "rate-limit = 17\n");
        for (auto& it : cut(edited).parts)
            moved += known.contains(it.digest) ? 0 : it.size;
    }
    CHECK(moved / edits < 16 * 1024);
}

TEST_CASE("Document: an empty body and a body of one byte are documents", "[spread]")
{
    for (auto* body : { "", "x" }) {
        auto document = documentOf(1, body);
        CHECK(document->blob(document->digest()));
        CHECK(Manifest::decode(*document->blob(document->digest()))->size() == std::string_view(body).size());
    }
}

TEST_CASE("Spreader: pulls a document whole, then only what changed", "[spread]")
{
    auto body = largeTree(3000);
    auto one = documentOf(1, body);
    Spreader spreader(Topic::Settings, {}, nullptr, 1);
    CHECK(serveAll(spreader, hear(spreader, "p:1", announcementOf(*one)), *one) > body.size());
    CHECK(*spreader.document()->body() == body);
    CHECK(spreader.document()->digest() == one->digest());
    body.replace(body.size() / 2, 1, "9");
    auto two = documentOf(2, body);
    CHECK(serveAll(spreader, hear(spreader, "p:1", announcementOf(*two)), *two) < 32 * 1024);
    CHECK(*spreader.document()->body() == body);
    CHECK(spreader.revision() == Revision(2));
}

TEST_CASE("Spreader: a body with an empty tree is taken from a peer", "[spread]")
{
    auto empty = documentOf(4, "");
    Spreader spreader(Topic::Settings, {}, nullptr, 1);
    serveAll(spreader, hear(spreader, "p:1", announcementOf(*empty)), *empty);
    CHECK(spreader.revision() == Revision(4));
}

TEST_CASE("Spreader: bytes that are not what their digest says are dropped with their sender", "[spread]")
{
    // A peer with bad memory sends a part with a flipped bit. A node that took it would run settings that nobody wrote.
    auto document = documentOf(1, largeTree(500));
    Spreader spreader(Topic::Settings, {}, nullptr, 1);
    auto effects = hear(spreader, "bad:1", announcementOf(*document));
    for (auto isDamaged : { false, true }) {
        auto pull = first<PullBlobs>(effects);
        REQUIRE(pull);
        BlobsPulled reply;
        reply.ticket = pull->ticket;
        reply.status = PullStatus::Ok;
        reply.now = now;
        for (auto& digest : pull->digests)
            reply.blobs.emplace_back(document->blob(digest).value());
        if (isDamaged)
            reply.blobs.back()[40] ^= 1;
        effects.clear();
        spreader.step(reply, effects);
    }
    CHECK_FALSE(first<PullBlobs>(effects));
    CHECK_FALSE(spreader.document());
    CHECK(spreader.counters().failedPulls == 1);
    serveAll(spreader, hear(spreader, "good:1", announcementOf(*document)), *document);
    REQUIRE(spreader.document());
    CHECK(*spreader.document()->body() == *document->body());
}

TEST_CASE("Spreader: a document larger than any may be is refused", "[spread]")
{
    // A tree in parts adds up to more than any node would take from a peer. Taken here it would be in force at the few
    // watchers and nowhere else.
    Spreader spreader(Topic::Settings, {}, nullptr, 1);
    SpreadEffects effects;
    spreader.step(PlatformAnswered { { PlatformOutcome::Body, Revision(8), std::string(maxDocumentBytes + 1, 'x'), "" }, now }, effects);
    CHECK(first<DocumentRefused>(effects));
    CHECK_FALSE(spreader.document());
}

TEST_CASE("Spreader: a lower revision is never taken, whoever brings it", "[spread]")
{
    auto newer = documentOf(9, "newer");
    auto older = documentOf(8, "older");
    Spreader spreader(Topic::Settings, {}, nullptr, 1);
    serveAll(spreader, hear(spreader, "p:1", announcementOf(*newer)), *newer);
    CHECK(hear(spreader, "q:1", announcementOf(*older)).empty());
    SpreadEffects effects;
    spreader.step(PlatformAnswered { { PlatformOutcome::Body, Revision(8), "older", "" }, now }, effects);
    CHECK(effects.empty());
    CHECK(spreader.revision() == Revision(9));
}

TEST_CASE("Spreader: one revision with two contents is reported and changes nothing", "[spread]")
{
    auto one = documentOf(3, "one");
    auto other = documentOf(3, "other");
    Spreader spreader(Topic::Settings, {}, nullptr, 1);
    serveAll(spreader, hear(spreader, "p:1", announcementOf(*one)), *one);
    auto effects = hear(spreader, "q:1", announcementOf(*other));
    CHECK(first<RevisionConflict>(effects));
    CHECK(*spreader.document()->body() == "one");
}

TEST_CASE("Spreader: a platform call whose end is never heard is given up", "[spread]")
{
    // A watch connection goes silent and its completion is lost. Settings would stop at this node with no error to see.
    Spreader spreader(Topic::Settings, {}, nullptr, 1);
    SpreadEffects effects;
    spreader.step(SpreadTick { now, true, 10 }, effects);
    REQUIRE(first<CallPlatform>(effects));
    effects.clear();
    spreader.step(SpreadTick { now + seconds(20), true, 10 }, effects);
    CHECK_FALSE(first<CallPlatform>(effects));
    spreader.step(SpreadTick { now + seconds(30), true, 10 }, effects);
    CHECK(first<CallPlatform>(effects));
}

TEST_CASE("Spreader: polls of a fleet at the design size are spread over its fair interval", "[spread]")
{
    // The platform hangs and 6,170 processes poll it for two documents. Were each to ask every few seconds, they would
    // use up the service's 2,000 calls a second and keep it down.
    constexpr std::size_t fleetSize = 6170;
    constexpr int processes = 500;
    const SpreadOptions options;
    auto fair = fleetSize * membership::topicCount / options.fleetCallsPerSecond;
    int early = 0;
    for (int i = 0; i < processes; ++i) {
        Spreader spreader(Topic::Settings, options, nullptr, static_cast<std::uint64_t>(i));
        SpreadEffects effects;
        auto answer = [&](PlatformOutcome outcome, TimePoint at) { spreader.step(PlatformAnswered { { outcome, Revision(1), "x", "" }, at }, effects); };
        auto waitForCall = [&](TimePoint from) {
            effects.clear();
            for (auto it = from; it < from + seconds(300); it += milliseconds(100)) {
                spreader.step(SpreadTick { it, false, fleetSize }, effects);
                if (first<CallPlatform>(effects))
                    return std::chrono::duration<double>(it - from).count();
            }
            return 300.0;
        };
        answer(PlatformOutcome::Body, now);
        auto silent = now + options.silenceLimit + milliseconds(1);
        auto waited = waitForCall(silent);
        early += waited < fair / 5;
        CHECK(waited <= fair + 1);
        answer(PlatformOutcome::Failed, silent + seconds(30));
        CHECK(waitForCall(silent + seconds(30)) >= fair / 2);
    }
    CHECK(early < processes * 0.3);
    CHECK(early > processes * 0.13);
}

TEST_CASE("ServeBudget: bounds what is served and refills", "[spread]")
{
    ServeBudget budget(Bytes(1000), Bytes(100));
    CHECK(budget.spend(Bytes(1500), now));
    CHECK_FALSE(budget.spend(Bytes(1), now));
    CHECK_FALSE(budget.spend(Bytes(1), now + seconds(4)));
    CHECK(budget.spend(Bytes(1), now + seconds(6)));
}

TEST_CASE("Blob codec: no bytes crash it", "[spread]")
{
    // Anything can arrive at an open TCP port.
    membership::Random random(5);
    auto request = encodeRequest({ Digest { 1, 2 }, Digest { 3, 4 } });
    BlobsPulled reply;
    reply.status = PullStatus::Ok;
    reply.blobs = { "one", std::string(5000, 'x') };
    auto encoded = encodeReply(reply);
    CHECK(decodeReply(encoded)->blobs == reply.blobs);
    CHECK(decodeRequest(request)->size() == 2);
    auto manifest = cut(largeTree(200)).encode();
    for (int i = 0; i < 20'000; ++i) {
        for (auto* good : { &request, &encoded, &manifest }) {
            auto bytes = *good;
            for (auto k = random.below(5) + 1; k > 0; --k)
                bytes[random.below(std::min<std::size_t>(bytes.size(), 64))] = static_cast<char>(random.next());
            if (random.below(4) == 0)
                bytes.resize(random.below(bytes.size()));
            (void)decodeRequest(bytes);
            (void)decodeReply(bytes);
            (void)Manifest::decode(bytes);
        }
    }
    CHECK(decodeRequest("").has_error());
}

} // namespace swiftloft::spread
