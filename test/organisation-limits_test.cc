#include <swiftloft/policy/organisation-limits.h>
#include <swiftloft/policy/random.h>

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <memory>

using namespace swiftloft;
using namespace swiftloft::policy;

namespace {

const TimePoint start { seconds(1000) };
const OrganisationName cafe("cafe");
constexpr double rate = 1000;
constexpr double burstSeconds = 4;

OrganisationLimitsOptions options()
{
    return { .share = { .window = seconds(6) }, .lease = seconds(5) };
}

InstanceId nameOf(std::size_t i)
{
    return InstanceId(fmt::format("entry-{}", i));
}

OrganisationLimits makeLimits(std::size_t i, TimePoint now = start, std::uint64_t incarnation = 1)
{
    auto limits = OrganisationLimits::create(options(), nameOf(i), Incarnation(incarnation), now).value();
    limits.setLimit(cafe, { .tokensPerSecond = rate, .burstSeconds = burstSeconds }, now);
    return limits;
}

/// Entries that share a limit over a network that loses, duplicates and delays their messages.
class LendingFleet {
public:
    explicit LendingFleet(std::size_t n, unsigned seed = 1)
        : m_generator(seed)
    {
        for (std::size_t i = 0; i < n; ++i) {
            m_names.push_back(nameOf(i));
            m_entries.push_back(std::make_unique<OrganisationLimits>(makeLimits(i)));
        }
        readList(start);
    }

    void readList(TimePoint now)
    {
        for (auto& entry : m_entries)
            entry->onInstanceList(m_names, now);
    }

    void restart(std::size_t i, TimePoint now)
    {
        *m_entries[i] = makeLimits(i, now, ++m_incarnation);
        m_entries[i]->onInstanceList(m_names, now);
    }

    bool admit(std::size_t i, std::int64_t tokens, TimePoint now)
    {
        LimitEffects effects;
        auto decision = m_entries[i]->admit(cafe, Tokens(tokens), now, effects);
        send(i, effects, now);
        m_isBorrowing = decision.isBorrowing;
        if (decision.outcome == LimitOutcome::Admitted)
            recordAdmitted(tokens, now);
        return decision.outcome == LimitOutcome::Admitted;
    }

    void deliver(TimePoint now)
    {
        auto due = std::stable_partition(m_messages.begin(), m_messages.end(), [&](auto& it) { return it.at > now; });
        std::vector<Message> arrived(due, m_messages.end());
        m_messages.erase(due, m_messages.end());
        for (auto& message : arrived) {
            auto& entry = *m_entries[message.to];
            if (message.effect.kind == LimitEffectKind::SendLendRequest)
                send(message.to, entry.onLendRequest(message.effect.request, now), now);
            else
                m_accepted += entry.onLendGrant(message.effect.grant, now) ? 1 : 0;
        }
    }

    int draw(int low, int high) { return boost::random::uniform_int_distribution<int>(low, high)(m_generator); }

    bool isFaulty { false };
    /// Entries below this index cannot reach those from this index on.
    std::size_t partitionIndex { 0 };

    int accepted() const { return m_accepted; }
    bool isBorrowing() const { return m_isBorrowing; }
    double admitted() const { return m_admitted; }
    /// Largest amount by which admissions exceeded rate x time in any time interval; bounded by the burst.
    double largestBurst() const { return m_largestBurst; }

private:
    struct Message {
        TimePoint at;
        std::size_t to;
        LimitEffect effect;
    };

    void send(std::size_t from, const LimitEffects& effects, TimePoint now)
    {
        for (auto& effect : effects) {
            auto to = static_cast<std::size_t>(std::find(m_names.begin(), m_names.end(), effect.to) - m_names.begin());
            if ((from < partitionIndex) != (to < partitionIndex))
                continue;
            int copies = isFaulty ? draw(0, 3) : 1;
            for (int i = 0; i < copies; ++i) {
                // Some messages arrive after the lease has expired.
                auto delay = isFaulty ? milliseconds(draw(0, 9) ? draw(1, 300) : draw(1000, 9000)) : milliseconds(2);
                m_messages.push_back({ now + delay, to, effect });
            }
        }
    }

    void recordAdmitted(std::int64_t tokens, TimePoint now)
    {
        auto level = m_admitted - rate * std::chrono::duration<double>(now - start).count();
        m_lowest = std::min(m_lowest, level);
        m_admitted += static_cast<double>(tokens);
        m_largestBurst = std::max(m_largestBurst, level + static_cast<double>(tokens) - m_lowest);
    }

    Generator m_generator;
    std::vector<InstanceId> m_names;
    std::vector<std::unique_ptr<OrganisationLimits>> m_entries;
    std::vector<Message> m_messages;
    std::uint64_t m_incarnation { 1 };
    bool m_isBorrowing { false };
    int m_accepted { 0 };
    double m_admitted { 0 };
    double m_lowest { 0 };
    double m_largestBurst { 0 };
};

} // namespace

TEST_CASE("OrganisationLimits: an organisation whose clients all use one entry gets most of its limit by lending")
{
    // All requests of an organisation arrive at one entry. With a fixed share of one sixth they would be refused at a
    // sixth of the organisation's limit, while the shares of the other entries are unused.
    LendingFleet fleet(6);
    auto now = start + seconds(7);
    for (; now < start + seconds(67); now += milliseconds(5)) {
        fleet.deliver(now);
        fleet.admit(0, 20, now);
    }
    auto share = fleet.admitted() / (rate * 60);
    CAPTURE(share);
    CHECK(share > 0.8);
    CHECK(fleet.largestBurst() <= rate * burstSeconds);
}

TEST_CASE("OrganisationLimits: the sum over all entries stays within the limit whatever happens to grants and entries")
{
    // Grants and lend requests are lost, duplicated and delayed, the network is partitioned and healed, entries restart
    // with empty memory, and some are paused beyond their leases. Large requests make entries borrow more than they
    // use; then requests arrive at all entries at once.
    double largest = 0;
    int accepted = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        LendingFleet fleet(6, seed);
        fleet.isFaulty = true;
        std::vector<TimePoint> pausedUntil(6, start);
        for (auto now = start; now < start + seconds(60); now += milliseconds(10)) {
            if (fleet.draw(0, 600) == 0)
                fleet.partitionIndex = fleet.draw(0, 2) ? 0 : static_cast<std::size_t>(fleet.draw(1, 5));
            if (fleet.draw(0, 4000) == 0)
                fleet.restart(static_cast<std::size_t>(fleet.draw(0, 5)), now);
            if (fleet.draw(0, 600) == 0)
                pausedUntil[static_cast<std::size_t>(fleet.draw(0, 5))] = now + milliseconds(fleet.draw(0, 8000));
            fleet.deliver(now);
            bool isRush = fleet.draw(0, 1000) == 0;
            for (std::size_t i = 0; i < 6; ++i) {
                if (now < pausedUntil[i])
                    continue;
                if (fleet.draw(0, 60) == 0)
                    fleet.admit(i, fleet.draw(700, 4000), now);
                while (isRush && fleet.admit(i, 20, now)) { }
            }
        }
        largest = std::max(largest, fleet.largestBurst());
        accepted += fleet.accepted();
    }
    CAPTURE(largest, accepted);
    CHECK(largest <= rate * burstSeconds + 1e-6);
    CHECK(largest > 0.9 * rate * burstSeconds);
    CHECK(accepted > 500);
}

TEST_CASE("OrganisationLimits: many organisations at their limits at once do not flood the peers with lend requests")
{
    // Two hundred organisations are at their limits, each refused a hundred times a second. If each contacted peers
    // independently, lending would exceed the control traffic that an entry may use many times over.
    auto limits = makeLimits(0);
    limits.onInstanceList({ nameOf(0), nameOf(1), nameOf(2) }, start);
    std::vector<OrganisationName> names;
    for (int i = 0; i < 200; ++i) {
        names.emplace_back(std::to_string(i));
        limits.setLimit(names.back(), { .tokensPerSecond = 1 }, start);
    }
    LimitEffects effects;
    for (int step = 0; step < 500; ++step) {
        for (auto& name : names)
            limits.admit(name, Tokens(100), start + seconds(10) + milliseconds(10 * step), effects);
    }
    CHECK(effects.size() <= 40 * 6);
    CHECK(effects.size() >= 40 * 4);
}

TEST_CASE("OrganisationLimits: a grant is used once, by the incarnation that requested it, within its lease")
{
    auto lender = makeLimits(0);
    auto borrower = makeLimits(1);
    std::vector<InstanceId> names { nameOf(0), nameOf(1) };
    lender.onInstanceList(names, start);
    borrower.onInstanceList(names, start);
    auto now = start + seconds(20);
    LimitEffects effects;
    // Half of 4,000 is the borrower's own share; this request also needs the lender's.
    auto decision = borrower.admit(cafe, Tokens(2500), now, effects);
    REQUIRE(decision.outcome == LimitOutcome::TokenLimit);
    CHECK(decision.isBorrowing);
    REQUIRE(effects.size() == 1);
    auto granted = lender.onLendRequest(effects[0].request, now + milliseconds(2));
    REQUIRE(granted.size() == 1);
    auto grant = granted[0].grant;
    CHECK(grant.tokens == Approx(1000));
    CHECK(lender.availableTokens(cafe, now + milliseconds(2)) == Approx(1000));

    SECTION("a duplicated request is not granted twice")
    {
        CHECK(lender.onLendRequest(effects[0].request, now + milliseconds(3)).empty());
    }
    SECTION("a duplicated grant is accepted once")
    {
        CHECK(borrower.onLendGrant(grant, now + milliseconds(4)));
        CHECK_FALSE(borrower.onLendGrant(grant, now + milliseconds(5)));
        CHECK(borrower.availableTokens(cafe, now + milliseconds(5)) == Approx(3000));
        CHECK(borrower.admit(cafe, Tokens(2500), now + milliseconds(5), effects).outcome == LimitOutcome::Admitted);
    }
    SECTION("a grant in transit is not reported as used up")
    {
        LimitEffects again;
        borrower.admit(cafe, Tokens(2500), now + milliseconds(50), again);
        REQUIRE(again.size() == 1);
        CHECK(again[0].request.spentUpTo == 0);
        CHECK(borrower.onLendGrant(grant, now + milliseconds(51)));
        borrower.admit(cafe, Tokens(9000), now + seconds(1), again);
        CHECK(again.back().request.spentUpTo == 0);
        CHECK(borrower.admit(cafe, Tokens(3000), now + seconds(1), again).outcome == LimitOutcome::Admitted);
        borrower.admit(cafe, Tokens(9000), now + seconds(2), again);
        CHECK(again.back().request.spentUpTo == 1);
    }
    SECTION("a late grant is refused")
    {
        CHECK_FALSE(borrower.onLendGrant(grant, now + seconds(5)));
    }
    SECTION("an unused amount expires with the lease, at the borrower before the lender")
    {
        CHECK(borrower.onLendGrant(grant, now + milliseconds(4)));
        CHECK(lender.availableTokens(cafe, now + seconds(5)) == Approx(1000));
        CHECK(borrower.availableTokens(cafe, now + seconds(5)) == Approx(2000));
        CHECK(lender.availableTokens(cafe, now + seconds(7)) > 1000);
    }
    SECTION("a restarted borrower refuses grants to its previous incarnation")
    {
        auto restarted = makeLimits(1, now, 2);
        restarted.onInstanceList(names, now);
        LimitEffects again;
        restarted.admit(cafe, Tokens(2500), now, again);
        REQUIRE(again[0].request.serial == grant.serial);
        CHECK_FALSE(restarted.onLendGrant(grant, now + milliseconds(4)));
        // The new incarnation's serials must not release what its predecessor may still use.
        again[0].request.serial = 10;
        again[0].request.spentUpTo = 9;
        lender.onLendRequest(again[0].request, now + milliseconds(5));
        CHECK(lender.availableTokens(cafe, now + milliseconds(5)) == Approx(200));
        CHECK(lender.availableTokens(cafe, now + seconds(5)) == Approx(200));
    }
    SECTION("a peer cannot grant more than was requested, nor on behalf of another peer")
    {
        auto inflated = grant;
        inflated.tokens = 1e9;
        inflated.lease = seconds(3600);
        auto foreign = grant;
        foreign.lender = nameOf(5);
        CHECK_FALSE(borrower.onLendGrant(foreign, now + milliseconds(4)));
        CHECK(borrower.onLendGrant(inflated, now + milliseconds(4)));
        CHECK(borrower.availableTokens(cafe, now + milliseconds(4)) == Approx(3000));
        CHECK(borrower.availableTokens(cafe, now + seconds(5)) == Approx(2000));
    }
}

TEST_CASE("OrganisationLimits: a response longer than estimated is deducted from later admissions")
{
    auto limits = makeLimits(0);
    limits.onInstanceList({ nameOf(0) }, start);
    auto now = start + seconds(20);
    LimitEffects effects;
    CHECK(limits.admit(cafe, Tokens(1000), now, effects).outcome == LimitOutcome::Admitted);
    limits.settle(cafe, Tokens(1000), Tokens(5000), now);
    CHECK(limits.availableTokens(cafe, now) == Approx(-1000));
    auto refused = limits.admit(cafe, Tokens(500), now, effects);
    CHECK(refused.outcome == LimitOutcome::TokenLimit);
    CHECK(refused.retryAt == now + milliseconds(1500));
    CHECK(effects.empty());
    CHECK(limits.admit(cafe, Tokens(500), now + milliseconds(1501), effects).outcome == LimitOutcome::Admitted);
    limits.settle(cafe, Tokens(500), Tokens(100), now + milliseconds(1501));
    CHECK(limits.availableTokens(cafe, now + milliseconds(1501)) == Approx(401));
    limits.settle(cafe, Tokens(900000), Tokens(0), now + seconds(2));
    CHECK(limits.availableTokens(cafe, now + seconds(2)) <= 4000);
}

TEST_CASE("OrganisationLimits: requests are limited as well as tokens, and an organisation without a limit is not limited")
{
    auto limits = makeLimits(0);
    OrganisationName counted("counted");
    limits.onInstanceList({ nameOf(0) }, start);
    limits.setLimit(counted, { .requestsPerSecond = 2, .burstSeconds = 1 }, start);
    auto now = start + seconds(20);
    LimitEffects effects;
    CHECK(limits.admit(counted, Tokens(1 << 30), now, effects).outcome == LimitOutcome::Admitted);
    CHECK(limits.admit(counted, Tokens(1), now, effects).outcome == LimitOutcome::Admitted);
    auto refused = limits.admit(counted, Tokens(1), now, effects);
    CHECK(refused.outcome == LimitOutcome::RequestLimit);
    CHECK(refused.retryAt == now + milliseconds(500));
    CHECK(limits.admit(OrganisationName("unknown"), Tokens(1), now, effects).outcome == LimitOutcome::Admitted);
    limits.removeOrganisation(counted);
    CHECK(limits.admit(counted, Tokens(1), now, effects).outcome == LimitOutcome::Admitted);
}
