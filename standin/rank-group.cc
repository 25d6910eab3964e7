#include "standin/rank-group.h"

#include "src/expertmap/engine-json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace swiftloft::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::awaitable;
using asio::use_awaitable;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds holdPoll { 1 };
constexpr std::chrono::milliseconds retryPause { 10 };
/// A lost connection to the barrier is found after this long.
constexpr std::chrono::seconds barrierLimit { 2 };
constexpr std::size_t maxLoggedSteps = 200'000;
constexpr unsigned httpVersion11 = 11;

Incarnation drawLife()
{
    std::random_device random;
    return Incarnation((static_cast<std::uint64_t>(random()) << 32 | random()) | 1);
}

steady_clock::duration stepTime(double ms)
{
    return std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

RankGroup::RankGroup(asio::io_context& io, RankGroupOptions options)
    : m_io(io)
    , m_options(std::move(options))
    , m_maps({ drawLife(), m_options.checksFencing, m_options.mapLoadTime })
    , m_entered(m_options.peers.size())
{
}

void RankGroup::start()
{
    asio::co_spawn(m_io, run(), asio::detached);
}

awaitable<void> RankGroup::run()
{
    // Step 0 is none: it tells the barrier that this engine has started and asks where the group is.
    auto completed = co_await reportEntered(0);
    for (;;) {
        auto next = completed + 1;
        while (!m_maps.enter(steady_clock::now(), StepNumber(next)))
            co_await pause(holdPoll);
        logStep(next);
        completed = co_await reportEntered(next);
    }
}

awaitable<void> RankGroup::pause(steady_clock::duration time)
{
    asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(use_awaitable);
}

void RankGroup::logStep(std::uint64_t step)
{
    m_steps.push_back({ step, m_maps.status(steady_clock::now()).current.value() });
    if (m_steps.size() > maxLoggedSteps)
        m_steps.pop_front();
    for (std::size_t n = 0; n < m_demand.size(); ++n)
        m_tokens[n] += m_demand[n];
}

awaitable<std::uint64_t> RankGroup::reportEntered(std::uint64_t step)
{
    if (m_options.rank == 0)
        co_return co_await waitForCompletion(0, step);
    for (;;) {
        try {
            co_return co_await askBarrier(step);
        } catch (const std::exception&) {
            // The engine of rank 0 is away; the group stands until it is back.
        }
        co_await pause(retryPause);
    }
}

awaitable<std::uint64_t> RankGroup::askBarrier(std::uint64_t step)
{
    beast::tcp_stream stream(m_io);
    stream.expires_after(barrierLimit);
    co_await stream.async_connect(parseEndpoint(m_options.peers.front()).value(), use_awaitable);
    http::request<http::string_body> request(http::verb::post, "/group/entered", httpVersion11);
    request.keep_alive(false);
    request.body() = fmt::format(R"({{"rank":{},"step":{}}})", m_options.rank, step);
    request.prepare_payload();
    co_await http::async_write(stream, request, use_awaitable);
    beast::flat_buffer buf;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buf, response, use_awaitable);
    co_return json::parse(response.body()).at("completed").to_number<std::uint64_t>();
}

awaitable<void> RankGroup::awaitOthers(Exchange& exchange)
{
    auto body = json::parse(exchange.request().body());
    auto rank = body.at("rank").to_number<std::uint32_t>();
    if (m_options.rank != 0 || rank == 0 || rank >= m_entered.size()) {
        co_await exchange.reply(HttpStatus::bad_request, "text/plain", "no such rank, or not the engine of rank 0\n");
        co_return;
    }
    auto completed = co_await waitForCompletion(rank, body.at("step").to_number<std::uint64_t>());
    auto answer = fmt::format(R"({{"completed":{}}})", completed);
    co_await exchange.replyJson(HttpStatus::ok, std::move(answer));
}

awaitable<std::uint64_t> RankGroup::waitForCompletion(std::uint32_t rank, std::uint64_t step)
{
    noteEntered(rank, step);
    for (;;) {
        completeStep();
        bool isKnown = std::all_of(m_entered.begin(), m_entered.end(), [](auto& it) { return it.has_value(); });
        if (isKnown && m_completed >= step)
            co_return m_completed;
        co_await pause(holdPoll);
    }
}

// A restarted engine says step 0, which takes back the unfinished step of its earlier life: it runs that step again.
void RankGroup::noteEntered(std::uint32_t rank, std::uint64_t step)
{
    m_entered[rank] = step;
    // Only one that found step N-1 complete enters N: so a restarted barrier learns where the group was.
    if (step > 0)
        m_completed = std::max(m_completed, step - 1);
}

void RankGroup::completeStep()
{
    auto now = steady_clock::now();
    if (now < m_nextCompletionAt)
        return;
    if (!std::all_of(m_entered.begin(), m_entered.end(), [this](auto& it) { return it && *it > m_completed; }))
        return;
    ++m_completed;
    m_nextCompletionAt = now + stepTime(m_options.stepMs);
}

awaitable<void> RankGroup::takeOrder(Exchange& exchange)
{
    auto order = expertmap::engine_json::parseOrder(exchange.request().body()).value();
    auto now = steady_clock::now();
    bool isTaken = m_maps.take(now, order);
    auto answer = expertmap::engine_json::toJson(expertmap::engine_json::EngineResponse { m_maps.status(now), m_maps.fence() });
    co_await exchange.replyJson(isTaken ? HttpStatus::ok : HttpStatus::conflict, answer);
}

void RankGroup::setDemand(const std::string& body)
{
    m_demand = json::value_to<std::vector<double>>(json::parse(body).at("tokens"));
    m_tokens.resize(m_demand.size());
}

std::string RankGroup::loadJson() const
{
    return json::serialize(json::object { { "tokens", json::value_from(m_tokens) } });
}

std::string RankGroup::stepsJson() const
{
    json::array steps;
    for (auto& it : m_steps)
        steps.push_back(json::object { { "step", it.step }, { "map_version", it.map } });
    return json::serialize(steps);
}

} // namespace swiftloft::standin
