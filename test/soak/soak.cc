#include "test/soak/soak.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <fstream>

namespace swiftloft::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr milliseconds responseTimeout { 5000 };
/// Time limits from the settings file and the fake store, with a margin for a busy machine.
constexpr milliseconds drainTimeout { 3000 };
constexpr milliseconds configurationTimeout { 3500 };
constexpr seconds stopTimeout { 5 };
constexpr seconds recoveryTimeout { 15 };
/// Servers that were leaving or restarting have been replaced by then.
constexpr milliseconds settlingTime { 2500 };
/// Counted from the time at which a server reports to an entry that it is leaving; the response may be delayed in transit.
constexpr milliseconds leaveTimeout { 2500 };
/// One of so many clients is slow, and its responses are large.
constexpr int clientsPerSlowOne = 4;
/// A client that was not served sends its next request after this delay.
constexpr milliseconds retryDelay { 40 };
constexpr std::size_t maxPrintedBytes = 1000;

/// Bytes that a slow client reads at a time, and in a second. It gives up later than others.
constexpr int slowReadBytes = 16 << 10;
constexpr double slowBytesPerSecond = 640 << 10;
constexpr milliseconds slowResponseTimeout { 20'000 };

/// Client with one persistent connection, which is used until it fails.
class PersistentClient {
public:
    enum class Pace {
        Fast,
        /// Reads slowly, and its system buffers little.
        Slow,
    };

    explicit PersistentClient(const std::string& address, Pace pace = Pace::Fast)
        : m_endpoint(standin::parseEndpoint(address).value())
        , m_pace(pace)
    {
    }

    /// Sends the request and reads the response. Sets `status`, `body` and `isComplete`.
    void exchange(Outcome& outcome)
    {
        m_io.restart();
        bool isDone = false;
        asio::co_spawn(m_io, perform(outcome, isDone), asio::detached);
        m_io.run();
        if (!isDone)
            m_stream.reset();
    }

private:
    asio::awaitable<void> perform(Outcome& outcome, bool& isKept)
    {
        auto deadline = Clock::now() + (m_pace == Pace::Slow ? slowResponseTimeout : responseTimeout);
        http::response_parser<http::string_body> parser;
        try {
            if (!m_stream) {
                m_stream = std::make_unique<beast::tcp_stream>(m_io);
                m_buffer.clear();
                m_stream->expires_at(deadline);
                if (m_pace == Pace::Slow) {
                    m_stream->socket().open(asio::ip::tcp::v4());
                    m_stream->socket().set_option(asio::socket_base::receive_buffer_size(slowReadBytes));
                }
                co_await m_stream->async_connect(m_endpoint, asio::use_awaitable);
            }
            m_stream->expires_at(deadline);
            http::request<http::string_body> request(http::verb::post, fmt::format("/{}/x", outcome.kind), 11);
            request.set(http::field::host, "h.example");
            request.set("X-Request-Id", outcome.id);
            request.set("X-Api-Key", outcome.key);
            request.set("X-Deadline-Ms", "4000");
            request.set("X-Prompt-Prefix", outcome.parts);
            request.body() = outcome.requestBody;
            request.prepare_payload();
            co_await http::async_write(*m_stream, request, asio::use_awaitable);
            co_await read(parser);
            outcome.isComplete = true;
            isKept = parser.get().keep_alive();
        } catch (const boost::system::system_error&) {
            // The part that was received is checked.
        }
        if (parser.is_header_done()) {
            outcome.status = parser.get().result_int();
            outcome.body = parser.get().body();
        }
    }

    asio::awaitable<void> read(http::response_parser<http::string_body>& parser)
    {
        if (m_pace == Pace::Fast) {
            co_await http::async_read(*m_stream, m_buffer, parser, asio::use_awaitable);
            co_return;
        }
        m_buffer.reserve(slowReadBytes);
        m_buffer.max_size(slowReadBytes);
        asio::steady_timer pause(m_io, Clock::now());
        while (!parser.is_done()) {
            auto n = co_await http::async_read_some(*m_stream, m_buffer, parser, asio::use_awaitable);
            auto time = std::chrono::duration<double>(static_cast<double>(n) / slowBytesPerSecond);
            pause.expires_at(pause.expiry() + std::chrono::duration_cast<Clock::duration>(time));
            co_await pause.async_wait(asio::use_awaitable);
        }
    }

    asio::io_context m_io;
    asio::ip::tcp::endpoint m_endpoint;
    Pace m_pace;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
};

int pick(std::mt19937_64& random, int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(random);
}

} // namespace

Soak::Soak(const SoakOptions& options)
    : m_options(options)
    , m_platform(options.servers, 8)
    , m_entries(static_cast<std::size_t>(options.entries))
    , m_startedAt(Clock::now())
{
    m_key = "key-0";
    m_platform.publish(m_key, "org-key-0");
    m_serverRelays.reserve(m_platform.servers());
    for (std::size_t n = 0; n < m_platform.servers(); ++n) {
        m_serverRelays.push_back(std::make_unique<process_test::Relay>(m_platform.addressOf(n)));
        m_platform.setListedAddress(n, m_serverRelays.back()->address());
    }
    m_platform.setOnCrash([this](std::size_t server, bool isDown) {
        recordEvent(fmt::format("server {} {}", server, isDown ? "crashes" : "starts"));
        m_serverRelays[server]->setDown(isDown);
    });
    auto loopback = [](int port) { return fmt::format("127.0.0.1:{}", port); };
    auto firstPeers = loopback(process_test::freePort());
    // Entries on one machine can't share the port for load updates, so each has its own address in the loopback network. The
    // port is a free one: with a fixed port, two simultaneous soak tests kept each other's entries from starting.
    auto loadPort = process_test::freePort();
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        auto& entry = m_entries[n];
        auto ip = fmt::format("127.0.0.{}", n + 1);
        auto at = [&](int port) { return fmt::format("{}:{}", ip, port); };
        entry.store = std::make_unique<process_test::Relay>(m_platform.storeAddress());
        entry.clients = at(process_test::freePort());
        entry.settings = fmt::format("{}/entry-{}.ini", m_folder.path(), n);
        std::ofstream(entry.settings) << fmt::format("[entry]\nid = e{}\ndata-centre = dc\nclients = {}\nready = {}\ndirectory = {}\npeers = {}\nload = {}\nagent-port = 9\n"
                                                     "metrics = {}\nseeds = {}\nstore = {}\nretry-ratio = 0.2\nretry-slack = 100\nretry-window-seconds = 10\n"
                                                     "stop-within-seconds = 4\ndirectory-kept-seconds = 1\n",
            n, entry.clients, at(process_test::freePort()), at(process_test::freePort()), n == 0 ? firstPeers : at(process_test::freePort()), at(loadPort), at(process_test::freePort()),
            firstPeers, entry.store->address());
    }
}

Soak::~Soak() = default;

void Soak::startEntry(std::size_t index)
{
    auto& entry = m_entries[index];
    entry.isPaused = false;
    std::vector<std::string> command { m_options.program, "--config", entry.settings };
    if (!m_options.logFolder.empty())
        command = { "/bin/sh", "-c", fmt::format("exec {} --config {} >> {}/seed-{}-entry-{}.log", m_options.program, entry.settings, m_options.logFolder, m_options.seed, index) };
    entry.process = process_test::ChildProcess::start(command, { .waitsForListening = false }).value();
}

void Soak::recordEvent(const std::string& text)
{
    std::scoped_lock lock(m_mutex);
    m_events.push_back(fmt::format("{:6} ms {}", std::chrono::duration_cast<milliseconds>(Clock::now() - m_startedAt).count(), text));
}

std::string Soak::currentKey()
{
    std::scoped_lock lock(m_mutex);
    return m_key;
}

void Soak::clientLoop(std::uint64_t seed, bool isSlow)
{
    std::mt19937_64 random(seed);
    std::vector<std::unique_ptr<PersistentClient>> clients;
    clients.reserve(m_entries.size());
    for (auto& entry : m_entries)
        clients.push_back(std::make_unique<PersistentClient>(entry.clients, isSlow ? PersistentClient::Pace::Slow : PersistentClient::Pace::Fast));
    constexpr const char* kinds[] = { "stream", "once", "safe" };
    std::string oldKey = currentKey();
    for (int n = 0; !m_isStopped; ++n) {
        Outcome outcome;
        outcome.kind = kinds[pick(random, 0, 2)];
        // Some requests use the key that was valid when the client started.
        outcome.key = pick(random, 0, 9) == 0 ? oldKey : currentKey();
        outcome.sentAt = Clock::now();
        auto entry = static_cast<std::size_t>(pick(random, 0, static_cast<int>(clients.size()) - 1));
        outcome.id = FakePlatform::requestIdVia(fmt::format("{}{}-{}", isSlow ? FakePlatform::largeIdPrefix : "", seed, n), entry);
        outcome.parts = fmt::format("a1:40,b{}:20,{:x}:9", n % 4, seed);
        clients[entry]->exchange(outcome);
        bool isServed = outcome.status == 200;
        {
            std::scoped_lock lock(m_mutex);
            m_outcomes.push_back(std::move(outcome));
        }
        if (!isServed)
            std::this_thread::sleep_for(retryDelay);
    }
}

void Soak::crashingClientLoop(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int n = 0; m_hasFaults; ++n) {
        auto entry = static_cast<std::size_t>(pick(random, 0, m_options.entries - 1));
        Outcome outcome { FakePlatform::requestIdVia(fmt::format("crash-{}", n), entry), "safe", currentKey(), Clock::now() };
        outcome.requestBody = FakePlatform::crashingBody;
        PersistentClient(m_entries[entry].clients).exchange(outcome);
        m_crashingOutcomes.push_back(std::move(outcome));
        std::this_thread::sleep_for(milliseconds(pick(random, 50, 1000)));
    }
}

void Soak::crashingPartLoop(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (int n = 0; m_hasFaults; ++n) {
        auto entry = static_cast<std::size_t>(pick(random, 0, m_options.entries - 1));
        Outcome outcome { FakePlatform::requestIdVia(fmt::format("part-{}", n), entry), pick(random, 0, 1) ? "safe" : "stream", currentKey(), Clock::now() };
        outcome.requestBody = fmt::format("work {}", n);
        outcome.parts = fmt::format("a1:40,{}:7,b{}:20,{:x}:9", FakePlatform::crashingPart, n % 4, n);
        PersistentClient(m_entries[entry].clients).exchange(outcome);
        m_crashingPartOutcomes.push_back(std::move(outcome));
        std::this_thread::sleep_for(milliseconds(pick(random, 50, 1000)));
    }
}

void Soak::stopGracefully(std::size_t index)
{
    auto& process = *m_entries[index].process;
    process.terminate();
    auto status = process.waitForExit(Clock::now() + stopTimeout + seconds(2));
    if (status != 0)
        m_violations.push_back(fmt::format("entry {} was stopped and ended with status {}, expected 0 within {} s", index, status ? *status : -1, stopTimeout.count()));
}

/// All entries are replaced at once, some a moment after the others, while clients keep using the connections that they have
/// and the pace of the servers changes.
void Soak::rollEntries()
{
    std::this_thread::sleep_for(settlingTime);
    recordEvent("roll all entries");
    m_rolledAt = Clock::now();
    std::mt19937_64 random(m_options.seed);
    std::mt19937_64 paceRandom(m_options.seed + 1);
    auto changePace = [&] { m_platform.setEventInterval(milliseconds(pick(paceRandom, 15, 60))); };
    for (auto& entry : m_entries) {
        entry.process->terminate();
        changePace();
        std::this_thread::sleep_for(milliseconds(pick(random, 0, 600)));
    }
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        changePace();
        stopGracefully(n);
        startEntry(n);
    }
    if (!waitUntilServing())
        m_violations.push_back(fmt::format("{} s after all entries were replaced these did not return status 200:{}", recoveryTimeout.count(), m_notServing));
}

void Soak::checkRoll(const Outcome& outcome, const std::vector<Run>& runs, std::vector<std::string>& violations) const
{
    bool isCutOff = outcome.isComplete ? outcome.status == 502 : !runs.empty();
    if (outcome.sentAt > m_rolledAt && isCutOff)
        violations.push_back(fmt::format("{} request {}: status {} and a {} response after a run at {}, although entries were only stopped", outcome.kind, outcome.id, outcome.status, outcome.isComplete ? "complete" : "truncated", runs.empty() ? "no server" : runs.front().server));
}

void Soak::injectEntryFault(std::mt19937_64& random)
{
    auto index = static_cast<std::size_t>(pick(random, 0, m_options.entries - 1));
    auto& entry = m_entries[index];
    m_platform.exemptEntry(static_cast<int>(index));
    switch (pick(random, 0, 3)) {
    case 0:
        recordEvent(fmt::format("kill entry {}", index));
        entry.process->kill();
        startEntry(index);
        break;
    case 1:
        recordEvent(fmt::format("stop entry {}", index));
        stopGracefully(index);
        startEntry(index);
        break;
    default:
        recordEvent(fmt::format("pause entry {}", index));
        entry.process->pause();
        std::this_thread::sleep_for(milliseconds(pick(random, 50, 1500)));
        m_platform.exemptEntry(static_cast<int>(index));
        entry.process->resume();
    }
    m_platform.exemptEntry(static_cast<int>(index));
}

void Soak::injectStoreFault(std::mt19937_64& random)
{
    Span span { Clock::now(), {} };
    auto& relay = *m_entries[static_cast<std::size_t>(pick(random, 0, m_options.entries - 1))].store;
    auto kind = pick(random, 0, 5);
    recordEvent(fmt::format("store fault, kind {}", kind));
    if (kind == 5)
        return restoreOldStore(random);
    if (kind == 0)
        m_platform.setStoreMode(StoreMode::Unavailable);
    else if (kind == 1)
        m_platform.setStoreMode(StoreMode::Silent);
    else if (kind == 2)
        relay.silenceConnections();
    else if (kind == 3)
        relay.setRefusing(true);
    else
        relay.setDelay(milliseconds(pick(random, 20, 200)));
    // Publish a configuration during the fault, which revokes a key.
    if (pick(random, 0, 1) == 0) {
        std::scoped_lock lock(m_mutex);
        m_revokedAt[m_key] = Clock::now();
        m_key = fmt::format("key-{}", ++m_lastKey);
        m_platform.publish(m_key, "org-" + m_key);
    }
    std::this_thread::sleep_for(milliseconds(pick(random, 100, 1500)));
    m_platform.setStoreMode(StoreMode::Normal);
    relay.setRefusing(false);
    relay.setDelay(milliseconds(0));
    span.end = Clock::now();
    std::scoped_lock lock(m_mutex);
    m_storeFaults.push_back(span);
}

/// The store is unreachable for a moment and is restored from a copy that is some seconds old.
void Soak::restoreOldStore(std::mt19937_64& random)
{
    auto copy = m_platform.copyStore();
    std::this_thread::sleep_for(milliseconds(pick(random, 200, 3000)));
    Span span { Clock::now(), {} };
    m_platform.setStoreMode(StoreMode::Silent);
    // A server that leaves now can report it only in its own responses.
    if (pick(random, 0, 1) == 0)
        m_platform.leave(static_cast<std::size_t>(pick(random, 0, m_options.servers - 1)));
    std::this_thread::sleep_for(milliseconds(pick(random, 0, 1000)));
    constexpr milliseconds expireAfter { 3000 };
    m_platform.restoreStore(*copy, milliseconds(pick(random, 0, 1000)), expireAfter);
    m_platform.setStoreMode(StoreMode::Normal);
    recordEvent("store restored from a copy");
    span.end = Clock::now() + expireAfter;
    std::scoped_lock lock(m_mutex);
    m_storeFaults.push_back(span);
}

void Soak::injectServerFault(std::mt19937_64& random)
{
    auto index = static_cast<std::size_t>(pick(random, 0, m_options.servers - 1));
    auto kind = pick(random, 0, 8);
    recordEvent(fmt::format("server {} fault, kind {}", index, kind));
    if (kind < 4) {
        constexpr ServerMode modes[] = { ServerMode::DroppingResponses, ServerMode::Full, ServerMode::TruncatingStreams, ServerMode::StrayResponses };
        m_platform.setServerMode(index, modes[kind]);
        std::this_thread::sleep_for(milliseconds(pick(random, 100, 800)));
        m_platform.setServerMode(index, ServerMode::Normal);
    } else if (kind == 4)
        m_serverRelays[index]->cutConnections();
    else if (kind == 5)
        m_serverRelays[index]->silenceConnections();
    else if (kind == 6) {
        m_serverRelays[index]->setDelay(milliseconds(pick(random, 10, 150)));
        std::this_thread::sleep_for(milliseconds(pick(random, 100, 800)));
        m_serverRelays[index]->setDelay(milliseconds(0));
    } else if (kind == 7)
        m_platform.drain(index);
    else
        m_platform.leave(index);
}

/// A server is cut off, its process ends behind the cut, and it is started again under its id when the cut ends.
void Soak::injectRestartBehindCut(std::mt19937_64& random)
{
    auto index = static_cast<std::size_t>(pick(random, 0, m_options.servers - 1));
    auto& relay = *m_serverRelays[index];
    recordEvent(fmt::format("server {} is cut off", index));
    relay.setSilentForNew(true);
    relay.silenceConnections();
    std::this_thread::sleep_for(milliseconds(pick(random, 20, 900)));
    bool isRestarted = m_platform.restart(index);
    relay.setSilentForNew(false);
    recordEvent(fmt::format("server {} is reachable again{}", index, isRestarted ? ", as another process" : ""));
    std::this_thread::sleep_for(milliseconds(pick(random, 0, 900)));
}

/// A server advertises a limit, and another limit some time later.
void Soak::injectLimit(std::mt19937_64& random)
{
    auto index = static_cast<std::size_t>(pick(random, 0, m_options.servers - 1));
    for (int n = 0; n < 2; ++n) {
        auto rate = 0.5 * pick(random, 0, 8);
        recordEvent(fmt::format("server {} limited to {} requests per second", index, rate));
        m_platform.setLimit(index, rate);
        std::this_thread::sleep_for(milliseconds(pick(random, 500, 5000)));
    }
    m_platform.setLimit(index, std::nullopt);
}

/// One server, or every server, rejects requests and asks for a back-off.
void Soak::injectBackOff(std::mt19937_64& random)
{
    bool isEveryServer = pick(random, 0, 3) == 0;
    auto only = static_cast<std::size_t>(pick(random, 0, m_options.servers - 1));
    auto backOff = milliseconds(pick(random, 0, 30) * 100);
    recordEvent(fmt::format("{} rejects requests and asks for a back-off of {} ms", isEveryServer ? "every server" : fmt::format("server {}", only), backOff.count()));
    auto applyBackOff = [&](std::optional<milliseconds> time) {
        for (std::size_t n = 0; n < m_platform.servers(); ++n) {
            if (isEveryServer || n == only)
                m_platform.setBackOff(n, time);
        }
    };
    applyBackOff(backOff);
    std::this_thread::sleep_for(milliseconds(isEveryServer ? pick(random, 100, 600) : pick(random, 300, 3000)));
    applyBackOff(std::nullopt);
    std::this_thread::sleep_for(milliseconds(pick(random, 200, 2000)));
}

bool Soak::waitUntilServing()
{
    return process_test::waitUntil(Clock::now() + recoveryTimeout, [&] {
        m_notServing.clear();
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            Outcome outcome { FakePlatform::requestIdVia(fmt::format("last-{}", Clock::now().time_since_epoch().count()), n), "safe", currentKey(), Clock::now() };
            PersistentClient(m_entries[n].clients).exchange(outcome);
            if (outcome.status != 200)
                m_notServing += fmt::format(" {} ({} {})", n, outcome.status, outcome.body.substr(0, outcome.body.find('\n')));
        }
        return m_notServing.empty();
    });
}

std::vector<std::string> Soak::run()
{
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        startEntry(n);
    if (!waitUntilServing())
        return { "the entries did not start to serve" };
    std::vector<std::thread> clients;
    clients.reserve(static_cast<std::size_t>(m_options.clients));
    for (int n = 0; n < m_options.clients; ++n)
        clients.emplace_back([this, n] { clientLoop(m_options.seed * 1000 + static_cast<std::uint64_t>(n), n % clientsPerSlowOne == 0); });
    clients.emplace_back([this] { crashingClientLoop(m_options.seed); });
    clients.emplace_back([this] { crashingPartLoop(m_options.seed + 1); });
    // Several fault threads run at the same time, so that faults overlap.
    auto end = Clock::now() + m_options.length;
    auto injectUntilEnd = [&](std::uint64_t seed, void (Soak::*fault)(std::mt19937_64&)) {
        std::mt19937_64 random(seed);
        while (Clock::now() < end) {
            (this->*fault)(random);
            std::this_thread::sleep_for(milliseconds(pick(random, 50, 700)));
        }
    };
    std::thread second([&] { injectUntilEnd(m_options.seed * 2 + 1, &Soak::injectServerFault); });
    std::thread third([&] { injectUntilEnd(m_options.seed * 2 + 2, &Soak::injectStoreFault); });
    std::thread fourth([&] { injectUntilEnd(m_options.seed * 2 + 3, &Soak::injectLimit); });
    std::thread fifth([&] { injectUntilEnd(m_options.seed * 2 + 4, &Soak::injectBackOff); });
    std::thread sixth([&] { injectUntilEnd(m_options.seed * 2 + 5, &Soak::injectRestartBehindCut); });
    injectUntilEnd(m_options.seed * 2, &Soak::injectEntryFault);
    second.join();
    third.join();
    fourth.join();
    fifth.join();
    sixth.join();
    recordEvent("no more faults");
    if (!waitUntilServing())
        m_violations.push_back(fmt::format("{} s after the last fault these entries did not return status 200:{}", recoveryTimeout.count(), m_notServing));
    m_hasFaults = false;
    rollEntries();
    m_isStopped = true;
    for (auto& client : clients)
        client.join();
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        stopGracefully(n);
    return check();
}

std::size_t Soak::served() const
{
    return static_cast<std::size_t>(std::count_if(m_outcomes.begin(), m_outcomes.end(), [](auto& it) { return it.status == 200 && it.isComplete; }));
}

bool Soak::wasStoreFaulty(TimePoint from, TimePoint to) const
{
    return std::any_of(m_storeFaults.begin(), m_storeFaults.end(), [&](auto& span) { return span.begin <= to && span.end + seconds(2) >= from; });
}

void Soak::checkRuns(const Outcome& outcome, const std::vector<Run>& runs, std::vector<std::string>& violations) const
{
    auto report = [&](const std::string& text) { violations.push_back(fmt::format("{} request {}: {}", outcome.kind, outcome.id, text)); };
    if (outcome.kind == "once" && runs.size() > 1)
        report(fmt::format("ran {} times, expected once at most", runs.size()));
    bool isPromisedNotRun = outcome.status == 503 || outcome.status == 429 || outcome.status == 401;
    if (isPromisedNotRun && !runs.empty())
        report(fmt::format("got status {} and ran at {}, expected no run", outcome.status, runs.front().server));
    for (auto& run : runs) {
        if (run.organisation != "org-" + outcome.key)
            report(fmt::format("ran for '{}', expected 'org-{}'", run.organisation, outcome.key));
        auto revoked = m_revokedAt.find(outcome.key);
        bool isLate = revoked != m_revokedAt.end() && outcome.sentAt > revoked->second + configurationTimeout;
        if (isLate && !wasStoreFaulty(revoked->second, outcome.sentAt))
            report(fmt::format("ran {} ms after its key was revoked", std::chrono::duration_cast<milliseconds>(outcome.sentAt - revoked->second).count()));
    }
}

void Soak::checkBody(const Outcome& outcome, std::vector<std::string>& violations) const
{
    if (outcome.status != 200)
        return;
    auto expected = outcome.kind == "stream" ? FakePlatform::completeStream(outcome.id) : FakePlatform::plainBody(outcome.id);
    bool isExpected = outcome.isComplete ? outcome.body == expected : expected.starts_with(outcome.body);
    if (!isExpected)
        violations.push_back(fmt::format("{} request {}: a {} response was '{}', expected '{}'", outcome.kind, outcome.id, outcome.isComplete ? "complete" : "truncated", outcome.body.substr(0, maxPrintedBytes), expected.substr(0, maxPrintedBytes)));
}

void Soak::checkDrains(std::vector<std::string>& violations) const
{
    auto drained = m_platform.drainedAt();
    for (auto& [id, runs] : m_platform.runs()) {
        for (auto& run : runs) {
            auto it = drained.find(run.server);
            if (it == drained.end() || run.at <= it->second + drainTimeout || wasStoreFaulty(it->second, run.at))
                continue;
            violations.push_back(fmt::format("request {} reached {} {} ms after the server was listed as draining or removed", id, run.server, std::chrono::duration_cast<milliseconds>(run.at - it->second).count()));
        }
    }
}

/// Late requests are violations here even while the store is unreachable or restored.
void Soak::checkLeaving(const Outcome& outcome, const std::vector<Run>& runs, std::vector<std::string>& violations) const
{
    for (auto& run : runs) {
        if (run.leavingAnnouncedAt && outcome.sentAt > *run.leavingAnnouncedAt + leaveTimeout)
            violations.push_back(fmt::format("request {} reached {} {} ms after the server had reported to the entry that it is leaving", outcome.id, run.server,
                std::chrono::duration_cast<milliseconds>(run.at - *run.leavingAnnouncedAt).count()));
    }
}

std::vector<std::string> Soak::check()
{
    auto violations = m_violations;
    auto runs = m_platform.runs();
    for (auto& outcome : m_outcomes) {
        checkRuns(outcome, runs[outcome.id], violations);
        checkBody(outcome, violations);
        checkLeaving(outcome, runs[outcome.id], violations);
        checkRoll(outcome, runs[outcome.id], violations);
    }
    for (auto* outcomes : { &m_crashingOutcomes, &m_crashingPartOutcomes }) {
        for (auto& outcome : *outcomes) {
            checkRuns(outcome, runs[outcome.id], violations);
            if (outcome.status == 200 && outcome.isComplete)
                violations.push_back(fmt::format("{} request {}: a request that crashes servers got a complete response '{}'", outcome.kind, outcome.id, outcome.body));
        }
    }
    checkDrains(violations);
    auto limits = m_platform.violations();
    violations.insert(violations.end(), limits.begin(), limits.end());
    if (served() * 4 < m_outcomes.size())
        violations.push_back(fmt::format("{} of {} requests were served, expected at least a quarter", served(), m_outcomes.size()));
    return violations;
}

} // namespace swiftloft::soak
