#pragma once

#include "src/spread/control.h"

#include <swiftloft/membership/instance-list.h>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/// An in-memory network with a few nodes, for tests of the control reducers. Seeded; the same on every run.
namespace swiftloft::test {

using membership::Message;
using membership::NodeId;
using membership::PeerAddress;
using spread::Control;
using spread::Topic;

struct FakeNode;

/// The platform's two documents with watches, a call count and the faults of docs/design/membership.md.
struct FakePlatform {
    struct Published {
        std::map<std::uint64_t, std::string> history;
        std::uint64_t pinned { 0 }; ///< Not 0: a stale replica answers with this revision.

        std::uint64_t revision() const { return pinned ? pinned : history.empty() ? 0
                                                                                  : history.rbegin()->first; }
        const std::string& body() const { return history.at(revision()); }
    };

    Published documents[membership::topicCount];
    bool isDown { false };
    std::function<bool(const FakeNode&)> isReachable; ///< Empty: from everywhere.
    std::size_t callsPerSecond { 2000 };
    std::map<std::int64_t, std::size_t> calls; ///< By second.
    std::size_t overRate { 0 };

    void publish(Topic topic, std::string body)
    {
        auto& document = documents[static_cast<std::size_t>(topic)];
        auto next = document.history.empty() ? 1 : document.history.rbegin()->first + 1;
        document.history[next] = std::move(body);
    }
    bool answers(const FakeNode& node) const { return !isDown && (!isReachable || isReachable(node)); }
    std::size_t totalCalls() const
    {
        std::size_t total = 0;
        for (auto& [second, n] : calls)
            total += n;
        return total;
    }
    std::size_t mostCallsInASecond() const
    {
        std::size_t most = 0;
        for (auto& [second, n] : calls)
            most = std::max(most, n);
        return most;
    }
};

struct FakeNode {
    membership::ListedInstance row;
    std::unique_ptr<Control> control;
    bool isDown { false };
    TimePoint pausedUntil;
    std::vector<std::pair<TimePoint, Revision>> inForce; ///< Settings revisions in the order taken.
    bool wasReady { false };
    std::uint64_t sentBytes { 0 };
    std::uint64_t sentDatagrams { 0 };
    std::uint64_t receivedBytes { 0 };
    std::uint64_t pulledBytes { 0 };
    std::uint64_t servedBytes { 0 };
};

struct FakeFleetOptions {
    std::size_t dataCentres { 3 };
    std::size_t regions { 1 };
    std::size_t entriesPerDataCentre { 2 };
    std::size_t agentsPerDataCentre { 5 };
    std::uint64_t seed { 1 };
    bool measuresBytes { false }; ///< Encodes each datagram to know its size.
    spread::ControlOptions control;
};

class FakeFleet {
public:
    using Drops = std::function<bool(const FakeNode& from, const FakeNode& to)>;

    explicit FakeFleet(FakeFleetOptions options)
        : m_options(options)
        , m_random(options.seed)
        , m_now(std::chrono::hours(1))
    {
        for (std::size_t dc = 0; dc < options.dataCentres; ++dc) {
            auto name = DataCentreName(fmt::format("dc{}", dc));
            m_topology.regions[name] = RegionName(fmt::format("region{}", dc * options.regions / options.dataCentres));
            for (std::size_t i = 0; i < options.entriesPerDataCentre; ++i)
                addRow(membership::Role::Entry, name);
            for (std::size_t i = 0; i < options.agentsPerDataCentre; ++i)
                addRow(membership::Role::Agent, name);
        }
        publishList();
        platform.publish(Topic::Settings, "[tree]\nrevision = 1\n");
    }

    FakePlatform platform;
    Drops drops; ///< True for datagrams, pulls and their answers that get lost.
    bool dropsPulls { false };
    spread::Spreader::Check checkSettings;

    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    FakeNode& node(std::size_t i) { return *m_nodes[i]; }
    Control& control(std::size_t i) { return *m_nodes[i]->control; }

    std::string listJson() const
    {
        std::string rows;
        for (auto& node : m_nodes) {
            auto& row = node->row;
            rows += fmt::format(R"({}{{"id":"{}","role":"{}","address":"{}","peer":"{}","data_centre":"{}","service":"{}","group":"{}","rank":0,"state":"{}"}})",
                rows.empty() ? "" : ",\n", row.id.value(), toString(row.role), row.address.value(), row.peer.value(), row.dataCentre.value(),
                row.service.value(), row.group.value(), row.state == membership::ListedState::Live ? "live" : "leaving");
        }
        return fmt::format("{{\"revision\":1,\"instances\":[{}]}}", rows);
    }
    void publishList() { platform.publish(Topic::Instances, listJson()); }

    /// Starts a new process for node `i`, with no memory of any earlier one.
    void start(std::size_t i)
    {
        auto& node = *m_nodes[i];
        ++m_lives;
        membership::OrderedIncarnation life { static_cast<std::uint64_t>(m_now.time_since_epoch().count() / 1'000'000), Incarnation(m_random.next()) };
        node.control = std::make_unique<Control>(node.row, life, m_topology, m_options.control, checkSettings, m_options.seed * 1000 + m_lives);
        node.isDown = false;
        node.wasReady = false;
        node.inForce.clear();
        auto lives = m_lives;
        node.control->view();
        m_currentLife[i] = lives;
        at(m_now + microseconds(m_random.below(100'000)), [this, i, lives] { tick(i, lives); });
    }
    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }
    void leave(std::size_t i) { step(i, membership::LeaveRequested { m_now }); }
    void inject(std::size_t i, const PeerAddress& from, const Message& message) { step(i, spread::DatagramArrived { from, message, m_now }); }
    void kill(std::size_t i) { m_nodes[i]->isDown = true; }
    void pause(std::size_t i, milliseconds length) { m_nodes[i]->pausedUntil = m_now + length; }

    void run(milliseconds length)
    {
        auto end = m_now + length;
        while (!m_queue.empty() && m_queue.top().when <= end) {
            auto entry = m_queue.top();
            m_queue.pop();
            m_now = std::max(m_now, entry.when);
            entry.action();
        }
        m_now = end;
    }

    /// Runs until `isDone` or `most` has passed; what it took, or none.
    std::optional<milliseconds> runUntil(milliseconds most, const std::function<bool()>& isDone)
    {
        auto begin = m_now;
        while (m_now < begin + most) {
            if (isDone())
                return std::chrono::duration_cast<milliseconds>(m_now - begin);
            run(milliseconds(20));
        }
        return isDone() ? std::optional(most) : std::nullopt;
    }

    bool allReady() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [](auto& it) { return it->isDown || it->control->isReady(); });
    }
    bool allHold(Topic topic, std::uint64_t revision) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](auto& it) { return it->isDown || it->control->spreader(topic).revision() == Revision(revision); });
    }
    /// How many running nodes hold node `i` at that health.
    std::size_t countHealth(std::size_t i, membership::Health health) const
    {
        std::size_t n = 0;
        for (std::size_t j = 0; j < m_nodes.size(); ++j) {
            auto* member = m_nodes[j]->isDown || j == i ? nullptr : m_nodes[j]->control->view()->find(m_nodes[i]->row.id);
            n += member && member->health == health;
        }
        return n;
    }
    membership::DetectorCounters sumCounters() const
    {
        membership::DetectorCounters sum;
        for (auto& node : m_nodes) {
            auto& it = node->control->detector().counters();
            sum.suspicionsRaised += it.suspicionsRaised;
            sum.suspicionsRefuted += it.suspicionsRefuted;
            sum.deathsDeclared += it.deathsDeclared;
            sum.deathsRefuted += it.deathsRefuted;
            sum.pausesDetected += it.pausesDetected;
        }
        return sum;
    }
    /// Real time spent in reducers so far, for benches.
    Clock::duration stepTime() const { return m_stepTime; }
    std::uint64_t steps() const { return m_steps; }
    void at(TimePoint when, std::function<void()> action) { m_queue.push(Entry { when, ++m_order, std::move(action) }); }

private:
    struct Entry {
        TimePoint when;
        std::uint64_t order { 0 };
        std::function<void()> action;

        bool operator<(const Entry& other) const { return when != other.when ? when > other.when : order > other.order; }
    };

    void addRow(membership::Role role, const DataCentreName& dataCentre)
    {
        auto i = m_nodes.size();
        auto node = std::make_unique<FakeNode>();
        node->row.id = NodeId(fmt::format("{}-{}-{}", role == membership::Role::Entry ? "entry" : "agent", dataCentre.value(), i));
        node->row.role = role;
        node->row.address = membership::TrafficAddress(fmt::format("10.0.{}.{}:80", i / 250, i % 250));
        node->row.peer = PeerAddress(fmt::format("10.0.{}.{}:7000", i / 250, i % 250));
        node->row.dataCentre = dataCentre;
        if (role == membership::Role::Agent)
            node->row.service = ServiceName(fmt::format("service{}", i % 11));
        m_byPeer[node->row.peer] = i;
        m_nodes.push_back(std::move(node));
    }

    void tick(std::size_t i, std::uint64_t life)
    {
        auto& node = *m_nodes[i];
        if (node.isDown || m_currentLife[i] != life)
            return;
        if (m_now < node.pausedUntil)
            return at(node.pausedUntil, [this, i, life] { tick(i, life); });
        step(i, membership::Tick { m_now });
        at(m_now + milliseconds(100), [this, i, life] { tick(i, life); });
    }

    /// Hands `make(now)` to node `i`, after its pause if it stands still.
    void deliver(std::size_t i, std::function<spread::ControlEvent()> make)
    {
        auto& node = *m_nodes[i];
        if (node.isDown || !node.control)
            return;
        if (m_now < node.pausedUntil) {
            auto life = m_currentLife[i];
            return at(node.pausedUntil, [this, i, life, make = std::move(make)] {
                if (m_currentLife[i] == life)
                    deliver(i, make);
            });
        }
        step(i, make());
    }

    void step(std::size_t i, const spread::ControlEvent& event)
    {
        spread::ControlEffects effects;
        auto begin = Clock::now();
        m_nodes[i]->control->step(event, effects);
        m_stepTime += Clock::now() - begin;
        ++m_steps;
        for (auto& effect : effects)
            std::visit([&](auto& it) { perform(i, it); }, effect);
    }

    milliseconds latency(std::size_t from, std::size_t to)
    {
        auto& a = m_nodes[from]->row.dataCentre;
        auto& b = m_nodes[to]->row.dataCentre;
        if (a == b)
            return milliseconds(1);
        return m_topology.isSameRegion(a, b) ? milliseconds(2) : milliseconds(20);
    }
    bool isLost(std::size_t from, std::size_t to) const { return drops && drops(*m_nodes[from], *m_nodes[to]); }

    void perform(std::size_t i, const membership::SendMessage& effect)
    {
        auto& sender = *m_nodes[i];
        ++sender.sentDatagrams;
        std::size_t size = m_options.measuresBytes ? membership::encode(effect.message).size() : 0;
        sender.sentBytes += size;
        auto to = m_byPeer.find(effect.to);
        if (to == m_byPeer.end() || isLost(i, to->second))
            return;
        auto j = to->second;
        at(m_now + latency(i, j), [this, i, j, size, message = std::make_shared<Message>(effect.message)] {
            m_nodes[j]->receivedBytes += size;
            deliver(j, [this, i, message] { return spread::DatagramArrived { m_nodes[i]->row.peer, *message, m_now }; });
        });
    }

    void perform(std::size_t i, const spread::PullBlobs& effect)
    {
        auto to = m_byPeer.find(effect.peer);
        auto life = m_currentLife[i];
        auto finish = [this, i, life, topic = effect.topic, ticket = effect.ticket](TimePoint when, spread::BlobsPulled result) {
            result.ticket = ticket;
            at(when, [this, i, life, topic, result = std::make_shared<spread::BlobsPulled>(std::move(result))] {
                for (auto& blob : result->blobs)
                    m_nodes[i]->pulledBytes += blob.size();
                if (m_currentLife[i] == life)
                    deliver(i, [this, topic, result] {
                        result->now = m_now;
                        return spread::PullEnded { topic, *result };
                    });
            });
        };
        auto j = to == m_byPeer.end() ? i : to->second;
        auto& peer = *m_nodes[j];
        if (j == i || dropsPulls || peer.isDown || m_now < peer.pausedUntil || isLost(i, j) || isLost(j, i))
            return finish(effect.deadline, {});
        // Connect and ask: two round trips.
        at(m_now + 3 * latency(i, j), [this, i, j, finish, digests = effect.digests] {
            auto& server = *m_nodes[j];
            auto reply = server.isDown ? spread::BlobsPulled {} : server.control->serve(digests, m_now);
            for (auto& blob : reply.blobs)
                server.servedBytes += blob.size();
            finish(m_now + latency(i, j), std::move(reply));
        });
    }

    void perform(std::size_t i, const spread::CallPlatform& effect)
    {
        auto second = std::chrono::duration_cast<seconds>(m_now.time_since_epoch()).count();
        auto life = m_currentLife[i];
        spread::PlatformAnswer answer;
        ++platform.calls[second];
        if (!platform.answers(*m_nodes[i]))
            return reply(i, life, effect.topic, milliseconds(5), answer);
        if (platform.calls[second] > platform.callsPerSecond) {
            ++platform.overRate;
            answer.outcome = spread::PlatformOutcome::OverRate;
            return reply(i, life, effect.topic, milliseconds(5), answer);
        }
        wait(i, life, effect, m_now + seconds(20));
    }

    void wait(std::size_t i, std::uint64_t life, const spread::CallPlatform& effect, TimePoint end)
    {
        auto& document = platform.documents[static_cast<std::size_t>(effect.topic)];
        spread::PlatformAnswer answer;
        if (!platform.answers(*m_nodes[i]))
            return reply(i, life, effect.topic, milliseconds(5), answer);
        answer.revision = Revision(document.revision());
        if (document.revision() > effect.known.value()) {
            answer.outcome = spread::PlatformOutcome::Body;
            answer.body = document.body();
            return reply(i, life, effect.topic, milliseconds(5), answer);
        }
        if (m_now >= end) {
            answer.outcome = spread::PlatformOutcome::Unchanged;
            return reply(i, life, effect.topic, milliseconds(5), answer);
        }
        if (m_currentLife[i] == life && !m_nodes[i]->isDown)
            at(m_now + milliseconds(20), [this, i, life, effect, end] { wait(i, life, effect, end); });
    }

    void reply(std::size_t i, std::uint64_t life, Topic topic, milliseconds delay, const spread::PlatformAnswer& answer)
    {
        at(m_now + delay, [this, i, life, topic, answer = std::make_shared<spread::PlatformAnswer>(answer)] {
            if (m_currentLife[i] == life)
                deliver(i, [this, topic, answer] { return spread::PlatformReplied { topic, *answer, m_now }; });
        });
    }

    void perform(std::size_t i, const spread::SettingsInForce& effect) { m_nodes[i]->inForce.emplace_back(m_now, effect.document->revision()); }
    void perform(std::size_t i, const spread::NodeReady&) { m_nodes[i]->wasReady = true; }
    template <typename T>
    void perform(std::size_t, const T&)
    {
    }

    FakeFleetOptions m_options;
    membership::Random m_random;
    TimePoint m_now;
    membership::Topology m_topology;
    std::vector<std::unique_ptr<FakeNode>> m_nodes;
    std::map<PeerAddress, std::size_t> m_byPeer;
    std::map<std::size_t, std::uint64_t> m_currentLife;
    std::priority_queue<Entry> m_queue;
    std::uint64_t m_order { 0 };
    std::uint64_t m_lives { 0 };
    Clock::duration m_stepTime {};
    std::uint64_t m_steps { 0 };
};

} // namespace swiftloft::test
