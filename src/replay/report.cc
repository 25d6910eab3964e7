#include "src/replay/report.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::replay {

namespace json = boost::json;

namespace {

double toMilliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string timeSince(TimePoint start, TimePoint end)
{
    return end < start ? "-" : fmt::format("{:.1f}", toMilliseconds(end - start));
}

std::string latencyLine(std::string_view name, const Histogram& histogram)
{
    return fmt::format("{:<12} p50 {:>9.2f}  p95 {:>9.2f}  p99 {:>9.2f}  max {:>9.2f} ms  ({})\n", name, toMilliseconds(histogram.percentile(0.5)),
        toMilliseconds(histogram.percentile(0.95)), toMilliseconds(histogram.percentile(0.99)), toMilliseconds(histogram.max()), histogram.count());
}

json::object latencyJson(const Histogram& histogram)
{
    return {
        { "count", histogram.count() },
        { "mean_ms", toMilliseconds(histogram.mean()) },
        { "p50_ms", toMilliseconds(histogram.percentile(0.5)) },
        { "p95_ms", toMilliseconds(histogram.percentile(0.95)) },
        { "p99_ms", toMilliseconds(histogram.percentile(0.99)) },
        { "max_ms", toMilliseconds(histogram.max()) },
    };
}

std::string countLines(std::string_view title, const std::map<std::string, std::size_t>& counts)
{
    std::string text;
    for (auto& [name, n] : counts)
        text += fmt::format("{}: {} {}\n", title, n, name);
    return text;
}

json::object countsJson(const std::map<std::string, std::size_t>& counts)
{
    json::object object;
    for (auto& [name, n] : counts)
        object[name] = n;
    return object;
}

std::string statusText(const Record& record)
{
    if (record.fate == Fate::Lost)
        return fmt::format("{} lost", record.status);
    if (record.fate == Fate::Answered)
        return std::to_string(record.status);
    return fmt::format("{} {}", record.status, record.refusal.name);
}

} // namespace

std::string tableHead()
{
    return fmt::format("{:<34} {:<18} {:<16} {:<20} {:<13} {:>10} {:>10}\n", "request", "entry", "backend server", "status", "verdict", "first ms", "total ms");
}

std::string tableRow(const Record& record)
{
    auto& request = record.request;
    auto name = fmt::format("{} {} {}", record.index + 1, request.service.value(), request.organisation.value());
    auto verdict = record.verdict ? toString(*record.verdict) : std::string_view("-");
    auto row = fmt::format("{:<34} {:<18} {:<16} {:<20} {:<13} {:>10} {:>10}", name.substr(0, 34), record.entry, record.backendServer.empty() ? "-" : record.backendServer,
        statusText(record), verdict, timeSince(record.sentAt, record.firstByteAt), timeSince(record.sentAt, record.doneAt));
    return record.problem.empty() ? row + '\n' : fmt::format("{}  {}\n", row, record.problem);
}

std::string summaryText(const Summary& summary)
{
    auto text = fmt::format("sent {} in {:.2f} s: answered {}, refused {}, lost {}, doubled {}, false not-run {}, unexpected {}\n", summary.sent,
        summary.elapsedSeconds, summary.answered, summary.refused, summary.lost, summary.doubled, summary.falseNotRun, summary.unexpected);
    text += fmt::format("goodput {:.1f} requests/s, {:.0f} tokens/s\n", summary.requestsPerSecond, summary.tokensPerSecond);
    text += latencyLine("first byte", summary.firstByte);
    text += latencyLine("total", summary.total);
    if (summary.tokenGap.count() > 0)
        text += latencyLine("token gap", summary.tokenGap);
    for (auto& broken : summary.broken)
        text += fmt::format("broken: {}\n", broken);
    return text + countLines("refused", summary.refusedBy) + countLines("lost", summary.lostBy);
}

std::string summaryJson(const Summary& summary, const std::vector<Failure>& failures)
{
    json::array failed;
    for (auto& failure : failures)
        failed.push_back(json::value(failure.what));
    json::object object {
        { "sent", summary.sent },
        { "answered", summary.answered },
        { "refused", summary.refused },
        { "lost", summary.lost },
        { "doubled", summary.doubled },
        { "false_not_run", summary.falseNotRun },
        { "unexpected", summary.unexpected },
        { "elapsed_s", summary.elapsedSeconds },
        { "requests_per_second", summary.requestsPerSecond },
        { "tokens_per_second", summary.tokensPerSecond },
        { "first_byte", latencyJson(summary.firstByte) },
        { "total", latencyJson(summary.total) },
        { "token_gap", latencyJson(summary.tokenGap) },
        { "broken", json::value_from(summary.broken) },
        { "refused_by_reason", countsJson(summary.refusedBy) },
        { "lost_by_cause", countsJson(summary.lostBy) },
        { "answered_by_backend_server", countsJson(summary.answeredBy) },
        { "failed_outcomes", failed },
    };
    return json::serialize(object);
}

std::string countsLine(std::string_view name, const Summary& summary)
{
    return fmt::format("{}: {} answered, {} refused, {} lost, {} doubled\n", name, summary.answered, summary.refused, summary.lost, summary.doubled);
}

} // namespace swiftloft::replay
