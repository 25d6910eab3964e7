/// Plain service: echoes what it was asked and counts how often each request ran.
#include "standin/program.h"
#include "standin/run-log.h"

#include "src/log/logger.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <cstdlib>
#include <unistd.h>

namespace swiftloft::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds hangPoll { 5 };

class PlainService {
public:
    PlainService(asio::io_context& io, std::string id, const std::string& runLogFile)
        : m_io(io)
        , m_id(std::move(id))
        , m_runLog(runLogFile)
    {
    }

    asio::awaitable<void> handle(Exchange& exchange)
    {
        if (exchange.path() == "/admin/fault") {
            co_await setFault(exchange);
            co_return;
        }
        while (m_fault == "hang")
            co_await pause(hangPoll);
        if (exchange.path() == "/admin/runs")
            co_await exchange.replyJson(HttpStatus::ok, m_runLog.toJson());
        else if (exchange.path() == "/load")
            co_await exchange.replyJson(HttpStatus::ok, loadJson());
        else
            co_await echo(exchange);
    }

private:
    asio::awaitable<void> pause(std::chrono::milliseconds delay)
    {
        asio::steady_timer timer(m_io, delay);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> setFault(Exchange& exchange)
    {
        auto fault = json::parse(exchange.request().body()).as_object();
        m_fault = json::value_to<std::string>(fault.at("kind"));
        m_slowMs = fault.contains("ms") ? fault.at("ms").to_number<int>() : 1000;
        log::write(log::Event::StandinFaultSet, "kind={}", m_fault);
        if (m_fault == "crash")
            ::_exit(1);
        co_await exchange.replyJson(HttpStatus::ok, "{}");
    }

    asio::awaitable<void> echo(Exchange& exchange)
    {
        auto& request = exchange.request();
        RunLog::Start start;
        start.key = exchange.header("Swiftloft-Request-Key");
        start.idempotencyKey = exchange.header("Idempotency-Key");
        start.fingerprint = XXH64(request.body().data(), request.body().size(), 0);
        auto id = m_runLog.start(start);
        ++m_running;
        auto delay = std::atoi(exchange.query("delay_ms").c_str());
        if (m_fault == "slow")
            delay += m_slowMs;
        if (delay > 0)
            co_await pause(std::chrono::milliseconds(delay));
        --m_running;
        m_runLog.finish(id, 0, "finished");
        exchange.setHeader("Swiftloft-Backend-Server", m_id);
        co_await exchange.replyJson(HttpStatus::ok, echoJson(request, m_runLog.countOf(start)));
    }

    std::string loadJson() const
    {
        json::object load { { "running", m_running }, { "queued", 0 }, { "as_of_ms", epochMilliseconds() } };
        return json::serialize(load);
    }

    std::string echoJson(const HttpRequest& request, std::int64_t runs) const
    {
        json::object body {
            { "backend", m_id },
            { "method", std::string(request.method_string()) },
            { "path", std::string(request.target()) },
            { "body", request.body() },
            { "runs", runs },
        };
        return json::serialize(body);
    }

    asio::io_context& m_io;
    std::string m_id;
    RunLog m_runLog;
    std::string m_fault { "none" };
    int m_slowMs { 0 };
    int m_running { 0 };
};

int run(int argc, char** argv)
{
    cxxopts::Options options("standin-plain", "Stand-in for a plain HTTP service");
    options.add_options()("listen", "IP:PORT to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("id", "name given in answers", cxxopts::value<std::string>()->default_value("plain"));
    options.add_options()("run-log", "file that keeps the run log over a crash", cxxopts::value<std::string>()->default_value(""));
    int exitStatus = 0;
    auto parsed = parseCommandLine(options, argc, argv, exitStatus);
    if (!parsed)
        return exitStatus;
    asio::io_context io(1);
    PlainService service(io, (*parsed)["id"].as<std::string>(), (*parsed)["run-log"].as<std::string>());
    log::setProcessName((*parsed)["id"].as<std::string>());
    return serveUntilSignal(io, (*parsed)["listen"].as<std::string>(), [&](Exchange& exchange) { return service.handle(exchange); });
}

} // namespace

} // namespace swiftloft::standin

int main(int argc, char** argv)
{
    return swiftloft::standin::run(argc, argv);
}
