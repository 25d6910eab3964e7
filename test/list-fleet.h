#pragma once

#include "src/gateway/control-state.h"
#include "src/gateway/store-cursor.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Entries with the control state of the product, a store that may be unreachable or be restored from an older copy,
/// and backend servers that join, leave and die, in virtual time.
namespace swiftloft::test {

/// The platform's store: every write gets the next revision. After a restore from an older copy, revisions are used
/// again.
class ListStore {
public:
    struct Change {
        gateway::Topic topic { gateway::Topic::Servers };
        gateway::PublishedItem item;
    };

    void write(gateway::Topic topic, const std::string& name, const std::string& document) { add(topic, { name, document, 0, false }); }
    void remove(gateway::Topic topic, const std::string& name) { add(topic, { name, "", 0, true }); }

    gateway::PublishedItems list(gateway::Topic topic) const
    {
        std::map<std::string, gateway::PublishedItem> latest;
        for (auto& change : m_history) {
            if (change.topic == topic)
                latest[change.item.name] = change.item;
        }
        gateway::PublishedItems items { {}, revision(), m_era };
        for (auto& [name, item] : latest) {
            if (!item.isRemoved)
                items.items.push_back(item);
        }
        return withEra(std::move(items));
    }
    gateway::PublishedItems changesAfter(gateway::Topic topic, std::uint64_t after) const
    {
        gateway::PublishedItems items { {}, revision(), m_era };
        for (auto& change : m_history) {
            if (change.topic == topic && change.item.revision > after)
                items.items.push_back(change.item);
        }
        return withEra(std::move(items));
    }
    std::optional<std::string> documentOf(const std::string& name) const
    {
        for (auto& item : list(gateway::Topic::Servers).items) {
            if (item.name == name)
                return item.document;
        }
        return std::nullopt;
    }
    std::uint64_t revision() const { return firstRevision + m_history.size(); }
    /// Discards everything that was written after `revision`.
    void restoreTo(std::uint64_t revision)
    {
        m_history.resize(revision - firstRevision);
        m_era = gateway::StoreEra(m_era.value() + 1);
    }

private:
    static constexpr std::uint64_t firstRevision { 10 };

    void add(gateway::Topic topic, gateway::PublishedItem item)
    {
        item.revision = revision() + 1;
        m_history.push_back({ topic, std::move(item) });
    }
    gateway::PublishedItems withEra(gateway::PublishedItems items) const
    {
        for (auto& item : items.items)
            item.era = m_era;
        return items;
    }

    std::vector<Change> m_history;
    gateway::StoreEra m_era { 3 };
};

class ListFleet {
public:
    static constexpr milliseconds step { 10 };
    static constexpr milliseconds heartbeatInterval { 1200 };
    static constexpr milliseconds leaseTime { 3600 };
    static constexpr milliseconds drainTime { 2000 };
    /// Time after a disturbance of an entry or the store during which no time limit is checked for it.
    static constexpr milliseconds settleTime { 3000 };

    ListFleet(int entries, std::uint64_t seed, double loss)
        : m_random(seed)
        , m_loss(loss)
        , m_entries(static_cast<std::size_t>(entries))
    {
        publish();
        for (int n = 0; n < 6; ++n)
            addServer();
        for (int n = 0; n < entries; ++n)
            restartEntry(n);
    }

    void run(milliseconds time)
    {
        for (auto until = m_now + time; m_now < until;) {
            m_now += step;
            sendHeartbeats();
            for (auto& entry : m_entries) {
                follow(entry, gateway::Topic::Configuration);
                follow(entry, gateway::Topic::Servers);
            }
            deliver();
            if ((m_now - origin()).count() % Clock::duration(gateway::ControlState::tickInterval).count() == 0) {
                for (auto& entry : m_entries)
                    apply(entry, gateway::control::Ticked {});
                checkInvariants();
            }
        }
    }

    void addServer()
    {
        auto id = fmt::format("s{}", ++m_lastServer);
        m_servers[id] = { m_now };
        sendHeartbeats();
    }
    /// A random live server writes to the list that it drains, or its entry is removed. It continues to serve for a
    /// while.
    void leave(bool isDraining)
    {
        auto* server = pickLiving();
        if (!server || isStoreUnreachable())
            return;
        server->second.leftAt = m_now;
        server->second.isDraining = isDraining;
        if (isDraining)
            m_store.write(gateway::Topic::Servers, server->first, "draining");
        else
            m_store.remove(gateway::Topic::Servers, server->first);
    }
    /// A random live server reports in its response to one entry that it leaves.
    void reportLeaving()
    {
        auto* server = pickLiving();
        if (!server)
            return;
        server->second.isLeavingUnlisted = true;
        server->second.leftAt = m_now;
        auto& entry = m_entries[pick(0, m_entries.size() - 1)];
        entry.knownLeft.insert(server->first);
        apply(entry, gateway::control::LeavingReported { { BackendServerId(server->first), {} } });
    }
    void publish()
    {
        if (!isStoreUnreachable())
            m_store.write(gateway::Topic::Configuration, "", std::to_string(++m_version));
    }
    /// The store is unreachable for `away`. Afterwards it is restored to the state that it had `ago` before this call.
    void restoreStore(milliseconds ago, milliseconds away)
    {
        m_storeUnreachableUntil = m_now + away;
        m_storeDisturbedAt = m_storeUnreachableUntil;
        auto it = std::find_if(m_copies.rbegin(), m_copies.rend(), [&](auto& copy) { return copy.first <= m_now - ago; });
        m_store.restoreTo(it == m_copies.rend() ? m_copies.front().second : it->second);
        std::erase_if(m_copies, [&](auto& copy) { return copy.second > m_store.revision(); });
        for (auto& item : m_store.list(gateway::Topic::Servers).items)
            m_listedSince[item.name] = m_storeUnreachableUntil;
    }
    void disconnectStore(milliseconds time)
    {
        m_storeUnreachableUntil = std::max(m_storeUnreachableUntil, m_now + time);
        m_storeDisturbedAt = m_storeUnreachableUntil;
    }
    /// The entry can't reach the store for `time`.
    void disconnectEntry(int n, milliseconds time)
    {
        auto& entry = m_entries[static_cast<std::size_t>(n)];
        entry.disconnectedUntil = std::max(entry.disconnectedUntil, m_now + time);
        entry.disturbedAt = entry.disconnectedUntil;
    }
    void restartEntry(int n)
    {
        auto& entry = m_entries[static_cast<std::size_t>(n)];
        gateway::EntryMember self { endpoint(n), Incarnation(++m_lastIncarnation), 0, endpoint(n), dataCentreOf(n), gateway::EntryState::Starting };
        entry = {};
        entry.state = std::make_unique<gateway::ControlState>(self, std::vector { endpoint(0), endpoint(1) }, 9, decoders(), policy::Generator(static_cast<unsigned>(m_lastIncarnation)), m_now);
        entry.disturbedAt = m_now;
    }

    /// The store takes this long for a list of the servers.
    void setListTime(milliseconds time) { m_listTime = time; }
    /// Calls to the store so far, without those that wait for a change.
    int lists() const { return m_lists; }
    int failedCalls() const { return m_failedCalls; }
    /// Entries that are ready to serve.
    std::size_t readyEntries() const
    {
        return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](auto& it) { return it.state->snapshot(m_now).isReady; }));
    }

    /// Description of the first violation; empty while there is none.
    const std::string& violation() const { return m_violation; }
    /// Describes an entry that has not recovered, because it doesn't show a live server as ready or lacks the newest
    /// configuration; empty if there is none. For use after a time without disturbances.
    std::string recoveryProblem() const
    {
        for (auto& entry : m_entries) {
            auto snapshot = entry.state->snapshot(m_now);
            if (!snapshot.configuration || snapshot.configuration->version() != gateway::ConfigurationVersion(m_version))
                return fmt::format("configuration {}, expected {}", snapshot.configuration ? snapshot.configuration->version().value() : 0, m_version);
            for (auto& [id, server] : m_servers) {
                if (!server.leftAt && !isReadyIn(snapshot, id))
                    return fmt::format("server {} is alive but not ready", id);
            }
        }
        return "";
    }

private:
    struct Server {
        TimePoint nextHeartbeatAt;
        std::optional<TimePoint> leftAt;
        bool isDraining { false };
        /// The server has reported to one entry only that it is leaving, and the list does not show this.
        bool isLeavingUnlisted { false };
    };
    struct Entry {
        std::unique_ptr<gateway::ControlState> state;
        std::map<gateway::Topic, gateway::StoreCursor> cursors;
        std::map<gateway::Topic, TimePoint> answeredAt;
        std::map<gateway::Topic, TimePoint> nextTryAt;
        /// When a list that is in progress is complete.
        std::map<gateway::Topic, TimePoint> listedAt;
        bool isWatching { false };
        milliseconds maxBackOff { 0 };
        TimePoint disconnectedUntil;
        TimePoint disturbedAt;
        /// Servers that this entry has shown as ready.
        std::set<std::string> used;
        /// Servers that this entry has known to have left since.
        std::set<std::string> knownLeft;
        std::uint64_t version { 0 };
    };
    struct Message {
        TimePoint at;
        std::size_t to { 0 };
        gateway::control::Event event;
    };

    static TimePoint origin() { return TimePoint { seconds(1000) }; }
    static gateway::Endpoint endpoint(int n) { return { boost::asio::ip::address_v4(0x0a000000U + static_cast<unsigned>(n)), 7000 }; }
    static DataCentreName dataCentreOf(int n) { return DataCentreName(std::string(1, static_cast<char>('a' + n % 3))); }
    static gateway::Protocol decoders()
    {
        gateway::Protocol protocol;
        protocol.decodeConfiguration = [](std::string_view document) -> Result<std::shared_ptr<const gateway::Configuration>> {
            gateway::ConfigurationParts parts;
            parts.version = gateway::ConfigurationVersion(std::stoull(std::string(document)));
            parts.services.push_back({ ServiceName("model"), "/health", 0, std::nullopt });
            return gateway::Configuration::create(parts);
        };
        protocol.decodeServer = [](std::string_view id, std::string_view document, TimePoint) -> Result<gateway::BackendServer> {
            auto state = document == "ready" ? gateway::ServerState::Ready : gateway::ServerState::Draining;
            return gateway::BackendServer { BackendServerId(std::string(id)), ServiceName("model"), {}, DataCentreName("a"), 6, state };
        };
        return protocol;
    }

    std::size_t pick(std::size_t min, std::size_t max) { return std::uniform_int_distribution<std::size_t>(min, max)(m_random); }
    std::pair<const std::string, Server>* pickLiving()
    {
        std::vector<std::pair<const std::string, Server>*> living;
        for (auto& it : m_servers) {
            if (!it.second.leftAt)
                living.push_back(&it);
        }
        return living.size() < 2 ? nullptr : living[pick(0, living.size() - 1)];
    }
    bool isStoreUnreachable() const { return m_now < m_storeUnreachableUntil; }
    bool isStoreStable(TimePoint since) const { return m_storeDisturbedAt + settleTime <= since; }

    /// Servers and the operator rewrite their documents that the store lacks. Entries without heartbeats expire.
    void sendHeartbeats()
    {
        if (isStoreUnreachable())
            return;
        if (m_copies.empty() || m_copies.back().first + milliseconds(100) <= m_now)
            m_copies.emplace_back(m_now, m_store.revision());
        auto configuration = m_store.list(gateway::Topic::Configuration).items;
        if (configuration.empty() || configuration[0].document != std::to_string(m_version))
            m_store.write(gateway::Topic::Configuration, "", std::to_string(m_version));
        for (auto& [id, server] : m_servers) {
            if (m_now < server.nextHeartbeatAt)
                continue;
            server.nextHeartbeatAt = m_now + heartbeatInterval;
            bool writes = !server.leftAt || server.isDraining || server.isLeavingUnlisted;
            bool hasEnded = server.leftAt && *server.leftAt + 2 * drainTime < m_now;
            auto* document = server.isDraining ? "draining" : "ready";
            if (!writes || hasEnded)
                continue;
            m_listedSince[id] = m_now;
            if (m_store.documentOf(id) != document)
                m_store.write(gateway::Topic::Servers, id, document);
        }
        for (auto& item : m_store.list(gateway::Topic::Servers).items) {
            if (m_listedSince[item.name] + leaseTime <= m_now)
                m_store.remove(gateway::Topic::Servers, item.name);
        }
    }

    void follow(Entry& entry, gateway::Topic topic)
    {
        if (!entry.isWatching || m_now < entry.nextTryAt[topic])
            return;
        if (isStoreUnreachable() || m_now < entry.disconnectedUntil) {
            ++m_failedCalls;
            entry.nextTryAt[topic] = m_now + std::max(retryInterval, entry.maxBackOff);
            return apply(entry, gateway::control::StoreFailed { topic });
        }
        auto& cursor = entry.cursors[topic];
        if (cursor.knownRevision() && *cursor.knownRevision() > m_store.revision())
            cursor.reset();
        if (!cursor.knownRevision()) {
            auto [doneAt, isBegun] = entry.listedAt.try_emplace(topic, m_now + (topic == gateway::Topic::Servers ? m_listTime : milliseconds(0)));
            m_lists += isBegun ? 1 : 0;
            if (m_now < doneAt->second)
                return;
            entry.listedAt.erase(doneAt);
            auto items = m_store.list(topic);
            if (cursor.onListed(items) == gateway::StoreCursor::Action::Apply)
                apply(entry, gateway::control::StoreListed { topic, items });
            return;
        }
        auto changes = m_store.changesAfter(topic, *cursor.knownRevision());
        if (changes.items.empty() && m_now < entry.answeredAt[topic] + watchTimeout)
            return;
        entry.answeredAt[topic] = m_now;
        if (cursor.onChanged(changes) == gateway::StoreCursor::Action::Apply)
            apply(entry, gateway::control::StoreChanged { topic, changes });
    }

    void apply(Entry& entry, const gateway::control::Event& event)
    {
        for (auto& effect : entry.state->apply(m_now, event))
            std::visit([&](auto& it) { perform(entry, it); }, effect);
    }
    void send(const gateway::Endpoint& to, gateway::control::Event event, milliseconds delay)
    {
        m_network.push_back({ m_now + delay, to.address().to_v4().to_uint() - 0x0a000000U, std::move(event) });
    }
    static gateway::Endpoint addressOf(const Entry& entry) { return entry.state->snapshot({}).self.control; }

    void perform(Entry&, const gateway::control::SendHello& effect)
    {
        for (auto& to : effect.to) {
            if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss)
                send(to, gateway::control::HelloReceived { effect.hello }, networkDelay);
        }
    }
    void perform(Entry& entry, const gateway::control::Pull& effect)
    {
        auto& from = m_entries[effect.from.address().to_v4().to_uint() - 0x0a000000U];
        auto items = from.state->published(effect.topic);
        if (items)
            send(addressOf(entry), gateway::control::PullAnswered { effect.topic, *items }, 2 * networkDelay);
        else
            send(addressOf(entry), gateway::control::PullFailed { effect.topic }, 2 * networkDelay);
    }
    void perform(Entry&, const gateway::control::ForwardSuspicions&) { }
    void perform(Entry& entry, const gateway::control::SetWatching& effect)
    {
        entry.maxBackOff = effect.maxBackOff;
        if (entry.isWatching == effect.isOn)
            return;
        entry.isWatching = effect.isOn;
        entry.listedAt.clear();
        for (auto& [topic, cursor] : entry.cursors)
            cursor.reset();
    }
    void perform(Entry&, const gateway::control::PublishSnapshot&) { }
    void perform(Entry&, const gateway::control::SendBrief&) { }

    void deliver()
    {
        std::vector<Message> due;
        auto isDue = [&](auto& it) { return it.at <= m_now; };
        std::copy_if(m_network.begin(), m_network.end(), std::back_inserter(due), isDue);
        std::erase_if(m_network, isDue);
        for (auto& it : due)
            apply(m_entries[it.to], it.event);
    }

    static bool isReadyIn(const gateway::Snapshot& snapshot, const std::string& id)
    {
        return std::any_of(snapshot.servers.begin(), snapshot.servers.end(), [&](auto& it) { return it.id == BackendServerId(id) && it.state == gateway::ServerState::Ready; });
    }

    /// An entry that has known a server to have left never shows it as ready again. A connected entry knows it
    /// `drainTime` after the server has left. No configuration reverts.
    void checkInvariants()
    {
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            auto& entry = m_entries[n];
            auto snapshot = entry.state->snapshot(m_now);
            auto version = snapshot.configuration ? snapshot.configuration->version().value() : 0;
            if (version < entry.version)
                recordViolation(fmt::format("entry {} went from configuration {} back to {}", n, entry.version, version));
            entry.version = version;
            for (auto& [id, server] : m_servers) {
                bool isReady = isReadyIn(snapshot, id);
                if (isReady)
                    entry.used.insert(id);
                if (server.leftAt && snapshot.isReady)
                    checkLeftServer(n, id, server, isReady);
            }
        }
    }
    void checkLeftServer(std::size_t n, const std::string& id, const Server& server, bool isReady)
    {
        auto& entry = m_entries[n];
        auto sinceLeft = std::chrono::duration_cast<milliseconds>(m_now - *server.leftAt).count();
        if (!isReady && entry.used.contains(id))
            entry.knownLeft.insert(id);
        if (isReady && entry.knownLeft.contains(id))
            recordViolation(fmt::format("entry {} knew that {} had left but shows it as ready again, {} ms after it left", n, id, sinceLeft));
        bool isInTouch = entry.disturbedAt + settleTime <= m_now && isStoreStable(*server.leftAt);
        bool isLate = m_now > *server.leftAt + drainTime;
        if (isReady && isLate && isInTouch && !server.isLeavingUnlisted)
            recordViolation(fmt::format("entry {} shows {} as ready {} ms after it left", n, id, sinceLeft));
    }
    void recordViolation(const std::string& text)
    {
        if (m_violation.empty())
            m_violation = fmt::format("at {} ms {}", std::chrono::duration_cast<milliseconds>(m_now - origin()).count(), text);
    }

    static constexpr milliseconds networkDelay { 2 };
    static constexpr milliseconds watchTimeout { 1500 };
    static constexpr milliseconds retryInterval { 400 };

    std::mt19937_64 m_random;
    double m_loss;
    ListStore m_store;
    std::map<std::string, Server> m_servers;
    std::map<std::string, TimePoint> m_listedSince;
    std::vector<Entry> m_entries;
    std::vector<Message> m_network;
    std::vector<std::pair<TimePoint, std::uint64_t>> m_copies;
    TimePoint m_now { origin() };
    TimePoint m_storeUnreachableUntil;
    TimePoint m_storeDisturbedAt;
    std::uint64_t m_version { 0 };
    std::uint64_t m_lastIncarnation { 0 };
    int m_lastServer { 0 };
    milliseconds m_listTime { 0 };
    int m_lists { 0 };
    int m_failedCalls { 0 };
    std::string m_violation;
};

} // namespace swiftloft::test
