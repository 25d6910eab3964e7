#include <swiftloft/settings/revision-holder.h>

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::settings;

namespace {

std::string plainTree(std::string_view queueLimit)
{
    return "[service a]\nkind = plain\nqueue-limit = " + std::string(queueLimit) + "\n";
}

Candidate candidateOf(std::uint64_t revision, std::string text)
{
    return Assembler::create(Revision(revision), std::move(text)).finish().value();
}

std::int64_t queueLimitIn(const RevisionHolder& holder)
{
    return holder.held()->tree.service(ServiceName("a")).value().queueLimit;
}

/// A tree in two parts and the manifest that lists them.
struct TwoParts {
    std::string first { "[service a]\nkind = plain\n" };
    std::string second { "[service b]\nparent = service a\n" };

    std::string manifest() const
    {
        return Manifest::format({
            { "first", digestOf(first), Bytes(first.size()) },
            { "second", digestOf(second), Bytes(second.size()) },
        });
    }
};

} // namespace

TEST_CASE("RevisionHolder: a stale replica can't bring an older revision back")
{
    // An operator lowers a limit, sees it in force, and minutes later the old limit is back. The process had asked
    // again and was answered by a replica of the configuration service that was still behind.
    RevisionHolder holder;
    CHECK(holder.offer(candidateOf(7, plainTree("7"))).outcome == OfferOutcome::Accepted);
    CHECK(holder.offer(candidateOf(8, plainTree("8"))).outcome == OfferOutcome::Accepted);
    auto offer = holder.offer(candidateOf(7, plainTree("7")));
    CHECK(offer.outcome == OfferOutcome::RefusedOlder);
    CHECK(offer.inForce == Revision(8));
    CHECK(queueLimitIn(holder) == 8);
    CHECK(holder.held()->revision == Revision(8));
    CHECK_FALSE(holder.wants(Revision(7), digestOf(plainTree("7"))));
    CHECK_FALSE(holder.standingRefusal());
}

TEST_CASE("RevisionHolder: other content under the number in force is refused, and says so")
{
    // Two replicas answer differently for the same revision number, in turn. A process that took whichever came last
    // would flap between two configurations; one that took the other once would revert what it had accepted.
    RevisionHolder holder;
    holder.offer(candidateOf(7, plainTree("1")));
    auto offer = holder.offer(candidateOf(7, plainTree("2")));
    CHECK(offer.outcome == OfferOutcome::RefusedConflict);
    CHECK(queueLimitIn(holder) == 1);
    REQUIRE(holder.standingRefusal());
    CHECK(holder.offer(candidateOf(7, plainTree("1"))).outcome == OfferOutcome::AlreadyHeld);
    CHECK(holder.offer(candidateOf(7, plainTree("2"))).isRepeat);
    CHECK(holder.offer(candidateOf(8, plainTree("2"))).outcome == OfferOutcome::Accepted);
    CHECK_FALSE(holder.standingRefusal());
}

TEST_CASE("RevisionHolder: an invalid revision leaves the last good one in force until a good one follows")
{
    // An operator publishes a tree with a typing error. Callers must notice nothing; the operator sees the refusal with
    // file, line and key at every process, mends the tree, and that revision is in force.
    RevisionHolder holder;
    holder.offer(candidateOf(1, plainTree("1")));
    auto offer = holder.offer(candidateOf(2, plainTree("many")));
    CHECK(offer.outcome == OfferOutcome::RefusedInvalid);
    CHECK(offer.reason == "settings:3: [service a] queue-limit: found \"many\", expected a whole number without unit (bad-value)");
    CHECK(queueLimitIn(holder) == 1);
    CHECK(holder.standingRefusal()->revision == Revision(2));
    CHECK_FALSE(holder.wants(Revision(2), offer.digest));
    CHECK(holder.offer(candidateOf(2, plainTree("many"))).isRepeat);
    CHECK(holder.offer(candidateOf(3, plainTree("3"))).outcome == OfferOutcome::Accepted);
    CHECK(queueLimitIn(holder) == 3);
    CHECK_FALSE(holder.standingRefusal());
}

TEST_CASE("RevisionHolder: a good revision below a refused one is still taken")
{
    // Revisions 2 (good) and 3 (bad) are published within a second. A process that hears of 3 first and of 2 later, from
    // a peer, must end where those that heard them in order are: at 2, with 3 refused.
    RevisionHolder holder;
    holder.offer(candidateOf(1, plainTree("1")));
    holder.offer(candidateOf(3, plainTree("many")));
    CHECK(holder.offer(candidateOf(2, plainTree("2"))).outcome == OfferOutcome::Accepted);
    CHECK(queueLimitIn(holder) == 2);
    CHECK(holder.standingRefusal()->revision == Revision(3));
}

TEST_CASE("RevisionHolder: a fresh process holds nothing and says that a bad first revision is refused")
{
    RevisionHolder holder;
    auto offer = holder.offer(candidateOf(1, "nonsense"));
    CHECK(offer.outcome == OfferOutcome::RefusedInvalid);
    CHECK(offer.inForce == std::nullopt);
    CHECK_FALSE(holder.held());
}

TEST_CASE("Assembler: nothing is yielded until every part is there")
{
    // One part of a large tree can be read and the other not yet. A process that took the first alone would lose every
    // service of the second and refuse their callers.
    TwoParts tree;
    auto assembler = Assembler::create(Revision(4), tree.manifest());
    CHECK(assembler.missing().size() == 2);
    CHECK(assembler.offerPart(tree.second) == PartVerdict::Taken);
    CHECK(assembler.offerPart(tree.second) == PartVerdict::AlreadyHeld);
    CHECK(assembler.finish().error().code == ErrorCode::Unavailable);
    CHECK(assembler.offerPart(tree.first) == PartVerdict::Taken);
    auto candidate = assembler.finish().value();
    REQUIRE(candidate.parsed.tree);
    CHECK(candidate.parsed.tree->services().size() == 2);
}

TEST_CASE("Assembler: a part of another revision or damaged on its way is left out")
{
    // The manifest is new and the replica that holds the part is old: the part's name is right and its content is last
    // week's. The digest tells them apart; the process goes on asking.
    TwoParts tree;
    auto assembler = Assembler::create(Revision(4), tree.manifest());
    CHECK(assembler.offerPart("[service a]\nkind = model\n") == PartVerdict::NotAsked);
    CHECK(assembler.missing().size() == 2);
}

TEST_CASE("Assembler: parts in common with the last revision are not read again")
{
    TwoParts tree;
    auto before = Assembler::create(Revision(4), tree.manifest());
    before.offerPart(tree.first);
    before.offerPart(tree.second);
    RevisionHolder holder;
    holder.offer(before.finish().value());
    tree.second = "[service c]\nparent = service a\n";
    auto after = Assembler::create(Revision(5), tree.manifest());
    after.reuse(holder.held()->parts);
    REQUIRE(after.missing().size() == 1);
    CHECK(after.missing()[0].name == "second");
}

TEST_CASE("Assembler: a faulty manifest is a candidate that is refused")
{
    auto candidate = candidateOf(1, "[manifest]\nformat = 1\n[part a]\nbytes = 3000000\n");
    CHECK_FALSE(candidate.parsed.tree);
    CHECK(candidate.parsed.problems.size() == 3);
    CHECK_FALSE(candidateOf(1, "[manifest]\nformat = 2\n").parsed.tree);
    CHECK_FALSE(candidateOf(1, "[manifest]\nformat = 1\n").parsed.tree);
}

TEST_CASE("Assembler: parts that are valid one by one are still judged as a whole")
{
    TwoParts tree;
    tree.second = tree.first;
    auto assembler = Assembler::create(Revision(4), tree.manifest());
    CHECK(assembler.offerPart(tree.first) == PartVerdict::Taken);
    REQUIRE(assembler.isComplete());
    auto problems = assembler.finish().value().parsed.problems;
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].code == ProblemCode::DuplicateSection);
    CHECK(problems[0].file == "second");
}
