#include "standin/run-log.h"

#include "standin/program.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace swiftloft::standin {

namespace json = boost::json;

namespace {

constexpr int hexadecimal = 16;

const std::string& identityOf(const RunLog::Start& start)
{
    return start.idempotencyKey.empty() ? start.key : start.idempotencyKey;
}

json::object startJson(const RunLog::Start& start)
{
    return {
        { "key", start.key },
        { "idempotency_key", start.idempotencyKey },
        { "fingerprint", fmt::format("{:016x}", start.fingerprint) },
        { "resume_from", start.resumeFrom },
    };
}

} // namespace

RunLog::RunLog(const std::string& path)
{
    if (path.empty())
        return;
    load(path);
    m_file.open(path, std::ios::app);
}

void RunLog::load(const std::string& path)
{
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        auto object = json::parse(line).as_object();
        if (object.contains("key")) {
            Entry entry;
            entry.start.key = json::value_to<std::string>(object.at("key"));
            entry.start.idempotencyKey = json::value_to<std::string>(object.at("idempotency_key"));
            entry.start.fingerprint = std::stoull(json::value_to<std::string>(object.at("fingerprint")), nullptr, hexadecimal);
            entry.start.resumeFrom = object.at("resume_from").as_int64();
            entry.startedMs = object.at("started").as_int64();
            entry.outcome = "lost";
            add(std::move(entry));
            continue;
        }
        auto& entry = m_entries.at(static_cast<std::size_t>(object.at("id").as_int64()));
        entry.finishedMs = object.at("finished").as_int64();
        entry.tokens = object.at("tokens").as_int64();
        entry.outcome = json::value_to<std::string>(object.at("outcome"));
    }
}

void RunLog::append(std::string_view line)
{
    if (!m_file.is_open())
        return;
    m_file << line << '\n';
    m_file.flush();
}

void RunLog::add(Entry entry)
{
    ++m_counts[identityOf(entry.start)];
    m_entries.push_back(std::move(entry));
}

std::size_t RunLog::start(Start start)
{
    Entry entry { std::move(start), epochMilliseconds() };
    auto object = startJson(entry.start);
    object["started"] = entry.startedMs;
    append(json::serialize(object));
    add(std::move(entry));
    return m_entries.size() - 1;
}

void RunLog::finish(std::size_t id, std::int64_t tokens, std::string_view outcome)
{
    auto& entry = m_entries.at(id);
    entry.finishedMs = epochMilliseconds();
    entry.tokens = tokens;
    entry.outcome = outcome;
    json::object object { { "id", id }, { "finished", entry.finishedMs }, { "tokens", tokens }, { "outcome", entry.outcome } };
    append(json::serialize(object));
}

std::int64_t RunLog::countOf(const Start& start) const
{
    auto it = m_counts.find(identityOf(start));
    return it == m_counts.end() ? 0 : it->second;
}

std::string RunLog::toJson() const
{
    json::array list;
    for (auto& entry : m_entries) {
        auto object = startJson(entry.start);
        object["started"] = entry.startedMs;
        object["finished"] = entry.finishedMs;
        object["tokens"] = entry.tokens;
        object["outcome"] = entry.outcome;
        list.push_back(std::move(object));
    }
    return json::serialize(list);
}

} // namespace swiftloft::standin
