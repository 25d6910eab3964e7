#pragma once

#include "src/agent/rank-engine.h"
#include "test/fake-engine-group.h"

#include <swiftloft/expertmap/coordinator.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace swiftloft::agent::rig {

using namespace expertmap;

/// The agents of a group, each with its rank's part in the protocol, connected by a network that loses and delays
/// messages.
class RankFleet {
public:
    struct Options {
        std::uint32_t ranks { 4 };
        bool checksFences { true };
        CommandFaults commands;
        double loss { 0 };
        int maxDelayTurns { 2 };
        /// Agents read and repair their engines in the turns with this remainder modulo `pollTurns`.
        int pollPhase { 0 };
        std::uint64_t seed { 1 };
    };

    /// Turns between two polls of an engine.
    static constexpr int pollTurns = 10;

    explicit RankFleet(const Options& options)
        : m_options(options)
        , m_group(options.ranks, options.checksFences, options.commands, options.seed)
        , m_random(options.seed * 7 + 1)
        , m_agents(options.ranks)
    {
        for (std::uint32_t r = 0; r < options.ranks; ++r)
            startAgent(r);
    }

    void startAgent(std::uint32_t r)
    {
        Incarnation incarnation(++m_lastIncarnation);
        auto agent = std::make_unique<Agent>(Agent { RankAgent::create({ RankIndex(r), incarnation, true, milliseconds(50), milliseconds(25) }).value(), std::nullopt, m_group.portOf(r), nullptr, incarnation, 0, {} });
        agent->engine = std::make_unique<RankEngine>(agent->port, RankIndex(r), m_group.epoch(), m_lastIncarnation * 1000, [this] { return m_group.now(); });
        if (r == 0) {
            Coordinator::Options options;
            options.incarnation = incarnation;
            options.ranks = m_options.ranks;
            options.maxStagingRanks = m_options.ranks;
            options.leadSteps = 2;
            options.retryInterval = milliseconds(30);
            options.stagePollInterval = milliseconds(30);
            agent->coordinator = Coordinator::create(options).value();
        }
        m_agents[r] = std::move(agent);
        execute(r, m_agents[r]->agent.start(m_group.now()));
        if (r == 0 && m_requestedMap)
            requestMap(*m_requestedMap);
    }

    /// Ends the process. Messages and commands that it has sent remain in transit.
    void killAgent(std::uint32_t r) { m_agents[r].reset(); }
    void freeze(std::uint32_t r, int turns)
    {
        if (m_agents[r])
            m_agents[r]->frozenUntil = m_turn + turns;
    }
    void restartGroup()
    {
        m_group.restart();
        m_requestedMap.reset();
        for (std::uint32_t r = 0; r < m_options.ranks; ++r)
            startAgent(r);
    }

    void requestMap(MapVersion version)
    {
        m_requestedMap = version;
        if (m_agents[0])
            execute(m_agents[0]->coordinator->apply(m_group.now(), coordination::MapChangeRequested { version }));
    }

    void run(int turns)
    {
        for (int n = 0; n < turns; ++n) {
            ++m_turn;
            m_group.advance();
            deliver();
            for (std::uint32_t r = 0; r < m_options.ranks; ++r)
                tick(r);
        }
    }

    const Coordinator& coordinator() const { return *m_agents[0]->coordinator; }
    FakeEngineGroup& group() { return m_group; }
    std::mt19937_64& random() { return m_random; }

private:
    using Message = std::variant<RankOrder, RankReport, RankHello>;
    struct Agent {
        RankAgent agent;
        std::optional<Coordinator> coordinator;
        EnginePort port;
        std::unique_ptr<RankEngine> engine;
        Incarnation incarnation;
        int frozenUntil { 0 };
        std::vector<std::function<void()>> deferredDeliveries;
    };

    bool isFrozen(std::uint32_t r) const { return m_agents[r] && m_agents[r]->frozenUntil > m_turn; }

    void send(std::uint32_t to, const Message& message)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss)
            return;
        m_network.emplace(m_turn + std::uniform_int_distribution<int>(0, m_options.maxDelayTurns)(m_random), std::pair(to, message));
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_turn) {
            auto [to, message] = m_network.begin()->second;
            m_network.erase(m_network.begin());
            auto deliverMessage = [this, to = to, message = message] { receive(to, message); };
            if (isFrozen(to))
                m_agents[to]->deferredDeliveries.push_back(deliverMessage);
            else
                deliverMessage();
        }
    }

    void receive(std::uint32_t to, const Message& message)
    {
        if (!m_agents[to])
            return;
        auto& agent = *m_agents[to];
        if (auto* order = std::get_if<RankOrder>(&message))
            execute(to, agent.agent.apply(m_group.now(), rank::OrderReceived { *order }));
        else if (!agent.coordinator)
            return;
        else if (auto* report = std::get_if<RankReport>(&message))
            execute(agent.coordinator->apply(m_group.now(), coordination::ReportReceived { *report }));
        else
            execute(agent.coordinator->apply(m_group.now(), coordination::HelloReceived { std::get<RankHello>(message) }));
    }

    void tick(std::uint32_t r)
    {
        if (!m_agents[r] || isFrozen(r))
            return;
        for (auto& deliverMessage : std::exchange(m_agents[r]->deferredDeliveries, {}))
            deliverMessage();
        execute(r, m_agents[r]->agent.apply(m_group.now(), rank::Ticked {}));
        if (m_turn % pollTurns == m_options.pollPhase)
            repair(r);
        if (m_agents[r]->coordinator)
            execute(m_agents[r]->coordinator->apply(m_group.now(), coordination::Ticked {}));
    }

    void repair(std::uint32_t r)
    {
        auto& agent = *m_agents[r];
        auto work = [](Agent& it) -> boost::asio::awaitable<void> {
            auto view = co_await it.port.read(TimePoint());
            co_await it.engine->repair(view);
        };
        // A lost response is retried at the next poll.
        boost::asio::co_spawn(m_ioContext, work(agent), [](const std::exception_ptr&) {});
        runAll();
    }

    void execute(std::uint32_t r, const rank::Effects& effects)
    {
        for (auto& effect : effects) {
            if (auto* write = std::get_if<rank::SendToEngine>(&effect))
                perform(r, write->order);
            else if (auto* report = std::get_if<rank::SendReport>(&effect))
                send(0, report->report);
            else if (auto* hello = std::get_if<rank::SendHello>(&effect))
                send(0, hello->hello);
        }
    }

    void execute(const coordination::Effects& effects)
    {
        for (auto& effect : effects) {
            if (auto* order = std::get_if<coordination::SendOrder>(&effect))
                send(order->order.rank.value(), order->order);
        }
    }

    void perform(std::uint32_t r, const EngineOrder& order)
    {
        auto map = std::holds_alternative<StageMap>(order.order) ? std::optional(ExpertMap::contiguous({ m_options.ranks, 1, m_options.ranks, 1 }).value()) : std::nullopt;
        auto incarnation = m_agents[r]->incarnation;
        auto onDone = [this, r, id = order.id, incarnation](const std::exception_ptr& error, const EngineStatus& status) {
            if (!m_agents[r] || m_agents[r]->incarnation != incarnation)
                return;
            auto& agent = m_agents[r]->agent;
            if (error)
                execute(r, agent.apply(m_group.now(), rank::EngineDisconnected {}));
            else
                execute(r, agent.apply(m_group.now(), rank::EngineResponded { id, status, FencingNumber {} }));
        };
        boost::asio::co_spawn(m_ioContext, m_agents[r]->engine->perform(order.order, map), onDone);
        runAll();
    }

    void runAll()
    {
        if (std::exchange(m_isRunning, true))
            return;
        m_ioContext.restart();
        while (m_ioContext.poll() > 0) { }
        m_isRunning = false;
    }

    Options m_options;
    FakeEngineGroup m_group;
    std::mt19937_64 m_random;
    boost::asio::io_context m_ioContext;
    bool m_isRunning { false };
    std::vector<std::unique_ptr<Agent>> m_agents;
    std::multimap<int, std::pair<std::uint32_t, Message>> m_network;
    std::uint64_t m_lastIncarnation { 0 };
    std::optional<MapVersion> m_requestedMap;
    int m_turn { 0 };
};

} // namespace swiftloft::agent::rig
