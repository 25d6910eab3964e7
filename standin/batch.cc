#include "standin/batch.h"

#include <algorithm>

namespace swiftloft::standin {

Batch::Batch(BatchOptions options, RunLog& runLog)
    : m_options(options)
    , m_runLog(runLog)
    , m_cache(options.cacheBlocks)
{
}

void Batch::submit(std::shared_ptr<Generation> generation)
{
    auto isAfter = [](int priority, const std::shared_ptr<Generation>& other) { return priority < other->priority; };
    auto at = std::upper_bound(m_queued.begin(), m_queued.end(), generation->priority, isAfter);
    m_queued.insert(at, std::move(generation));
    fill();
}

void Batch::cancel(const std::shared_ptr<Generation>& generation)
{
    if (generation->isCancelled || generation->isComplete())
        return;
    generation->isCancelled = true;
    if (std::erase(m_running, generation))
        m_runLog.finish(generation->runId, generation->nextToken - generation->firstToken, "cancelled");
    std::erase(m_queued, generation);
    generation->wake();
    fill();
}

void Batch::fill()
{
    while (m_running.size() < m_options.batch && !m_queued.empty()) {
        auto next = m_queued.front();
        m_queued.pop_front();
        start(std::move(next));
    }
}

void Batch::start(std::shared_ptr<Generation> generation)
{
    auto cached = m_cache.touch(generation->prompt);
    auto share = generation->prompt.empty() ? 0 : 1 - static_cast<double>(cached) / static_cast<double>(generation->prompt.size());
    auto tokens = static_cast<double>(generation->promptTokens + generation->firstToken) * share;
    generation->prefillLeftMs = tokens * m_options.promptMsPerThousand / 1000;
    generation->runId = m_runLog.start({ generation->key, generation->idempotencyKey, generation->fingerprint, generation->firstToken });
    m_running.push_back(std::move(generation));
}

void Batch::advance(Generation& generation)
{
    if (generation.prefillLeftMs > 0) {
        generation.prefillLeftMs -= std::max(m_options.stepMs, 0.001);
        if (generation.prefillLeftMs > 0)
            return;
    }
    if (generation.nextToken == generation.firstToken && onFirstStep)
        onFirstStep(generation);
    ++generation.nextToken;
    ++m_tokensMade;
    if (generation.isComplete())
        m_runLog.finish(generation.runId, generation.endToken - generation.firstToken, "finished");
    generation.wake();
}

void Batch::step()
{
    ++m_steps;
    for (auto& generation : m_running)
        advance(*generation);
    std::erase_if(m_running, [](auto& generation) { return generation->isComplete(); });
    fill();
}

double Batch::kvFree() const
{
    std::int64_t held = 0;
    for (auto& generation : m_running)
        held += generation->promptTokens + generation->nextToken;
    auto share = static_cast<double>(held) / static_cast<double>(m_options.kvTokens);
    return std::max(0.0, 1 - share);
}

} // namespace swiftloft::standin
