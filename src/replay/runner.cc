#include "src/replay/runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace swiftloft::replay {

namespace asio = boost::asio;

Runner::Runner(asio::io_context& io, RunnerOptions options)
    : m_io(io)
    , m_options(std::move(options))
{
    auto& seeds = m_options.sender.seeds;
    for (std::size_t n = 0; n < std::max<std::size_t>(m_options.callers, 1); ++n) {
        m_senders.push_back(std::make_unique<Sender>(m_io, m_options.sender));
        // Each caller begins with another entry, as callers in the field do.
        if (!seeds.empty())
            std::rotate(seeds.begin(), seeds.begin() + 1, seeds.end());
    }
}

std::vector<std::shared_ptr<Record>> Runner::run(Source source)
{
    m_source = std::move(source);
    m_records.clear();
    if (m_options.concurrency == 0) {
        asio::co_spawn(m_io, openLoop(), asio::detached);
    } else {
        for (std::size_t n = 0; n < m_options.concurrency; ++n)
            asio::co_spawn(m_io, closedLoop(n % m_senders.size()), asio::detached);
    }
    m_io.restart();
    m_io.run();
    return std::move(m_records);
}

std::shared_ptr<Record> Runner::nextRecord()
{
    auto request = m_source();
    if (!request)
        return nullptr;
    auto record = std::make_shared<Record>();
    record->index = m_records.size();
    record->request = std::move(*request);
    m_records.push_back(record);
    return record;
}

asio::awaitable<void> Runner::openLoop()
{
    auto start = Clock::now();
    asio::steady_timer timer(m_io);
    while (auto record = nextRecord()) {
        auto offset = std::chrono::duration<double, std::milli>(static_cast<double>(record->request.sendAt.count()) / m_options.speed);
        timer.expires_at(start + std::chrono::duration_cast<Clock::duration>(offset));
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(m_io, sendOne(record, record->index % m_senders.size()), asio::detached);
    }
}

asio::awaitable<void> Runner::closedLoop(std::size_t caller)
{
    while (auto record = nextRecord())
        co_await sendOne(record, caller);
}

asio::awaitable<void> Runner::sendOne(std::shared_ptr<Record> record, std::size_t caller)
{
    co_await m_senders[caller]->send(record);
    if (onRecord)
        onRecord(*record);
}

} // namespace swiftloft::replay
