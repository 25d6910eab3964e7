#pragma once

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace swiftloft::standin {

/// What a backend server has run: the witness that a request ran at most once.
///
/// With a file, each start is on disk before the request runs, so that the record outlives a crash; a later process
/// with the same file goes on from there.
class RunLog {
public:
    /// What is known of a request when it begins to run.
    struct Start {
        /// Name the system gave the request.
        std::string key;
        /// Name its caller gave it, where that was passed on.
        std::string idempotencyKey;
        std::uint64_t fingerprint { 0 };
        std::int64_t resumeFrom { 0 };
    };

    explicit RunLog(const std::string& path);

    /// Records that a request begins to run and gives the number to finish it with.
    std::size_t start(Start);
    void finish(std::size_t id, std::int64_t tokens, std::string_view outcome);

    /// How often the request began to run; told apart by its caller's key, or by the system's where there is none.
    std::int64_t countOf(const Start&) const;
    std::string toJson() const;

private:
    struct Entry {
        Start start;
        std::int64_t startedMs { 0 };
        std::int64_t finishedMs { 0 };
        std::int64_t tokens { 0 };
        std::string outcome { "running" };
    };

    void load(const std::string& path);
    void append(std::string_view line);
    void add(Entry);

    std::vector<Entry> m_entries;
    std::unordered_map<std::string, std::int64_t> m_counts;
    std::ofstream m_file;
};

} // namespace swiftloft::standin
