#include "src/entry/daemon.h"

#include "src/entry/route-page.h"
#include "src/log/logger.h"

#include <swiftloft/membership/address-answer.h>

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace swiftloft::entry {

namespace json = boost::json;

namespace {

constexpr milliseconds tickInterval { 10 };

ReducerOptions reducerOptions(const process::ProcessConfig& config, Incarnation incarnation)
{
    ReducerOptions options;
    options.incarnation = incarnation;
    options.dataCentre = config.dataCentre;
    options.self = InstanceId(config.id);
    options.isFirstStart = config.isFirstStart;
    options.startedAt = Clock::now();
    options.randomSeed = static_cast<std::uint32_t>(incarnation.value());
    return options;
}

/// What the clients of one traffic thread can make the process keep.
process::ClientBounds::Options clientBounds(const process::ProcessConfig& config)
{
    auto bounds = config.resources.forClients();
    return { bounds.maxConnections / config.trafficThreads, bounds.maxBytes / config.trafficThreads };
}

std::string queryValue(const std::string& target, std::string_view name)
{
    auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return "";
    for (auto param : url->params()) {
        if (param.key == name)
            return param.value;
    }
    return "";
}

process::StatusAnswer jsonResponse(const json::object& object, unsigned status = 200)
{
    return { status, "application/json", json::serialize(object) + "\n" };
}

/// Returns the worker that carries out the effect, or `nullopt` if all workers do.
std::optional<WorkerIndex> workerOf(const Effect& effect)
{
    return std::visit([](auto& it) -> std::optional<WorkerIndex> {
        if constexpr (requires { it.worker; })
            return it.worker;
        else
            return std::nullopt;
    },
        effect);
}

std::string utcNow()
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", std::chrono::time_point_cast<seconds>(std::chrono::system_clock::now()));
}

json::string toJson(std::string_view text)
{
    return json::string(text.data(), text.size());
}

} // namespace

Daemon::Daemon(process::ProcessConfig config, Incarnation incarnation)
    : m_config(std::move(config))
    , m_incarnation(incarnation)
    , m_control(1)
    , m_reducer(Reducer::create(reducerOptions(m_config, incarnation)).value())
    , m_burn(Clock::now())
    , m_startedAt(utcNow())
    , m_timer(m_control)
{
}

void Daemon::run()
{
    m_signals = std::make_unique<process::StopSignals>(m_control, [this](int count) {
        log::write(log::Event::ProcessStopping, "signals={}", count);
        if (count > 1)
            return m_control.stop();
        leave();
    });
    startWorkers();
    startFleetControl();
    tick();
    m_control.run();
    for (auto& worker : m_workers)
        worker->stop();
    for (auto& thread : m_threads)
        thread.join();
    m_fleetControl->stop();
}

void Daemon::startWorkers()
{
    for (unsigned n = 0; n < m_config.trafficThreads; ++n) {
        Worker::Hooks hooks;
        hooks.post = [this](std::vector<Event> events) { post(std::move(events)); };
        hooks.statusPage = [this](std::string target, Reply reply) {
            boost::asio::post(m_control, [this, target = std::move(target), reply = std::move(reply)] { replyWithPage(target, reply); });
        };
        hooks.onFinished = [this] { boost::asio::post(m_control, [this] { onWorkerFinished(); }); };
        WorkerOptions options { WorkerIndex(n), m_incarnation, m_config.id, m_config.listen, clientBounds(m_config) };
        m_workers.push_back(std::make_unique<Worker>(std::move(options), std::move(hooks)));
    }
    for (auto& worker : m_workers)
        m_threads.emplace_back([&worker] { worker->run(); });
}

void Daemon::startFleetControl()
{
    daemon::FleetControl::Hooks hooks;
    hooks.onSettings = [this](Revision revision, const settings::Tree& tree) { apply(SettingsActivated { revision, tree, Clock::now() }); };
    hooks.onViewChanged = [this](const std::shared_ptr<const membership::View>& view) { apply(ViewChanged { view, Clock::now() }); };
    hooks.onNote = [this](std::string_view note) {
        auto message = decodeLendingMessage(note);
        if (message)
            apply(LendingMessageReceived { std::move(*message), Clock::now() });
    };
    hooks.onLeaving = [this] { apply(LeaveRequested { Clock::now() }); };
    m_fleetControl = std::make_unique<daemon::FleetControl>(m_control, m_config, membership::Role::Entry, m_incarnation, std::move(hooks));
}

void Daemon::leave()
{
    m_fleetControl->leave();
    apply(LeaveRequested { Clock::now() });
}

void Daemon::onWorkerFinished()
{
    // `Finish` goes to all workers and resets the count. A worker without open exchanges reports once for each
    // `Finish`; a busy worker does not report, and gets the next `Finish` on the next tick. All workers are idle when
    // the number of reports since the last `Finish` reaches the number of workers.
    if (++m_finishedWorkers >= m_workers.size())
        m_control.stop();
}

void Daemon::post(std::vector<Event> events)
{
    boost::asio::post(m_control, [this, events = std::move(events)] {
        Effects effects;
        for (auto& event : events)
            m_reducer.apply(event, effects);
        execute(effects);
    });
}

void Daemon::apply(const Event& event)
{
    Effects effects;
    m_reducer.apply(event, effects);
    execute(effects);
}

void Daemon::execute(const Effects& effects)
{
    if (effects.empty())
        return;
    std::vector<std::shared_ptr<Effects>> byWorker(m_workers.size());
    auto enqueue = [&](std::size_t n, const Effect& effect) {
        if (!byWorker[n])
            byWorker[n] = std::make_shared<Effects>();
        byWorker[n]->push_back(effect);
    };
    for (auto& effect : effects) {
        if (auto completion = std::get_if<RecordCompletion>(&effect)) {
            recordCompletion(*completion);
            continue;
        }
        if (auto message = std::get_if<SendLendingMessage>(&effect)) {
            m_fleetControl->sendNote(message->to.value(), encode(message->message));
            continue;
        }
        if (std::holds_alternative<Finish>(effect))
            m_finishedWorkers = 0;
        if (auto worker = workerOf(effect)) {
            enqueue(worker->value(), effect);
            continue;
        }
        for (std::size_t n = 0; n < m_workers.size(); ++n)
            enqueue(n, effect);
    }
    for (std::size_t n = 0; n < m_workers.size(); ++n) {
        if (byWorker[n])
            m_workers[n]->perform(byWorker[n]);
    }
}

void Daemon::recordCompletion(const RecordCompletion& completion)
{
    auto reason = completion.refusal ? std::string(infoOf(*completion.refusal).name) : completion.isWithinObjective ? "none"
                                                                                                                    : "slow";
    m_metrics.count("swiftloft_requests_total", { { "service", completion.service.value() }, { "organisation", completion.organisation.value() }, { "outcome", completion.isWithinObjective ? "good" : "bad" }, { "reason", completion.isWithinObjective ? "" : reason } });
    m_burn.add(Clock::now(), completion.service, completion.organisation, completion.isWithinObjective ? burn::Outcome::Good : burn::Outcome::Bad, reason);
    if (completion.refusal)
        return;
    process::Labels labels { { "service", completion.service.value() } };
    m_metrics.observe("swiftloft_first_byte_seconds", labels, std::chrono::duration<double>(completion.firstByte).count());
    m_metrics.observe("swiftloft_answer_seconds", labels, std::chrono::duration<double>(completion.total).count());
    m_metrics.count("swiftloft_attempts_total", labels, completion.attempts);
}

void Daemon::tick()
{
    apply(Tick { Clock::now() });
    m_timer.expires_at(Clock::now() + tickInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            tick();
    });
}

void Daemon::replyWithPage(const std::string& target, const Reply& reply)
{
    reply(statusPage(target));
}

process::StatusAnswer Daemon::statusPage(const std::string& target)
{
    auto path = target.substr(0, target.find('?'));
    if (path == "/healthz")
        return { 200, "text/plain", "ok\n" };
    if (path == "/readyz")
        return readiness();
    if (path == "/metrics")
        return metrics();
    if (path == "/swiftloft/v1/entries")
        return addresses(target);
    if (path == "/swiftloft/v1/burn")
        return burn(target);
    if (path == "/swiftloft/v1/route")
        return route(target);
    if (path == "/swiftloft/v1/status")
        return status();
    return { 404, "text/plain", "no such page\n" };
}

process::StatusAnswer Daemon::readiness() const
{
    if (m_reducer.isLeaving())
        return { 503, "text/plain", "leaving\n" };
    if (!m_reducer.isReady())
        return { 503, "text/plain", "no settings yet\n" };
    return { 200, "text/plain", "ready\n" };
}

process::StatusAnswer Daemon::metrics()
{
    m_metrics.set("swiftloft_requests_in_progress", {}, static_cast<double>(m_reducer.requestsInProgress()));
    if (auto revision = m_reducer.settingsRevision())
        m_metrics.set("swiftloft_settings_revision", {}, static_cast<double>(revision->value()));
    return { 200, "text/plain; version=0.0.4", m_metrics.text() };
}

process::StatusAnswer Daemon::addresses(const std::string& target)
{
    ServiceName name(queryValue(target, "service"));
    auto service = m_reducer.service(name);
    if (!service)
        return jsonResponse({ { "message", "no such service in the settings; ask with ?service=NAME" } }, 404);
    auto now = Clock::now();
    membership::AddressAnswerOptions options;
    options.meanLifetime = std::chrono::duration_cast<milliseconds>(service->entriesKeepTime);
    auto answer = membership::makeAddressAnswer(*m_fleetControl->view(), std::nullopt, name, ++m_addressAnswers + m_incarnation.value(), now, options);
    json::array addresses;
    for (auto& address : answer.addresses)
        addresses.emplace_back(toJson(address.value()));
    auto keep = std::chrono::floor<seconds>(answer.expiresAt - now);
    auto until = std::chrono::time_point_cast<seconds>(std::chrono::system_clock::now() + keep);
    return jsonResponse({ { "service", toJson(name.value()) }, { "addresses", std::move(addresses) },
        { "keep_until", toJson(fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", until)) }, { "keep_seconds", keep.count() } });
}

process::StatusAnswer Daemon::burn(const std::string& target) const
{
    auto scope = burn::scopeFromTarget(target);
    if (!scope)
        return { 400, "text/plain", scope.error().message + "\n" };
    return { 200, "application/json", burn::toJson(m_burn.report(Clock::now(), InstanceId(m_config.id), m_startedAt, *scope)) };
}

process::StatusAnswer Daemon::route(const std::string& target)
{
    ServiceName name(queryValue(target, "service"));
    if (!m_reducer.service(name))
        return jsonResponse({ { "message", "no such service in the settings; ask with ?service=NAME" } }, 404);
    auto router = m_reducer.serverRegistry().router(name);
    auto rows = router ? router->explain({}, Clock::now()) : std::vector<policy::RouteExplanation>();
    return { 200, "application/json", toJson(RoutePage { InstanceId(m_config.id), m_config.dataCentre, name, rows }) };
}

process::StatusAnswer Daemon::status() const
{
    json::object body;
    body["instance"] = toJson(m_config.id);
    body["incarnation"] = toJson(fmt::format("{:016x}", m_incarnation.value()));
    body["role"] = "entry";
    body["data_centre"] = toJson(m_config.dataCentre.value());
    body["state"] = m_reducer.isLeaving() ? "leaving" : m_reducer.isReady() ? "ready"
                                                                            : "starting";
    body["settings_revision"] = m_reducer.settingsRevision().value_or(Revision(0)).value();
    if (auto& refused = m_fleetControl->refused()) {
        body["refused_revision"] = refused->revision.value();
        body["refused_reason"] = toJson(refused->problem);
    }
    body["in_flight"] = m_reducer.requestsInProgress();
    json::array servers;
    for (auto& [id, server] : m_reducer.serverRegistry().servers()) {
        auto state = server.isLeaving ? "leaving" : !server.linkedWorkers ? "unreachable"
            : server.isEngineUp                                           ? "up"
                                                                          : "engine-down";
        servers.push_back(json::object { { "id", toJson(id.value()) }, { "service", toJson(server.service.value()) }, { "data_centre", toJson(server.dataCentre.value()) }, { "state", state } });
    }
    body["backend_servers"] = std::move(servers);
    return jsonResponse(body);
}

} // namespace swiftloft::entry
