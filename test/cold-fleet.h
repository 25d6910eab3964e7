#pragma once

#include "src/gateway/cold-server-limits.h"
#include "src/gateway/snapshot.h"

#include <fmt/format.h>

#include <deque>
#include <random>

/// Simulates entries that always have requests for cold backend servers, in virtual time. All entries start together;
/// each learns of the others at a random time within the settling time, and forgets none while the run lasts.
namespace swiftloft::test {

struct ColdFleetOptions {
    int entries { 33 };
    int dataCentres { 3 };
    int servers { 1 };
    /// Requests per second that a cold server accepts; zero for a service without a limit.
    double rate { 17 };
    gateway::ColdLimitOptions limits;
    /// Entries are restarted at random, some of them cut off from the others.
    bool hasFaults { true };
    std::uint64_t seed { 1 };
};

class ColdFleet {
public:
    explicit ColdFleet(const ColdFleetOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_entries(static_cast<std::size_t>(options.entries))
        , m_arrivals(static_cast<std::size_t>(options.servers))
    {
        gateway::ConfigurationParts parts;
        parts.version = gateway::ConfigurationVersion(1);
        gateway::Service service;
        service.name = ServiceName("model");
        service.coldTime = seconds(3600);
        if (options.rate > 0)
            service.coldRate = gateway::RequestRate(options.rate);
        parts.services.push_back(service);
        m_configuration = gateway::Configuration::create(parts).value();
        for (int n = 0; n < options.entries; ++n)
            start(n, true);
    }

    void run(milliseconds time)
    {
        for (auto until = m_now + time; m_now < until; m_now += step) {
            if (m_now >= m_snapshotsAt)
                sendSnapshots();
            if (m_options.hasFaults && m_now >= m_nextFaultAt)
                strike();
            for (int n = 0; n < m_options.entries; ++n)
                sendFrom(n);
        }
    }

    int received() const { return m_received; }
    /// Description of the first second in which a server got too much; empty if there was none.
    const std::string& violation() const { return m_violation; }

private:
    struct Entry {
        gateway::ColdServerLimits limits;
        TimePoint startedAt;
        /// When the others are known, by their number.
        std::map<int, TimePoint> knownAt;
        bool isCutOff { false };
    };

    static constexpr milliseconds step { 5 };
    static constexpr milliseconds snapshotInterval { 100 };
    static constexpr milliseconds window { 1000 };

    gateway::Endpoint endpoint(int n) const { return { boost::asio::ip::address_v4(0x0a000000U + static_cast<unsigned>(n)), 7000 }; }
    DataCentreName dataCentreOf(int n) const { return DataCentreName(fmt::format("dc{}", n % m_options.dataCentres)); }
    Entry& entryAt(int n) { return m_entries[static_cast<std::size_t>(n)]; }
    int uniform(int from, int to) { return std::uniform_int_distribution<int>(from, to)(m_random); }

    void start(int n, bool isWithAll)
    {
        auto& entry = entryAt(n);
        entry = {};
        entry.limits.setOptions(m_options.limits);
        entry.startedAt = m_now;
        auto maxDelay = static_cast<int>(gateway::ColdServerLimits::settleTime.count());
        for (int other = 0; other < m_options.entries; ++other)
            entry.knownAt[other] = m_now + milliseconds(isWithAll ? uniform(0, maxDelay) : uniform(0, maxDelay / 3));
    }

    /// Restarts one entry. One in three stays cut off from the others; at most a tenth of the entries, and no more than
    /// ten, are cut off.
    void strike()
    {
        m_nextFaultAt = m_now + milliseconds(uniform(100, 600));
        int n = uniform(0, m_options.entries - 1);
        auto cutOff = std::count_if(m_entries.begin(), m_entries.end(), [](auto& it) { return it.isCutOff; });
        start(n, false);
        bool mayCutOff = cutOff < std::min(10, m_options.entries / 10);
        entryAt(n).isCutOff = mayCutOff && uniform(0, 2) == 0;
        sendSnapshots();
    }

    gateway::EntryMember memberOf(int n) { return { endpoint(n), Incarnation(1), 1, endpoint(n), dataCentreOf(n), gateway::EntryState::Serving }; }

    void sendSnapshots()
    {
        m_snapshotsAt = m_now + snapshotInterval;
        for (int n = 0; n < m_options.entries; ++n) {
            auto& entry = entryAt(n);
            gateway::Snapshot snapshot;
            snapshot.configuration = m_configuration;
            snapshot.self = memberOf(n);
            snapshot.dataCentre = dataCentreOf(n);
            snapshot.localRoster = { endpoint(n) };
            for (int other = 0; other < m_options.entries; ++other) {
                if (other == n || entry.isCutOff || entry.knownAt[other] > m_now)
                    continue;
                snapshot.entries.push_back(memberOf(other));
                if (dataCentreOf(other) == snapshot.dataCentre)
                    snapshot.localRoster.push_back(endpoint(other));
            }
            snapshot.maxEntries = std::max<std::size_t>(9, snapshot.entries.size() + 1);
            for (int server = 0; server < m_options.servers; ++server)
                snapshot.servers.push_back(serverAt(server));
            entry.limits.setFleet(m_now, snapshot);
        }
    }

    gateway::BackendServer serverAt(int n) const
    {
        gateway::BackendServer server { BackendServerId(fmt::format("s{}", n)), ServiceName("model"), endpoint(1000 + n), dataCentreOf(n), 10, gateway::ServerState::Ready };
        server.coldUntil = m_now + seconds(3600);
        return server;
    }

    void sendFrom(int n)
    {
        for (int server = 0; server < m_options.servers; ++server) {
            auto hash = gateway::hashOf(serverAt(server).incarnation());
            auto& limits = entryAt(n).limits;
            if (limits.nextSendTime(m_now, hash) > m_now)
                continue;
            limits.onSend(m_now, hash);
            receive(server);
        }
    }

    void receive(int server)
    {
        ++m_received;
        auto& arrivals = m_arrivals[static_cast<std::size_t>(server)];
        arrivals.push_back(m_now);
        while (arrivals.front() + window <= m_now)
            arrivals.pop_front();
        auto allowed = m_options.limits.overshoot * m_options.rate + m_options.limits.slack;
        if (static_cast<double>(arrivals.size()) > allowed && m_violation.empty())
            m_violation = fmt::format("{} ms after the start server {} got {} requests in a second; allowed {:.1f}",
                std::chrono::duration_cast<milliseconds>(m_now - origin).count(), server, arrivals.size(), allowed);
    }

    static constexpr TimePoint origin { seconds(100) };

    ColdFleetOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Entry> m_entries;
    std::vector<std::deque<TimePoint>> m_arrivals;
    std::shared_ptr<const gateway::Configuration> m_configuration;
    TimePoint m_now { origin };
    TimePoint m_snapshotsAt { origin };
    TimePoint m_nextFaultAt { origin + seconds(2) };
    int m_received { 0 };
    std::string m_violation;
};

} // namespace swiftloft::test
