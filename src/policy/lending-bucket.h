#pragma once

#include <swiftloft/ids.h>
#include <swiftloft/units.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <vector>

namespace swiftloft::policy::internal {

/// An amount with an expiry, borrowed from `peer` or lent to it.
struct Lease {
    double amount;
    TimePoint expiresAt;
    InstanceId peer;
    /// Incarnation of the borrower, and serial of the lend request for which the amount was granted.
    Incarnation incarnation;
    std::uint64_t serial { 0 };
};

inline double sumOf(const std::vector<Lease>& leases)
{
    double sum = 0;
    for (auto& it : leases)
        sum += it.amount;
    return sum;
}

/// One entry's part of one limit: a token bucket with the amounts borrowed into it and lent out of it.
class LendingBucket {
public:
    /// Without a rate the bucket is not limited. `shareIntegral` is the time integral of the share (the fraction of the
    /// limit that this entry may use). When the bucket had no rate before, it starts empty, and the next refill adds
    /// what the share has accumulated since `shareIntegral`.
    void setRate(std::optional<double> perSecond, double burstSeconds, double shareIntegral)
    {
        if (!m_rate) {
            m_shareIntegral = shareIntegral;
            m_level = 0;
        }
        m_rate = perSecond;
        m_burstSeconds = burstSeconds;
    }
    bool isLimited() const { return m_rate.has_value(); }

    /// Adds what the share has accumulated since the last refill, and removes expired leases. `shareIntegral` is the
    /// time integral of the share up to `now`, `share` its current value.
    void refill(double shareIntegral, double share, TimePoint now)
    {
        std::erase_if(m_borrowed, [&](auto& it) { return it.expiresAt <= now; });
        std::erase_if(m_lent, [&](auto& it) { return it.expiresAt <= now; });
        if (!m_rate)
            return;
        auto gained = *m_rate * (shareIntegral - m_shareIntegral);
        m_shareIntegral = shareIntegral;
        m_share = share;
        m_level = std::min(m_level + gained, maxLevel());
    }

    double available() const { return m_rate ? m_level + sumOf(m_borrowed) : std::numeric_limits<double>::infinity(); }
    double burst() const { return m_rate ? *m_rate * m_burstSeconds * m_share : 0; }

    /// Seconds until `amount` is available if no further grants arrive. Amounts that are already borrowed count as
    /// available. Returns `nullopt` when the bucket gains nothing at the current share or `amount` exceeds the burst,
    /// because waiting does not help then.
    std::optional<double> secondsUntil(double amount) const
    {
        if (!m_rate || available() >= amount)
            return 0;
        auto gain = *m_rate * m_share;
        if (gain <= 0 || amount > burst())
            return std::nullopt;
        return (amount - available()) / gain;
    }

    /// Takes from borrowed amounts first, in order of expiry, then from the bucket's own level.
    void take(double amount, TimePoint now)
    {
        m_lastUsedAt = now;
        std::sort(m_borrowed.begin(), m_borrowed.end(), [](auto& a, auto& b) { return a.expiresAt < b.expiresAt; });
        for (auto& it : m_borrowed) {
            auto part = std::min(it.amount, amount);
            it.amount -= part;
            amount -= part;
        }
        std::erase_if(m_borrowed, [](auto& it) { return it.amount <= 0; });
        m_level -= amount;
    }

    /// Returns an unused amount to the bucket; a negative amount is deducted. The level is not capped here, because
    /// every use is preceded by a refill, which caps it.
    void refund(double amount) { m_level += amount; }
    void borrow(Lease lease) { m_borrowed.push_back(std::move(lease)); }
    const std::vector<Lease>& borrowed() const { return m_borrowed; }

    /// Amount that may be lent. Borrowed amounts are excluded, since their leases belong to other entries. A bucket
    /// from which this entry's own clients have taken nothing for `burstSeconds` keeps the smaller `idleReserve`.
    double lendable(double reserve, double idleReserve, TimePoint now) const
    {
        if (!m_rate)
            return 0;
        bool isIdle = std::chrono::duration<double>(now - m_lastUsedAt).count() > m_burstSeconds;
        return std::max(0.0, m_level - (isIdle ? idleReserve : reserve) * burst());
    }
    void lend(Lease lease)
    {
        m_level -= lease.amount;
        m_lent.push_back(std::move(lease));
    }
    /// Removes the leases of `borrower` up to the serial `spentUpTo`. The borrower has reported that it holds nothing
    /// of these grants and will accept no late copy of them, so the bucket may refill these amounts before the leases
    /// expire.
    void release(const InstanceId& borrower, Incarnation incarnation, std::uint64_t spentUpTo)
    {
        std::erase_if(m_lent, [&](auto& it) { return it.peer == borrower && it.incarnation == incarnation && it.serial <= spentUpTo; });
    }

private:
    /// The burst minus the amounts lent. If the bucket refilled an amount that a borrower can still use, the bucket and
    /// the grants together would allow more at one time than the burst of the fleet-wide limit.
    double maxLevel() const { return std::max(0.0, burst() - sumOf(m_lent)); }

    std::optional<double> m_rate;
    double m_burstSeconds { 0 };
    double m_share { 0 };
    double m_shareIntegral { 0 };
    double m_level { 0 };
    TimePoint m_lastUsedAt {};
    std::vector<Lease> m_borrowed;
    std::vector<Lease> m_lent;
};

} // namespace swiftloft::policy::internal
