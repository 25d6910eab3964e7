#include "src/ctl/log-line.h"

#include <iomanip>
#include <sstream>
#include <utility>
#include <vector>

namespace swiftloft::ctl {

namespace {

constexpr std::size_t wordsBeforeFields = 5;

/// Words of a line; text in double quotes is one, with its quotes left out.
std::vector<std::string> wordsOf(std::string_view text)
{
    std::vector<std::string> words;
    std::string word;
    bool isQuoted = false;
    for (char c : text) {
        if (c == '"') {
            isQuoted = !isQuoted;
            continue;
        }
        if (c != ' ' || isQuoted) {
            word += c;
            continue;
        }
        if (!word.empty())
            words.push_back(std::exchange(word, {}));
    }
    if (!word.empty())
        words.push_back(word);
    return words;
}

std::optional<std::chrono::system_clock::time_point> timeFrom(const std::string& word)
{
    std::tm parts {};
    std::istringstream in(word);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    if (in.fail() || word.empty() || word.back() != 'Z')
        return std::nullopt;
    return std::chrono::system_clock::from_time_t(timegm(&parts));
}

} // namespace

std::string LogLine::field(std::string_view name) const
{
    auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    auto words = wordsOf(text);
    std::size_t begin = 0;
    while (begin < words.size() && !timeFrom(words[begin]))
        ++begin;
    // TIME LEVEL NUMBER NAME PROCESS key=value ...
    if (begin + wordsBeforeFields > words.size())
        return std::nullopt;
    LogLine line;
    line.time = *timeFrom(words[begin]);
    line.event = words[begin + 3];
    line.process = words[begin + 4];
    line.text = text;
    for (std::size_t n = begin + wordsBeforeFields; n < words.size(); ++n) {
        auto equals = words[n].find('=');
        if (equals != std::string::npos)
            line.fields.emplace(words[n].substr(0, equals), words[n].substr(equals + 1));
    }
    return line;
}

} // namespace swiftloft::ctl
