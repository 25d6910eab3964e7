#include "src/ctl/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace swiftloft::ctl {

namespace {

constexpr std::string_view gap = "  ";

/// Characters, not bytes: every byte but the continuations of UTF-8.
std::size_t widthOf(std::string_view text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](unsigned char c) { return (c & 0xc0) != 0x80; }));
}

std::string coloured(const std::string& line, Tone tone)
{
    constexpr std::array<std::string_view, 3> codes { "", "\x1b[32m", "\x1b[31m" };
    if (tone == Tone::Plain)
        return line;
    return fmt::format("{}{}\x1b[0m", codes[static_cast<std::size_t>(tone)], line);
}

} // namespace

Table::Table(std::vector<Column> columns)
    : m_columns(std::move(columns))
{
}

void Table::add(std::vector<std::string> cells, Tone tone)
{
    cells.resize(m_columns.size());
    m_rows.push_back({ std::move(cells), tone });
}

std::string Table::line(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) const
{
    std::string text;
    for (std::size_t it = 0; it < cells.size(); ++it) {
        std::string padding(widths[it] - widthOf(cells[it]), ' ');
        auto isRight = m_columns[it].align == Align::Right;
        text += (it == 0 ? "" : std::string(gap)) + (isRight ? padding + cells[it] : cells[it] + padding);
    }
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
}

void Table::print(const Console& console) const
{
    std::vector<std::string> headings;
    std::vector<std::size_t> widths;
    for (auto& column : m_columns) {
        headings.push_back(column.heading);
        widths.push_back(widthOf(column.heading));
    }
    for (auto& row : m_rows) {
        for (std::size_t it = 0; it < widths.size(); ++it)
            widths[it] = std::max(widths[it], widthOf(row.cells[it]));
    }
    console.out(line(headings, widths) + "\n");
    for (auto& row : m_rows) {
        auto text = line(row.cells, widths);
        console.out((console.hasColour ? coloured(text, row.tone) : text) + "\n");
    }
}

} // namespace swiftloft::ctl
