#pragma once

#include "src/ctl/console.h"

#include <string>
#include <vector>

namespace swiftloft::ctl {

enum class Tone {
    Plain,
    Good,
    Bad,
};

/// A text table with aligned columns; columns of numbers stand to the right.
class Table {
public:
    enum class Align {
        Left,
        Right,
    };

    struct Column {
        std::string heading;
        Align align { Align::Left };
    };

    explicit Table(std::vector<Column> columns);

    /// `cells` has one text a column; the tone colours the row on a terminal.
    void add(std::vector<std::string> cells, Tone tone = Tone::Plain);
    bool isEmpty() const { return m_rows.empty(); }

    void print(const Console& console) const;

private:
    struct Row {
        std::vector<std::string> cells;
        Tone tone { Tone::Plain };
    };

    std::string line(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) const;

    std::vector<Column> m_columns;
    std::vector<Row> m_rows;
};

} // namespace swiftloft::ctl
