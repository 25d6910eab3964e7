#include "src/process/ini-reader.h"

#include <fmt/format.h>
#include <ini.h>

#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace swiftloft::process {

namespace {

/// Feeds inih line by line and so knows the number of the line it is at.
class SectionReader {
public:
    SectionReader(const std::string& text, std::string fileName, const IniSection& section)
        : m_text(text)
        , m_fileName(std::move(fileName))
        , m_section(section)
    {
    }

    Result<void> read()
    {
        auto line = ini_parse_stream(&SectionReader::nextLine, this, &SectionReader::onKey, this);
        if (m_error)
            return *m_error;
        if (line != 0)
            return problem(line, fmt::format("expected 'key = value' or '[{}]'", m_section.name));
        for (auto& key : m_section.required) {
            if (!m_lineOfKey.contains(key))
                return Error { ErrorCode::MalformedInput, fmt::format("{}: key '{}' is missing from section '[{}]'", m_fileName, key, m_section.name) };
        }
        return {};
    }

private:
    Error problem(int line, const std::string& text) const
    {
        return { ErrorCode::MalformedInput, fmt::format("{}:{}: {}", m_fileName, line, text) };
    }

    static char* nextLine(char* buf, int size, void* self)
    {
        auto reader = static_cast<SectionReader*>(self);
        if (!reader->m_text.getline(buf, size))
            return nullptr;
        ++reader->m_line;
        return buf;
    }

    static int onKey(void* self, const char* section, const char* key, const char* value)
    {
        return static_cast<SectionReader*>(self)->set(section, key, value) ? 1 : 0;
    }

    bool set(const std::string& section, const std::string& key, const std::string& value)
    {
        if (m_error)
            return false;
        if (section != m_section.name) {
            m_error = problem(m_line, fmt::format("key '{}' stands in section '[{}]'; expected '[{}]'", key, section, m_section.name));
            return false;
        }
        if (m_lineOfKey.contains(key)) {
            m_error = problem(m_line, fmt::format("key '{}' was already set on line {}", key, m_lineOfKey[key]));
            return false;
        }
        m_lineOfKey[key] = m_line;
        auto expected = m_section.assign(key, value);
        if (!expected.empty())
            m_error = problem(m_line, fmt::format("key '{}' has value '{}'; expected {}", key, value, expected));
        return expected.empty();
    }

    std::istringstream m_text;
    std::string m_fileName;
    const IniSection& m_section;
    int m_line { 0 };
    std::map<std::string, int> m_lineOfKey;
    std::optional<Error> m_error;
};

} // namespace

Result<void> readIniSection(const std::string& text, const std::string& fileName, const IniSection& section)
{
    return SectionReader(text, fileName, section).read();
}

Result<std::string> readTextFile(const std::string& fileName)
{
    std::ifstream file(fileName);
    if (!file)
        return Error { ErrorCode::NotFound, fmt::format("{}: can't be read; expected a process file (see docs/REFERENCE.md)", fileName) };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace swiftloft::process
