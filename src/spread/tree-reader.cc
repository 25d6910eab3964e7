#include "src/spread/tree-reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace swiftloft::spread {

namespace {

/// For reading parts, after the watch itself has ended.
constexpr seconds gatherTime { 20 };
/// Of trees that could not be gathered whole; twice what one manifest may list.
constexpr std::size_t maxPartsHeld = 2 * settings::Manifest::maxParts;

PlatformAnswer failure(std::string problem)
{
    PlatformAnswer answer;
    answer.problem = std::move(problem);
    return answer;
}

} // namespace

TreeReader::TreeReader(std::shared_ptr<PlatformClient> client)
    : m_client(std::move(client))
{
}

std::shared_ptr<TreeReader> TreeReader::create(std::shared_ptr<PlatformClient> client)
{
    return std::shared_ptr<TreeReader>(new TreeReader(std::move(client)));
}

void TreeReader::watch(Revision known, TimePoint deadline, PlatformClient::Completion done)
{
    m_client->watch(Topic::Settings, known, deadline, [self = shared_from_this(), deadline, done = std::move(done)](PlatformAnswer answer) {
        self->onAnswer(std::move(answer), deadline, done);
    });
}

void TreeReader::onAnswer(PlatformAnswer answer, TimePoint deadline, PlatformClient::Completion done)
{
    m_readBytes += answer.body.size();
    if (answer.outcome != PlatformOutcome::Body || !settings::Manifest::isManifest(answer.body))
        return done(std::move(answer));
    auto parsed = settings::Manifest::parse(answer.body);
    if (!parsed.manifest)
        return done(std::move(answer));
    auto gathering = std::make_shared<Gathering>();
    gathering->answer = std::move(answer);
    gathering->parts = parsed.manifest->parts();
    gathering->deadline = std::max(deadline, Clock::now() + gatherTime);
    gathering->done = std::move(done);
    gatherNext(gathering);
}

void TreeReader::gatherNext(const std::shared_ptr<Gathering>& gathering)
{
    while (gathering->next < gathering->parts.size() && m_parts.contains(gathering->parts[gathering->next].digest))
        ++gathering->next;
    if (gathering->next == gathering->parts.size())
        return finish(*gathering);
    auto& digest = gathering->parts[gathering->next].digest;
    m_client->fetchPart(digest.value(), gathering->deadline, [self = shared_from_this(), gathering](PlatformAnswer answer) {
        self->onPart(gathering, std::move(answer));
    });
}

void TreeReader::onPart(const std::shared_ptr<Gathering>& gathering, PlatformAnswer answer)
{
    auto& part = gathering->parts[gathering->next];
    if (answer.outcome != PlatformOutcome::Body) {
        answer.problem = fmt::format("part '{}': {}", part.name, answer.problem);
        return gathering->done(std::move(answer));
    }
    m_readBytes += answer.body.size();
    if (settings::digestOf(answer.body) != part.digest)
        return gathering->done(failure(fmt::format("part '{}' is not what the manifest says", part.name)));
    if (m_parts.size() >= maxPartsHeld)
        m_parts.clear();
    m_parts[part.digest] = std::move(answer.body);
    gathering->next = 0;
    gatherNext(gathering);
}

void TreeReader::finish(Gathering& gathering)
{
    std::string tree;
    std::map<settings::Digest, std::string> kept;
    for (auto& part : gathering.parts) {
        auto& text = m_parts[part.digest];
        tree += text;
        if (!text.empty() && text.back() != '\n')
            tree += '\n';
        kept[part.digest] = text;
    }
    m_parts = std::move(kept);
    gathering.answer.body = std::move(tree);
    gathering.done(std::move(gathering.answer));
}

} // namespace swiftloft::spread
