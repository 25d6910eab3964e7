#include "standin/engine.h"

#include "standin/answer-text.h"
#include "standin/completion-format.h"
#include "standin/program.h"

#include "src/log/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <unistd.h>

namespace swiftloft::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
using asio::use_awaitable;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds stallPoll { 5 };
constexpr std::chrono::milliseconds sampleInterval { 2 };

} // namespace

Engine::Engine(asio::io_context& io, EngineOptions options)
    : m_io(io)
    , m_options(std::move(options))
    , m_runLog(m_options.runLogFile)
    , m_batch(m_options.batch, m_runLog)
    , m_crashTimer(io)
    , m_rateSince(steady_clock::now())
{
    m_batch.onFirstStep = [this](const Generation& generation) { crashIfMarked(generation); };
    if (!m_options.group)
        return;
    m_group = std::make_unique<RankGroup>(io, *m_options.group);
    m_group->start();
}

awaitable<void> Engine::handle(Exchange& exchange)
{
    if (exchange.path() == "/admin/fault") {
        setFault(exchange.request().body());
        co_await exchange.replyJson(HttpStatus::ok, "{}");
        co_return;
    }
    while (m_fault == "hang") {
        asio::steady_timer timer(m_io, stallPoll);
        co_await timer.async_wait(use_awaitable);
    }
    co_await dispatch(exchange);
}

awaitable<void> Engine::dispatch(Exchange& exchange)
{
    auto path = exchange.path();
    if (path == "/v1/completions")
        co_await generate(exchange, false);
    else if (path == "/v1/chat/completions")
        co_await generate(exchange, true);
    else if (path == "/load")
        co_await exchange.replyJson(HttpStatus::ok, load());
    else if (path == "/orders")
        co_await takeOrder(exchange);
    else if (path == "/steps")
        co_await exchange.replyJson(HttpStatus::ok, stepsJson());
    else if (path == "/admin/runs")
        co_await exchange.replyJson(HttpStatus::ok, m_runLog.toJson());
    else if (path == "/admin/orders")
        co_await exchange.replyJson(HttpStatus::ok, json::serialize(m_orders));
    else if (m_group)
        co_await dispatchToGroup(exchange);
    else
        co_await exchange.reply(HttpStatus::not_found, "text/plain", "no such path\n");
}

awaitable<void> Engine::dispatchToGroup(Exchange& exchange)
{
    auto path = exchange.path();
    if (path == "/map/orders")
        co_await m_group->takeOrder(exchange);
    else if (path == "/map/load")
        co_await exchange.replyJson(HttpStatus::ok, m_group->loadJson());
    else if (path == "/group/entered")
        co_await m_group->awaitOthers(exchange);
    else if (path == "/admin/steps")
        co_await exchange.replyJson(HttpStatus::ok, m_group->stepsJson());
    else if (path == "/admin/demand") {
        m_group->setDemand(exchange.request().body());
        co_await exchange.replyJson(HttpStatus::ok, "{}");
    } else
        co_await exchange.reply(HttpStatus::not_found, "text/plain", "no such path\n");
}

awaitable<void> Engine::generate(Exchange& exchange, bool isChat)
{
    auto asked = parseCompletionRequest(exchange.request().body(), isChat);
    if (!asked) {
        co_await exchange.reply(HttpStatus::bad_request, "text/plain", asked.error().message + "\n");
        co_return;
    }
    auto generation = std::make_shared<Generation>();
    generation->key = exchange.header("Swiftloft-Request-Key");
    generation->idempotencyKey = exchange.header("Idempotency-Key");
    generation->fingerprint = fingerprintOf(exchange.request().body());
    generation->prompt = asked->prompt;
    generation->hash = promptHash(asked->prompt);
    generation->promptTokens = tokenCount(asked->prompt);
    generation->firstToken = std::atoll(exchange.header("Swiftloft-Resume-From").c_str());
    generation->nextToken = generation->firstToken;
    generation->endToken = std::max(asked->maxTokens, generation->firstToken);
    generation->priority = std::atoi(exchange.header("Swiftloft-Priority").c_str());
    generation->wake = [] {};
    exchange.setHeader("Swiftloft-Backend-Server", m_options.id);
    if (!generation->isComplete()) {
        // A caller that goes away frees its place in the batch at once.
        exchange.whenPeerCloses([this, generation] { m_batch.cancel(generation); });
        m_batch.submit(generation);
        startStepping();
    }
    if (asked->isStream)
        co_await streamAnswer(exchange, generation, isChat);
    else
        co_await wholeAnswer(exchange, generation, isChat);
}

awaitable<void> Engine::waitForMore(std::shared_ptr<Generation> generation, std::int64_t sent)
{
    asio::steady_timer timer(m_io);
    generation->wake = [&] { timer.cancel(); };
    while (generation->nextToken == sent && !generation->isCancelled) {
        timer.expires_at(steady_clock::time_point::max());
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(use_awaitable, ec));
    }
    generation->wake = [] {};
}

awaitable<void> Engine::streamAnswer(Exchange& exchange, std::shared_ptr<Generation> generation, bool isChat)
{
    try {
        co_await exchange.startStream("text/event-stream");
        auto sent = generation->firstToken;
        while (sent < generation->endToken) {
            co_await waitForMore(generation, sent);
            if (generation->isCancelled) {
                exchange.drop();
                co_return;
            }
            auto upTo = generation->nextToken;
            co_await exchange.sendChunk(streamEvents(*generation, sent, upTo, isChat));
            sent = upTo;
        }
        co_await exchange.sendChunk("data: [DONE]\n\n");
        co_await exchange.finishStream();
    } catch (const boost::system::system_error&) {
        m_batch.cancel(generation);
        throw;
    }
}

awaitable<void> Engine::wholeAnswer(Exchange& exchange, std::shared_ptr<Generation> generation, bool isChat)
{
    while (!generation->isComplete() && !generation->isCancelled)
        co_await waitForMore(generation, generation->nextToken);
    if (generation->isCancelled)
        exchange.drop();
    else
        co_await exchange.replyJson(HttpStatus::ok, wholeAnswerJson(*generation, isChat));
}

void Engine::startStepping()
{
    if (m_isStepping)
        return;
    m_isStepping = true;
    asio::co_spawn(m_io, stepLoop(), asio::detached);
}

awaitable<void> Engine::stepLoop()
{
    asio::steady_timer timer(m_io);
    auto nextAt = steady_clock::now();
    while (!m_batch.isIdle()) {
        auto stepMs = m_options.batch.stepMs * m_slowFactor;
        nextAt = std::max(nextAt, steady_clock::now() - stallPoll);
        nextAt += std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double, std::milli>(stepMs));
        if (stepMs > 0) {
            timer.expires_at(nextAt);
            co_await timer.async_wait(use_awaitable);
        } else {
            co_await asio::post(m_io, use_awaitable);
        }
        while (m_fault == "stall" || m_fault == "hang") {
            timer.expires_after(stallPoll);
            co_await timer.async_wait(use_awaitable);
        }
        m_batch.step();
        sampleLoad();
    }
    m_isStepping = false;
}

void Engine::setFault(const std::string& body)
{
    auto fault = json::parse(body).as_object();
    m_fault = json::value_to<std::string>(fault.at("kind"));
    m_slowFactor = m_fault != "slow" ? 1 : fault.contains("factor") ? fault.at("factor").to_number<double>()
                                                                    : 4;
    log::write(log::Event::StandinFaultSet, "kind={}", m_fault);
    if (m_fault != "crash")
        return;
    if (fault.contains("prompt_contains"))
        m_options.crashMarker = json::value_to<std::string>(fault.at("prompt_contains"));
    else
        crashLater(std::chrono::milliseconds(fault.contains("after") ? fault.at("after").to_number<int>() : 0));
}

void Engine::crashLater(std::chrono::milliseconds delay)
{
    m_crashTimer.expires_after(delay);
    m_crashTimer.async_wait([](boost::system::error_code ec) {
        if (!ec)
            ::_exit(1);
    });
}

void Engine::crashIfMarked(const Generation& generation)
{
    if (!m_options.crashMarker.empty() && generation.prompt.find(m_options.crashMarker) != std::string::npos)
        ::_exit(1);
}

awaitable<void> Engine::takeOrder(Exchange& exchange)
{
    auto order = json::parse(exchange.request().body()).as_object();
    auto fencing = order.contains("fencing") ? order.at("fencing").to_number<std::uint64_t>() : 0;
    if (m_options.checksFencing && fencing < m_highestFencing) {
        co_await exchange.reply(HttpStatus::conflict, "text/plain", "an order with a higher fencing number was taken before\n");
        co_return;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    if (order.contains("map_version"))
        m_mapVersion = order.at("map_version").to_number<std::uint64_t>();
    order["step"] = m_batch.steps();
    m_orders.push_back(order);
    co_await exchange.replyJson(HttpStatus::ok, stepsJson());
}

std::string Engine::stepsJson() const
{
    json::object object { { "step", m_batch.steps() }, { "map_version", m_mapVersion }, { "fencing", m_highestFencing } };
    return json::serialize(object);
}

std::string Engine::currentLoadJson()
{
    json::object object {
        { "running", m_batch.running() },
        { "queued", m_batch.queued() },
        { "batch", m_options.batch.batch },
        { "tokens_per_second", m_tokensPerSecond },
        { "kv_free", m_batch.kvFree() },
        { "as_of_ms", epochMilliseconds() },
    };
    return json::serialize(object);
}

void Engine::sampleLoad()
{
    auto now = steady_clock::now();
    if (now - m_rateSince >= std::chrono::seconds(1)) {
        auto elapsed = std::chrono::duration<double>(now - m_rateSince).count();
        m_tokensPerSecond = static_cast<std::int64_t>(static_cast<double>(m_batch.tokensMade() - m_rateTokens) / elapsed);
        m_rateTokens = m_batch.tokensMade();
        m_rateSince = now;
    }
    if (m_options.loadLag.count() == 0)
        return;
    if (!m_batch.isIdle() && !m_loadSamples.empty() && now - m_loadSamples.back().takenAt < sampleInterval)
        return;
    m_loadSamples.push_back({ now, currentLoadJson() });
    dropOldSamples();
}

void Engine::dropOldSamples()
{
    auto visibleUpTo = steady_clock::now() - m_options.loadLag;
    while (m_loadSamples.size() > 1 && m_loadSamples[1].takenAt <= visibleUpTo)
        m_loadSamples.pop_front();
}

std::string Engine::load()
{
    sampleLoad();
    if (m_options.loadLag.count() == 0)
        return currentLoadJson();
    dropOldSamples();
    return m_loadSamples.front().json;
}

} // namespace swiftloft::standin
