#include "test/soak/fake-platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <future>

namespace swiftloft::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using standin::Exchange;
using standin::HttpStatus;

namespace {

constexpr milliseconds plainRequestTime { 8 };
constexpr milliseconds silenceDuration { 60'000 };
constexpr milliseconds watchPollInterval { 15 };

std::string toBase64(const std::string& text)
{
    std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
    auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

bool isStream(const Exchange& exchange)
{
    return exchange.path().starts_with("/stream/") || exchange.path().starts_with("/note/");
}

asio::awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, Clock::now() + time);
    co_await timer.async_wait(asio::use_awaitable);
}

constexpr std::string_view entryMark { "-through-" };

int entryOf(std::string_view id)
{
    auto at = id.rfind(entryMark);
    return at == std::string_view::npos ? 0 : std::stoi(std::string(id.substr(at + entryMark.size())));
}

bool hasCrashingPart(const Exchange& exchange)
{
    auto parts = exchange.header("X-Prompt-Prefix");
    auto last = parts.rfind(',');
    return last != std::string::npos && ("," + parts.substr(0, last)).find(fmt::format(",{}:", FakePlatform::crashingPart)) != std::string::npos;
}

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace

/// How a crash cuts a response follows from the id as well.
bool FakePlatform::endsWithConnection(std::string_view id)
{
    return std::hash<std::string_view>()(id) % 4 == 0;
}

namespace {

/// Size of an event of a large response.
constexpr std::size_t largeEventBytes = 20 << 10;

std::string paddingOf(const std::string& id, std::size_t size)
{
    return std::string(id.starts_with(FakePlatform::largeIdPrefix) ? size : 0, 'x');
}

} // namespace

std::string FakePlatform::plainBody(const std::string& id)
{
    return "answer to " + id + paddingOf(id, eventsPerStream * largeEventBytes);
}

std::string FakePlatform::eventText(const std::string& id, int n)
{
    return fmt::format("id: {}\ndata: {} part {}{}\n\n", n, id, n, paddingOf(id, largeEventBytes));
}

std::string FakePlatform::completeStream(const std::string& id)
{
    std::string out;
    for (int n = 1; n <= eventsPerStream; ++n)
        out += eventText(id, n);
    return out;
}

FakePlatform::FakePlatform(int servers, int slots)
    : m_slots(slots)
{
    m_store = standin::HttpServer::create(m_io, "127.0.0.1:0", [this](Exchange& exchange) { return serveStore(exchange); }).value();
    m_storeAddress = fmt::format("127.0.0.1:{}", m_store->endpoint().port());
    m_servers.resize(static_cast<std::size_t>(servers));
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        auto& server = m_servers[n];
        server.http = standin::HttpServer::create(m_io, "127.0.0.1:0", [this, n](Exchange& exchange) { return serveRequest(n, exchange); }).value();
        server.address = fmt::format("127.0.0.1:{}", server.http->endpoint().port());
        server.ownAddress = server.address;
        server.id = fmt::format("i-{}", ++m_lastId);
        server.startedAt = unixMilliseconds();
        listServer(n);
    }
    m_thread = std::thread([this] { m_io.run(); });
}

FakePlatform::~FakePlatform()
{
    m_io.stop();
    m_thread.join();
}

void FakePlatform::setServerMode(std::size_t server, ServerMode mode)
{
    std::scoped_lock lock(m_mutex);
    m_servers[server].mode = mode;
}

void FakePlatform::setLimit(std::size_t server, std::optional<double> rate)
{
    std::scoped_lock lock(m_mutex);
    auto& it = m_servers[server];
    it.limit = rate;
    it.limitRule.onLimit(Clock::now(), rate);
}

void FakePlatform::setBackOff(std::size_t server, std::optional<milliseconds> backOff)
{
    std::scoped_lock lock(m_mutex);
    m_servers[server].backOff = backOff;
}

void FakePlatform::exemptEntry(int entry)
{
    std::scoped_lock lock(m_mutex);
    for (auto& server : m_servers) {
        server.limitRule.onExempted(Clock::now(), entry);
        server.backOffRule.onExempted(entry);
    }
    for (auto& [server, announced] : m_leavingAnnouncedAt)
        announced.erase(entry);
    for (auto& [organisation, rule] : m_crashRules)
        rule.onExempted(entry, Clock::now());
    m_partCrashRule.onExempted(entry, Clock::now());
}

std::string FakePlatform::requestIdVia(const std::string& id, std::size_t entry)
{
    return fmt::format("{}{}{}", id, entryMark, entry);
}

std::vector<std::string> FakePlatform::violations() const
{
    std::scoped_lock lock(m_mutex);
    std::vector<std::string> found;
    for (auto& server : m_servers) {
        if (!server.limitRule.violation().empty())
            found.push_back(fmt::format("server {}: {}", server.id, server.limitRule.violation()));
        if (!server.backOffRule.violation().empty())
            found.push_back(fmt::format("server {}: {}", server.id, server.backOffRule.violation()));
    }
    for (auto& [organisation, rule] : m_crashRules) {
        if (!rule.violation().empty())
            found.push_back(fmt::format("organisation {}: {}", organisation, rule.violation()));
    }
    if (!m_partCrashRule.violation().empty())
        found.push_back(m_partCrashRule.violation());
    return found;
}

void FakePlatform::setListedAddress(std::size_t server, const std::string& address)
{
    std::scoped_lock lock(m_mutex);
    m_servers[server].address = address;
    listServer(server);
}

void FakePlatform::put(const std::string& key, const std::string& value)
{
    m_items[key] = { value, ++m_revision, false };
}

void FakePlatform::listServer(std::size_t index)
{
    auto& server = m_servers[index];
    // All fields that a server writes: an entry that lacks one is rejected.
    json::object entry { { "service", "model" }, { "address", server.address }, { "zone", "dc" }, { "version", "v1" }, { "slots", m_slots },
        { "state", server.state }, { "coldRemainingMs", 0 }, { "sequence", 0 }, { "born", server.startedAt } };
    auto key = "servers/" + server.id;
    auto value = json::serialize(entry);
    // A heartbeat without changes does not change the revision.
    auto it = m_items.find(key);
    if (it == m_items.end() || it->second.isRemoved || it->second.value != value)
        put(key, value);
}

std::uint64_t FakePlatform::publish(const std::string& key, const std::string& organisation)
{
    std::scoped_lock lock(m_mutex);
    auto route = [](const char* name, const char* kind, int timeout, bool isResumable = true) {
        return json::object { { "name", name }, { "host", "h.example" }, { "prefix", fmt::format("/{}/", name) }, { "kind", kind }, { "timeoutMs", timeout }, { "targetLatencyMs", 300 },
            { "priority", 1 }, { "service", "model" }, { "maxAttempts", 2 }, { "public", false }, { "resumable", isResumable } };
    };
    json::object limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", m_limits.maxBodyBytes }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", m_limits.idleTimeout.count() } };
    json::object organisations { { "name", organisation }, { "apiKeys", json::array { key } } };
    json::object configuration { { "version", ++m_version }, { "routes", json::array { route("stream", "streaming", 4000), route("note", "streaming", 4000, false), route("once", "unsafe", 1500), route("safe", "safe", 1500) } },
        { "services", json::array { json::object { { "name", "model" } } } }, { "limits", limits }, { "tenants", json::array { organisations } } };
    m_configuration = json::serialize(configuration);
    put("op/config", m_configuration);
    return m_version;
}

std::string FakePlatform::drain(std::size_t index)
{
    std::scoped_lock lock(m_mutex);
    auto& server = m_servers[index];
    if (server.isLeaving || server.isDown)
        return server.id;
    server.state = "draining";
    listServer(index);
    replaceAfter(index, server.id, seconds(2));
    return server.id;
}

std::string FakePlatform::leave(std::size_t index)
{
    std::scoped_lock lock(m_mutex);
    auto& server = m_servers[index];
    if (server.isLeaving || server.isDown)
        return server.id;
    m_items["servers/" + server.id] = { "", ++m_revision, true };
    replaceAfter(index, server.id, seconds(5));
    return server.id;
}

/// The successor has the same address; requests that still name the old server are rejected.
void FakePlatform::replaceAfter(std::size_t index, const std::string& id, milliseconds time)
{
    m_drainedAt[id] = Clock::now();
    m_servers[index].isLeaving = true;
    runAfter(time, [this, index, id] { startSuccessor(index, id); });
}

void FakePlatform::startSuccessor(std::size_t index, const std::string& id)
{
    auto& server = m_servers[index];
    if (auto it = m_items.find("servers/" + id); it != m_items.end() && !it->second.isRemoved)
        it->second = { "", ++m_revision, true };
    server.id = fmt::format("i-{}", ++m_lastId);
    server.state = "ready";
    server.isLeaving = false;
    server.isDown = false;
    resetProcess(index);
}

bool FakePlatform::restart(std::size_t index)
{
    std::scoped_lock lock(m_mutex);
    if (!m_servers[index].isRunning())
        return false;
    resetProcess(index);
    return true;
}

/// A new process knows nothing of what the old one had asked for.
void FakePlatform::resetProcess(std::size_t index)
{
    auto& server = m_servers[index];
    server.running = 0;
    // Two processes of a server never start in the same millisecond.
    server.startedAt = std::max(unixMilliseconds(), server.startedAt + 1);
    setLimit(index, std::nullopt);
    setBackOff(index, std::nullopt);
    server.backOffRule.onReplaced();
    listServer(index);
}

void FakePlatform::setOnCrash(OnCrash hook)
{
    std::scoped_lock lock(m_mutex);
    m_onCrash = std::move(hook);
}

int FakePlatform::crashes() const
{
    std::scoped_lock lock(m_mutex);
    return m_crashes;
}

/// The list entry stays until the successor starts.
void FakePlatform::crash(std::size_t index)
{
    std::scoped_lock lock(m_mutex);
    auto& server = m_servers[index];
    if (!server.isRunning() || !m_onCrash)
        return;
    server.isDown = true;
    ++m_crashes;
    m_onCrash(index, true);
    runAfter(crashedDownTime, [this, index, id = server.id] {
        m_onCrash(index, false);
        startSuccessor(index, id);
    });
}

void FakePlatform::runAfter(milliseconds time, std::function<void()> action)
{
    asio::co_spawn(
        m_io, [this, time, action = std::move(action)]() -> asio::awaitable<void> {
            co_await pause(time);
            std::scoped_lock lock(m_mutex);
            action();
        },
        asio::detached);
}

std::shared_ptr<const FakePlatform::StoreCopy> FakePlatform::copyStore() const
{
    std::scoped_lock lock(m_mutex);
    return std::make_shared<StoreCopy>(StoreCopy { m_items, m_revision });
}

void FakePlatform::restoreStore(const StoreCopy& copy, milliseconds rewriteAfter, milliseconds expireAfter)
{
    std::scoped_lock lock(m_mutex);
    m_items = copy.items;
    m_revision = copy.revision;
    ++m_era;
    runAfter(rewriteAfter, [this] { rewriteItems(); });
    runAfter(expireAfter, [this] { expireStaleEntries(); });
}

void FakePlatform::rewriteItems()
{
    if (m_items["op/config"].value != m_configuration)
        put("op/config", m_configuration);
    for (std::size_t n = 0; n < m_servers.size(); ++n) {
        if (m_servers[n].hasListEntry())
            listServer(n);
    }
}

/// Removes the entries that no server renews.
void FakePlatform::expireStaleEntries()
{
    for (auto& [key, item] : m_items) {
        bool isServer = key.starts_with("servers/") && !item.isRemoved;
        auto isRenewed = [&name = key](auto& server) { return name == "servers/" + server.id && server.hasListEntry(); };
        if (isServer && std::none_of(m_servers.begin(), m_servers.end(), isRenewed))
            item = { "", ++m_revision, true };
    }
}

std::map<std::string, std::map<int, TimePoint>> FakePlatform::leavingAnnouncedAt() const
{
    std::scoped_lock lock(m_mutex);
    return m_leavingAnnouncedAt;
}

std::map<std::string, std::vector<Run>> FakePlatform::runs() const
{
    std::scoped_lock lock(m_mutex);
    return m_runs;
}

std::map<std::string, TimePoint> FakePlatform::drainedAt() const
{
    std::scoped_lock lock(m_mutex);
    return m_drainedAt;
}

json::array FakePlatform::itemsSince(const std::string& prefix, std::uint64_t after, bool withRemoved) const
{
    json::array out;
    for (auto& [key, item] : m_items) {
        bool isAsked = key.starts_with(prefix) && item.revision > after && (withRemoved || !item.isRemoved);
        if (!isAsked)
            continue;
        json::object entry { { "key", key }, { "revision", item.revision } };
        if (item.isRemoved)
            entry["tombstone"] = true;
        else
            entry["value"] = toBase64(item.value);
        out.push_back(std::move(entry));
    }
    return out;
}

std::string FakePlatform::listBody(const std::string& prefix) const
{
    std::scoped_lock lock(m_mutex);
    return json::serialize(json::object { { "items", itemsSince(prefix, 0, false) }, { "truncated", false }, { "asOf", m_revision } });
}

/// Empty if there are no changes, unless `isDue`.
std::string FakePlatform::watchBody(const std::string& prefix, std::uint64_t after, bool isDue) const
{
    std::scoped_lock lock(m_mutex);
    auto events = itemsSince(prefix, after, true);
    if (events.empty() && !isDue)
        return {};
    return json::serialize(json::object { { "events", events }, { "asOf", m_revision } });
}

std::uint64_t FakePlatform::era() const
{
    std::scoped_lock lock(m_mutex);
    return m_era;
}

std::uint64_t FakePlatform::revision() const
{
    std::scoped_lock lock(m_mutex);
    return m_revision;
}

asio::awaitable<void> FakePlatform::serveStore(Exchange& exchange)
{
    if (m_storeMode == StoreMode::Unavailable)
        co_return co_await exchange.reply(HttpStatus::service_unavailable, "text/plain", "");
    exchange.setHeader("Store-Era", fmt::format("{}", era()));
    auto prefix = exchange.query("prefix");
    if (exchange.path() == "/v1/kv-range") {
        auto body = listBody(prefix);
        while (m_storeMode == StoreMode::Silent)
            co_await pause(watchPollInterval);
        co_return co_await exchange.replyJson(HttpStatus::ok, body);
    }
    auto after = std::stoull(exchange.query("after"));
    auto until = Clock::now() + milliseconds(std::stoll(exchange.query("waitMs")));
    for (;;) {
        if (after > revision())
            co_return co_await exchange.reply(HttpStatus::gone, "text/plain", "");
        exchange.setHeader("Store-Era", fmt::format("{}", era()));
        auto body = watchBody(prefix, after, Clock::now() >= until);
        if (!body.empty() && m_storeMode != StoreMode::Silent)
            co_return co_await exchange.replyJson(HttpStatus::ok, body);
        co_await pause(watchPollInterval);
    }
}

asio::awaitable<void> FakePlatform::serveRequest(std::size_t index, Exchange& exchange)
{
    ServerMode mode {};
    bool isMisdirected = false;
    std::uint64_t process = 0;
    std::optional<TimePoint> leavingAnnouncedAt;
    {
        std::scoped_lock lock(m_mutex);
        auto& server = m_servers[index];
        mode = server.mode;
        process = server.startedAt;
        auto entry = entryOf(exchange.header("X-Request-Id"));
        bool isCrashing = exchange.request().body() == crashingBody;
        if (isCrashing)
            crashRuleOf(exchange.header("X-Tenant")).onArrival(Clock::now(), entry);
        if (hasCrashingPart(exchange))
            m_partCrashRule.onArrival(Clock::now(), entry);
        server.limitRule.onArrival(Clock::now(), entry);
        server.backOffRule.onArrival(Clock::now(), entry);
        if (server.limit) {
            exchange.setHeader("Server-Limit", fmt::format("{}", *server.limit));
            server.limitRule.onForwarded(Clock::now(), entry);
        }
        exchange.setHeader("X-Instance-Id", server.id);
        if (server.isLeaving) {
            exchange.setHeader("Server-Leaving", "1");
            leavingAnnouncedAt = m_leavingAnnouncedAt[server.id].try_emplace(entry, Clock::now()).first->second;
        }
        isMisdirected = exchange.header("X-Expect-Instance") != server.id;
        bool isResumed = !exchange.header("Last-Event-Id").empty();
        if (mode == ServerMode::Pausing && isResumed)
            mode = ServerMode::Full;
        if (!isMisdirected && server.backOff) {
            server.backOffRule.onRequested(Clock::now(), entry, Clock::now() + *server.backOff);
            exchange.setHeader("Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(*server.backOff).count()));
            mode = ServerMode::Full;
        } else if (!isMisdirected && mode != ServerMode::Full && server.running < m_slots) {
            m_runs[exchange.header("X-Request-Id")].push_back({ server.id, std::string(exchange.path()), exchange.header("X-Tenant"), Clock::now(), m_version, leavingAnnouncedAt });
            ++server.running;
        } else
            mode = ServerMode::Full;
    }
    if (mode == ServerMode::Full) {
        exchange.setHeader("X-Not-Executed", "1");
        co_return co_await exchange.reply(isMisdirected ? HttpStatus::misdirected_request : HttpStatus::service_unavailable, "text/plain", "");
    }
    std::exception_ptr failure;
    try {
        co_await answer({ index, process }, exchange, mode);
    } catch (...) {
        failure = std::current_exception();
    }
    std::scoped_lock lock(m_mutex);
    if (m_servers[index].startedAt == process)
        --m_servers[index].running;
    if (failure)
        std::rethrow_exception(failure);
}

asio::awaitable<void> FakePlatform::answer(Process process, Exchange& exchange, ServerMode mode)
{
    auto id = exchange.header("X-Request-Id");
    if (mode == ServerMode::StrayResponses)
        id += "-other";
    exchange.setHeader("X-Request-Id", id);
    exchange.setHeader("X-Response-Stamp", "signed");
    if (exchange.request().body() == crashingBody) {
        co_await pause(plainRequestTime);
        {
            std::scoped_lock lock(m_mutex);
            crashUnder(process, crashRuleOf(exchange.header("X-Tenant")));
        }
        exchange.drop();
        co_return;
    }
    if (endsWithConnection(id))
        exchange.endWithConnection();
    if (hasCrashingPart(exchange))
        co_return co_await crashUnderPart(process, exchange);
    if (mode == ServerMode::Silent)
        co_await pause(silenceDuration);
    if (isStream(exchange))
        co_return co_await stream(exchange, mode);
    auto workTime = mode == ServerMode::Pausing ? plainPause : plainRequestTime;
    co_await pause(workTime);
    if (mode == ServerMode::DroppingResponses) {
        exchange.drop();
        co_return;
    }
    auto body = plainBody(id);
    if (!endsWithConnection(id) && mode != ServerMode::Stalling)
        co_return co_await exchange.reply(HttpStatus::ok, "text/plain", std::move(body));
    co_await exchange.startStream("text/plain");
    co_await exchange.sendChunk(body.substr(0, body.size() / 2));
    co_await pause(mode == ServerMode::Stalling ? silenceDuration : m_eventInterval.load());
    co_await exchange.sendChunk(body.substr(body.size() / 2));
    co_await exchange.finishStream();
}

/// Does nothing if the process has ended already.
void FakePlatform::crashUnder(Process process, test::CrashRule& rule)
{
    std::scoped_lock lock(m_mutex);
    auto& server = m_servers[process.server];
    if (!server.isRunning() || server.startedAt != process.startedAt)
        return;
    rule.onCrash(Clock::now());
    crash(process.server);
}

asio::awaitable<void> FakePlatform::crashUnderPart(Process process, Exchange& exchange)
{
    auto id = exchange.header("X-Request-Id");
    co_await pause(plainRequestTime);
    if (isStream(exchange))
        co_await exchange.startStream("text/event-stream");
    if (isStream(exchange) && std::hash<std::string>()(id) % 3 == 0) {
        auto text = eventText(id, 1);
        co_await exchange.sendChunk(text.substr(0, text.size() / 2));
    }
    exchange.drop();
    // What was sent passes the relay before its connections are reset.
    co_await pause(milliseconds(5));
    crashUnder(process, m_partCrashRule);
}

asio::awaitable<void> FakePlatform::stream(Exchange& exchange, ServerMode mode)
{
    auto id = exchange.header("X-Request-Id");
    auto last = exchange.header("Last-Event-Id");
    int first = last.empty() ? 1 : std::stoi(last) + 1;
    co_await exchange.startStream("text/event-stream");
    for (int n = first; n <= eventsPerStream; ++n) {
        milliseconds interval = m_eventInterval;
        if (mode == ServerMode::Stalling && n == first + 3)
            interval = silenceDuration;
        else if (mode == ServerMode::Pausing && n == first + 3)
            interval = streamPause;
        co_await pause(interval);
        auto text = eventText(id, n);
        bool isBroken = mode == ServerMode::DroppingResponses || (mode == ServerMode::TruncatingStreams && n == first + 3);
        if (isBroken) {
            co_await exchange.sendChunk(text.substr(0, text.size() / 2));
            exchange.drop();
            co_return;
        }
        co_await exchange.sendChunk(text);
    }
    co_await exchange.finishStream();
}

} // namespace swiftloft::soak
