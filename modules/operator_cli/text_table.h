#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace chivewharf::operator_cli {

/// Text table with a heading row and aligned columns.
class text_table {
public:
    explicit text_table(std::vector<std::string> headings) { add(std::move(headings)); }

    /// Adds a row, which must have as many cells as there are headings.
    void add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }

    /// Writes the table; each column is as wide as its longest cell.
    void write(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace chivewharf::operator_cli
