#include <swiftloft/policy/fleet-share.h>
#include <swiftloft/policy/random.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

const TimePoint start { seconds(1000) };
constexpr milliseconds window { 3000 };

FleetShare makeShare(StaleListPolicy staleListPolicy = StaleListPolicy::KeepShare)
{
    return FleetShare::create({ .window = window, .staleListPolicy = staleListPolicy, .staleAfter = milliseconds(1500) }, start).value();
}

/// A published list that changes, and entries that read it late: each read returns any version that was current in the
/// last two seconds, and at most a second passes between reads. So the list lags by three seconds at most.
class LaggingList {
public:
    explicit LaggingList(unsigned seed)
        : m_generator(seed)
    {
        std::set<int> first;
        for (int i = 0; i < 6; ++i) {
            first.insert(i);
            addEntry(i);
        }
        m_versions.push_back({ start, first });
        m_nextName = 6;
    }

    void step(TimePoint now)
    {
        if (now - m_versions.back().since >= milliseconds(3000) && draw(0, 20) == 0)
            change(now);
        for (auto& entry : m_entries) {
            if (now >= entry.nextRead)
                read(entry, now);
        }
    }

    double sum(TimePoint now)
    {
        double sum = 0;
        for (auto& entry : m_entries)
            sum += entry.share.at(now);
        return sum;
    }

private:
    struct Version {
        TimePoint since;
        std::set<int> names;
    };
    struct Entry {
        int name;
        FleetShare share;
        TimePoint nextRead;
    };

    int draw(int low, int high) { return boost::random::uniform_int_distribution<int>(low, high)(m_generator); }

    void addEntry(int name, TimePoint now = start)
    {
        m_entries.push_back({ name, FleetShare::create({ .window = window }, now).value(), now + milliseconds(draw(0, 1000)) });
    }

    void change(TimePoint now)
    {
        auto names = m_versions.back().names;
        for (int i = draw(1, 4); i > 0; --i) {
            if (draw(0, 1) && names.size() > 2)
                names.erase(*std::next(names.begin(), draw(0, static_cast<int>(names.size()) - 1)));
            else {
                addEntry(m_nextName, now);
                names.insert(m_nextName++);
            }
        }
        m_versions.push_back({ now, names });
    }

    void read(Entry& entry, TimePoint now)
    {
        auto asOf = now - milliseconds(draw(0, 2000));
        auto it = std::find_if(m_versions.rbegin(), m_versions.rend(), [&](auto& version) { return version.since <= asOf; });
        auto& version = it == m_versions.rend() ? m_versions.front() : *it;
        entry.share.onInstanceList(version.names.size(), version.names.count(entry.name) > 0, now);
        entry.nextRead = now + milliseconds(draw(1, 1000));
    }

    Generator m_generator;
    std::vector<Version> m_versions;
    std::vector<Entry> m_entries;
    int m_nextName { 0 };
};

} // namespace

TEST_CASE("FleetShare: the sum of all entries' shares never exceeds one while the list changes")
{
    // An instance is replaced: one entry's list has six names, another's five, and a third entry is on neither. If
    // shares of 1/6 and 1/5 were used at the same time, the organisation's limit, and with it the capacity planned for
    // the engines, would be exceeded.
    double largest = 0;
    for (unsigned seed = 0; seed < 40; ++seed) {
        LaggingList list(seed);
        for (auto now = start; now < start + seconds(120); now += milliseconds(50)) {
            list.step(now);
            largest = std::max(largest, list.sum(now));
        }
    }
    CHECK(largest <= 1 + 1e-9);
    CHECK(largest > 0.99);
}

TEST_CASE("FleetShare: a share starts at zero, shrinks immediately and grows after the window")
{
    auto share = makeShare();
    share.onInstanceList(6, true, start);
    CHECK(share.at(start + window) == 0);
    CHECK(share.at(start + window + milliseconds(1)) == Approx(1.0 / 6));
    auto now = start + seconds(10);
    share.onInstanceList(7, true, now);
    CHECK(share.at(now) == Approx(1.0 / 7));
    share.onInstanceList(5, true, now + seconds(1));
    CHECK(share.at(now + seconds(4)) == Approx(1.0 / 7));
    CHECK(share.at(now + milliseconds(4001)) == Approx(1.0 / 5));
    share.onInstanceList(5, false, now + seconds(6));
    CHECK(share.at(now + seconds(6)) == 0);
}

TEST_CASE("FleetShare: the integral is exact, also when it was not queried while the share changed")
{
    auto watched = makeShare();
    auto unwatched = makeShare();
    for (auto* share : { &watched, &unwatched })
        share->onInstanceList(4, true, start);
    watched.onInstanceList(2, true, start + seconds(10));
    unwatched.onInstanceList(2, true, start + seconds(10));
    for (int i = 0; i < 20; ++i)
        watched.at(start + seconds(i));
    CHECK(watched.integralUntil(start + seconds(20)) == Approx(10.0 / 4 + 7.0 / 2));
    CHECK(unwatched.integralUntil(start + seconds(20)) == Approx(10.0 / 4 + 7.0 / 2));
}

TEST_CASE("FleetShare: an entry without access to the list keeps its share or releases it, as configured")
{
    // An entry can serve clients but cannot read the list, which has dropped it. The other entries' shares grow one
    // window later. The operator chooses which guarantee is given up: the sum of the limit, or service during an outage
    // of the list.
    auto keeping = makeShare(StaleListPolicy::KeepShare);
    auto releasing = makeShare(StaleListPolicy::ReleaseShare);
    auto other = makeShare();
    for (int i = 0; i < 10; ++i) {
        for (auto* share : { &keeping, &releasing, &other })
            share->onInstanceList(2, true, start + seconds(i));
    }
    auto last = start + seconds(9);
    other.onInstanceList(1, true, last + milliseconds(1));
    for (auto now = last; now < last + seconds(10); now += milliseconds(100))
        CHECK(releasing.at(now) + other.at(now) <= 1);
    CHECK(keeping.at(last + seconds(10)) == 0.5);
    CHECK(other.at(last + seconds(10)) == 1);
    CHECK_FALSE(FleetShare::create({ .window = window, .staleListPolicy = StaleListPolicy::ReleaseShare, .staleAfter = window }, start).has_value());
}
