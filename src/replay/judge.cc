#include "src/replay/judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace swiftloft::replay {

namespace {

using Records = std::vector<std::shared_ptr<Record>>;

int runsOf(const Record& record, const RunCounts& counts)
{
    auto it = counts.byFingerprint.find(record.fingerprint);
    auto runs = it == counts.byFingerprint.end() ? 0 : it->second;
    if (record.request.key.value().empty())
        return runs;
    auto byKey = counts.byKey.find(record.request.key.value());
    return byKey == counts.byKey.end() ? 0 : byKey->second;
}

/// Requests that can't be told apart at the backend server: the same key, or the same body without a key.
std::string identityOf(const Record& record)
{
    auto& key = record.request.key.value();
    return key.empty() ? fmt::format("body {:016x}", record.fingerprint) : "key " + key;
}

struct Group {
    bool isRepeatable { false };
    std::size_t lines { 0 };
    std::size_t saidNotRun { 0 };
    int runs { 0 };
};

std::map<std::string, Group> groupRequests(const Records& records, const RunCounts& counts)
{
    std::map<std::string, Group> groups;
    for (auto& record : records) {
        auto& group = groups[identityOf(*record)];
        group.isRepeatable = group.isRepeatable || record->request.isRepeatable;
        group.runs = runsOf(*record, counts);
        ++group.lines;
        if (record->verdict == Verdict::NotRun && record->fate == Fate::Refused)
            ++group.saidNotRun;
    }
    return groups;
}

void countRuns(const Records& records, const RunCounts& counts, Summary& summary)
{
    for (auto& [identity, group] : groupRequests(records, counts)) {
        // Without a key each line of the trace is a request of its own and may run once.
        auto mayRun = identity.starts_with("key ") ? 1 : static_cast<int>(group.lines);
        if (!group.isRepeatable && group.runs > mayRun) {
            ++summary.doubled;
            summary.broken.push_back(fmt::format("{} ran {} times", identity, group.runs));
        }
        if (group.saidNotRun == group.lines && group.runs > 0) {
            ++summary.falseNotRun;
            summary.broken.push_back(fmt::format("{} was called not run and ran", identity));
        }
    }
}

void addTimes(const Record& record, Summary& summary)
{
    summary.firstByte.add(record.firstByteAt - record.sentAt);
    summary.total.add(record.doneAt - record.sentAt);
    for (std::size_t n = 1; n < record.tokensAt.size(); ++n)
        summary.tokenGap.add(record.tokensAt[n] - record.tokensAt[n - 1]);
}

void addRecord(const Record& record, Summary& summary)
{
    ++summary.sent;
    if (!isExpected(record))
        ++summary.unexpected;
    switch (record.fate) {
    case Fate::Answered:
        ++summary.answered;
        ++summary.answeredBy[record.backendServer.empty() ? "?" : record.backendServer];
        addTimes(record, summary);
        break;
    case Fate::Refused:
        ++summary.refused;
        ++summary.refusedBy[record.refusal.name.empty() ? fmt::format("status {}", record.status) : record.refusal.name];
        break;
    case Fate::Lost:
        ++summary.lost;
        ++summary.lostBy[record.problem];
        break;
    }
}

void addRates(const Records& records, Summary& summary)
{
    if (records.empty())
        return;
    auto first = records.front()->sentAt;
    auto last = first;
    std::int64_t tokens = 0;
    for (auto& record : records) {
        last = std::max(last, record->doneAt);
        if (record->fate == Fate::Answered)
            tokens += record->tokens;
    }
    summary.elapsedSeconds = std::max(std::chrono::duration<double>(last - first).count(), 1e-6);
    summary.requestsPerSecond = static_cast<double>(summary.answered) / summary.elapsedSeconds;
    summary.tokensPerSecond = static_cast<double>(tokens) / summary.elapsedSeconds;
}

bool holds(const StatedOutcome& outcome, double value)
{
    return outcome.bound == Bound::AtMost ? value <= outcome.value : value >= outcome.value;
}

} // namespace

bool isExpected(const Record& record)
{
    switch (record.request.expected) {
    case ExpectedOutcome::Answered:
        return record.fate == Fate::Answered;
    case ExpectedOutcome::Refused:
        return record.fate == Fate::Refused;
    case ExpectedOutcome::Honest:
        return record.fate != Fate::Lost;
    }
    return false;
}

double Summary::value(Measure measure) const
{
    auto share = [this](std::size_t n) { return sent ? static_cast<double>(n) / static_cast<double>(sent) : 0; };
    switch (measure) {
    case Measure::Lost:
        return static_cast<double>(lost);
    case Measure::Doubled:
        return static_cast<double>(doubled);
    case Measure::FalseNotRun:
        return static_cast<double>(falseNotRun);
    case Measure::Unexpected:
        return static_cast<double>(unexpected);
    case Measure::AnsweredShare:
        return share(answered);
    case Measure::RefusedShare:
        return share(refused);
    }
    return 0;
}

std::vector<StatedOutcome> withDefaults(std::vector<StatedOutcome> outcomes)
{
    for (auto measure : { Measure::Lost, Measure::Doubled, Measure::FalseNotRun, Measure::Unexpected }) {
        auto states = [&](auto& it) { return it.measure == measure; };
        if (std::none_of(outcomes.begin(), outcomes.end(), states))
            outcomes.push_back({ measure, Bound::AtMost, 0 });
    }
    return outcomes;
}

Summary summarize(const Records& records, const RunCounts& counts)
{
    Summary summary;
    for (auto& record : records)
        addRecord(*record, summary);
    countRuns(records, counts, summary);
    addRates(records, summary);
    return summary;
}

std::vector<Failure> judge(const Summary& summary, const std::vector<StatedOutcome>& outcomes)
{
    std::vector<Failure> failures;
    for (auto& outcome : outcomes) {
        auto value = summary.value(outcome.measure);
        if (holds(outcome, value))
            continue;
        auto sign = outcome.bound == Bound::AtMost ? "<=" : ">=";
        failures.push_back({ fmt::format("{} is {}, stated {} {}", toString(outcome.measure), value, sign, outcome.value) });
    }
    return failures;
}

} // namespace swiftloft::replay
