#include "src/gateway/entry-daemon.h"

#include "src/gateway/control-state.h"
#include "src/gateway/datagram-metrics.h"
#include "src/gateway/store-follower.h"
#include "src/gateway/traffic-server.h"
#include "src/log/logger.h"
#include "src/process/fetch-page.h"
#include "src/process/metrics.h"
#include "src/process/signals.h"
#include "src/process/status-server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>
#include <set>
#include <thread>

namespace swiftloft::gateway {

namespace asio = boost::asio;

namespace {

constexpr const char* configurationPage = "/published/configuration";
constexpr const char* serversPage = "/published/servers";
/// A pull within a data centre takes milliseconds; a peer that takes longer is cut off.
constexpr milliseconds pullTimeout { 800 };

const char* pageOf(Topic topic)
{
    return topic == Topic::Configuration ? configurationPage : serversPage;
}

/// Returns `store` with a count of its calls. A list of several pages counts once.
Store countCalls(const Store& store, process::SharedMetrics& metrics)
{
    auto count = [&metrics](const std::string& kind) { metrics.count("swiftloft_entry_store_calls_total", { { "kind", kind } }); };
    Store counting;
    counting.list = [store, count](Topic topic, TimePoint deadline) {
        count(std::string("list-") + nameOf(topic));
        return store.list(topic, deadline);
    };
    counting.watch = [store, count](std::uint64_t after, TimePoint waitUntil, TimePoint deadline) {
        count("watch");
        return store.watch(after, waitUntil, deadline);
    };
    return counting;
}

EntryMember selfMember(const EntrySettings& settings, Incarnation incarnation)
{
    return { settings.peers, incarnation, 0, settings.clients, settings.dataCentre, EntryState::Starting };
}

/// Returns `protocol` with a configuration decoder that refuses homes which are no regions of the settings.
Protocol withCheckedHomes(Protocol protocol, const EntrySettings& settings)
{
    protocol.decodeConfiguration = gateway::withCheckedHomes(std::move(protocol.decodeConfiguration), settings.regions, protocol.homesKey);
    return protocol;
}

/// The control thread: carries out the effects of `ControlState` and passes events to it.
class EntryControl {
public:
    EntryControl(const EntrySettings& settings, const Protocol& protocol, const StoreFactory& makeStore, process::SharedMetrics& metrics, Incarnation incarnation, TrafficServer& traffic)
        : m_settings(settings)
        , m_traffic(traffic)
        , m_metrics(metrics)
        , m_store(countCalls(makeStore(m_ioContext), metrics))
        , m_state(selfMember(settings, incarnation), settings.seeds, settings.minEntries, withCheckedHomes(protocol, settings), policy::Generator(std::random_device {}()), Clock::now())
        , m_pages(m_ioContext, settings.peers, settings.resources.forPeers())
        , m_metricsPages(m_ioContext, settings.metrics, settings.resources.forStatus())
        , m_stop(m_ioContext, [this](int count) { onStop(count); })
        , m_hangUp(m_ioContext, [] { log::write(log::Event::SettingsFileChanged, ""); })
        , m_timer(m_ioContext)
        , m_follower(m_ioContext, m_store, settings.applyTimeout, [this](auto& event) { apply(event); })
    {
        m_controlSocket = ControlSocket::create(m_ioContext, settings.peers, [this](auto&, ControlMessage message) { onMessage(std::move(message)); }).value();
        m_controlSocket->setOnDatagram(datagramCounter(metrics, "swiftloft_entry"));
        m_traffic.setOnLoadsMeasured([this](TrafficServer::Measurements measured) {
            asio::post(m_ioContext, [this, measured = std::move(measured)] { apply(control::LoadsMeasured { measured.loads, measured.demands, measured.suspicions }); });
        });
        m_traffic.setOnServerLeaving([this](const ServerIncarnation& server) {
            asio::post(m_ioContext, [this, server] { apply(control::LeavingReported { server }); });
        });
        for (auto topic : { Topic::Configuration, Topic::Servers })
            m_pages.add(pageOf(topic), [this, topic] { return publishedPage(topic); });
        m_metricsPages.add("/metrics", [&metrics] { return process::StatusAnswer { 200, "text/plain; version=0.0.4", metrics.text() }; });
        m_follower.start();
        tick();
    }

    /// Returns when the traffic thread has ended.
    void run() { m_ioContext.run(); }
    /// May be called from any thread.
    void stop()
    {
        asio::post(m_ioContext, [this] { m_ioContext.stop(); });
    }

private:
    void apply(const control::Event& event)
    {
        auto effects = m_state.apply(Clock::now(), event);
        for (auto& effect : effects)
            std::visit([this](auto& it) { perform(it); }, effect);
    }

    void perform(const control::PublishSnapshot&)
    {
        m_traffic.setSnapshot(std::make_shared<Snapshot>(m_state.snapshot(Clock::now())));
        reportEvacuations();
    }

    /// Sets one gauge for each data centre that is or was evacuated: the store's revision of the request, or 0.
    void reportEvacuations()
    {
        auto& requests = m_state.evacuations().requests();
        for (auto& [dataCentre, requestedAt] : requests)
            m_reportedEvacuations.insert(dataCentre);
        for (auto& dataCentre : m_reportedEvacuations) {
            auto it = requests.find(dataCentre);
            m_metrics.set("swiftloft_entry_evacuated", { { "data_centre", dataCentre.value() } }, it == requests.end() ? 0 : static_cast<double>(it->second.revision));
        }
    }

    void perform(const control::SendHello& effect)
    {
        auto bytes = encode(ControlMessage(effect.hello));
        for (auto& target : effect.to)
            m_controlSocket->sendEncoded(target, ControlMessageKind::Hello, bytes);
    }

    void perform(const control::SendBrief& effect)
    {
        m_controlSocket->send(Endpoint(effect.to.address(), m_settings.agentPort), effect.brief);
    }

    void perform(const control::ForwardSuspicions& effect) { m_traffic.onSuspicions(effect.suspicions); }

    void perform(const control::SetWatching& effect)
    {
        m_follower.setMaxBackOff(effect.maxBackOff);
        m_follower.setActive(effect.isOn);
    }

    void perform(const control::Pull& effect)
    {
        co_spawn(m_ioContext, pull(effect), asio::detached);
    }

    asio::awaitable<void> pull(control::Pull effect)
    {
        std::optional<PublishedItems> items;
        try {
            auto body = co_await process::fetchPage(m_ioContext, effect.from, pageOf(effect.topic), Clock::now() + pullTimeout);
            items = decodeItems(body).value();
        } catch (const std::exception& error) {
            log::write(log::Event::PullFailed, "from={}:{} page={} problem=\"{}\"", effect.from.address().to_string(), effect.from.port(), pageOf(effect.topic), error.what());
        }
        if (items)
            apply(control::PullAnswered { effect.topic, std::move(*items) });
        else
            apply(control::PullFailed { effect.topic });
    }

    void onMessage(ControlMessage message)
    {
        if (auto* hello = std::get_if<Hello>(&message))
            apply(control::HelloReceived { std::move(*hello) });
        else if (auto* rank = std::get_if<RankStatus>(&message))
            apply(control::RankStatusReceived { std::move(*rank) });
    }

    process::StatusAnswer publishedPage(Topic topic) const
    {
        auto items = m_state.published(topic);
        if (!items)
            return { 503, "text/plain", "not known yet\n" };
        return { 200, "application/octet-stream", encode(*items) };
    }

    void onStop(int count)
    {
        if (count > 1)
            return;
        auto now = Clock::now();
        auto schedule = StopSchedule::create(now, now + m_settings.stopTimeout);
        auto sinceNow = [&](TimePoint time) { return std::chrono::duration_cast<milliseconds>(time - now).count(); };
        log::write(log::Event::ProcessStopping, "accepts-ms={} deadline-ms={}", sinceNow(schedule.acceptsUntil), sinceNow(schedule.deadline));
        apply(control::StopRequested { schedule.acceptsUntil });
        m_traffic.stop(schedule);
    }

    void tick()
    {
        apply(control::Ticked {});
        m_timer.expires_at(Clock::now() + ControlState::tickInterval);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                tick();
        });
    }

    asio::io_context m_ioContext { 1 };
    const EntrySettings& m_settings;
    TrafficServer& m_traffic;
    process::SharedMetrics& m_metrics;
    std::set<DataCentreName> m_reportedEvacuations;
    Store m_store;
    ControlState m_state;
    process::StatusServer m_pages;
    process::StatusServer m_metricsPages;
    process::StopSignals m_stop;
    process::HangUpSignal m_hangUp;
    asio::steady_timer m_timer;
    StoreFollower m_follower;
    std::shared_ptr<ControlSocket> m_controlSocket;
};

} // namespace

void runEntry(const EntrySettings& settings, const Protocol& protocol, const StoreFactory& makeStore, Incarnation incarnation)
{
    process::SharedMetrics metrics;
    TrafficServer traffic(settings, protocol, metrics, incarnation);
    EntryControl control(settings, protocol, makeStore, metrics, incarnation, traffic);
    std::thread thread([&] {
        traffic.run();
        control.stop();
    });
    control.run();
    thread.join();
}

} // namespace swiftloft::gateway
