#include "src/gateway/store-cursor.h"

#include <catch2/catch.hpp>

using namespace swiftloft;
using namespace swiftloft::gateway;

namespace {

using Action = StoreCursor::Action;

PublishedItems itemsAt(std::uint64_t revision, std::uint64_t era)
{
    return { {}, revision, StoreEra(era) };
}

Action list(StoreCursor& cursor, PublishedItems items)
{
    return cursor.onListed(items);
}

Action change(StoreCursor& cursor, PublishedItems items)
{
    return cursor.onChanged(items);
}

} // namespace

TEST_CASE("StoreCursor: a topic is listed once, then watched from the known revision")
{
    StoreCursor cursor;
    CHECK_FALSE(cursor.knownRevision().has_value());
    CHECK(list(cursor, itemsAt(30, 1)) == Action::Apply);
    CHECK(change(cursor, itemsAt(34, 1)) == Action::Apply);
    CHECK(cursor.knownRevision() == 34u);
    cursor.reset();
    CHECK_FALSE(cursor.knownRevision().has_value());
}

// Guards against this failure: a watch continues from a revision of before the restore of the store, and later writes
// below that revision are never seen.
TEST_CASE("StoreCursor: a topic is listed again after each restore of the store")
{
    StoreCursor cursor;
    list(cursor, itemsAt(30, 1));
    CHECK(change(cursor, itemsAt(40, 2)) == Action::Relist);
    CHECK_FALSE(cursor.knownRevision().has_value());
    CHECK(list(cursor, itemsAt(20, 2)) == Action::Apply);
    CHECK(cursor.knownRevision() == 20u);
    CHECK(change(cursor, itemsAt(21, 4)) == Action::Relist);
    CHECK(list(cursor, itemsAt(5, 4)) == Action::Apply);
}

// Guards against this failure: an answer from before the restore arrives late or over another connection, and
// overwrites what is known of the new era.
TEST_CASE("StoreCursor: answers from before a restore are ignored")
{
    StoreCursor cursor;
    list(cursor, itemsAt(20, 2));
    CHECK(change(cursor, itemsAt(45, 1)) == Action::RejectStale);
    CHECK(cursor.knownRevision() == 20u);
    cursor.reset();
    CHECK(list(cursor, itemsAt(45, 1)) == Action::RejectStale);
    CHECK_FALSE(cursor.knownRevision().has_value());
}

TEST_CASE("StoreCursor: answers without an era belong to the current era")
{
    StoreCursor cursor;
    CHECK(list(cursor, itemsAt(20, 0)) == Action::Apply);
    CHECK(change(cursor, itemsAt(21, 0)) == Action::Apply);
    list(cursor, itemsAt(20, 2));
    PublishedItems silent { { { "s1", "", 22, true } }, 22 };
    CHECK(cursor.onChanged(silent) == Action::Apply);
    CHECK(silent.position() == StorePosition { StoreEra(2), 22 });
    CHECK(silent.items[0].position() == StorePosition { StoreEra(2), 22 });
}
