#pragma once

#include "standin/prefix-cache.h"
#include "standin/run-log.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace swiftloft::standin {

/// One request inside an engine.
struct Generation {
    std::string key;
    std::string idempotencyKey;
    std::uint64_t fingerprint { 0 };
    std::string prompt;
    std::string hash;
    std::int64_t promptTokens { 0 };
    std::int64_t firstToken { 0 };
    std::int64_t endToken { 0 };
    /// Lower runs first.
    int priority { 0 };

    /// Next token to be made; all before it can be sent.
    std::int64_t nextToken { 0 };
    double prefillLeftMs { 0 };
    bool isCancelled { false };
    std::size_t runId { 0 };
    /// Called after each change, so that whoever sends the answer looks again.
    std::function<void()> wake;

    bool isComplete() const { return nextToken >= endToken; }
};

struct BatchOptions {
    double stepMs { 6 };
    std::size_t batch { 16 };
    double promptMsPerThousand { 20 };
    std::size_t cacheBlocks { 4096 };
    std::int64_t kvTokens { 262144 };
};

/// Continuous batching without I/O: a step gives one token to each running request; the rest wait in a queue.
class Batch {
public:
    Batch(BatchOptions, RunLog&);

    void submit(std::shared_ptr<Generation>);
    void cancel(const std::shared_ptr<Generation>&);
    void step();

    bool isIdle() const { return m_running.empty() && m_queued.empty(); }
    std::size_t running() const { return m_running.size(); }
    std::size_t queued() const { return m_queued.size(); }
    std::uint64_t steps() const { return m_steps; }
    std::int64_t tokensMade() const { return m_tokensMade; }
    /// Share of the KV cache that no running request holds, 0 to 1.
    double kvFree() const;

    /// Asked before a request yields its first token; called with its prompt.
    std::function<void(const Generation&)> onFirstStep;

private:
    void fill();
    void start(std::shared_ptr<Generation>);
    void advance(Generation&);

    BatchOptions m_options;
    RunLog& m_runLog;
    PrefixCache m_cache;
    std::vector<std::shared_ptr<Generation>> m_running;
    std::deque<std::shared_ptr<Generation>> m_queued;
    std::uint64_t m_steps { 0 };
    std::int64_t m_tokensMade { 0 };
};

} // namespace swiftloft::standin
