#include <algorithm> // max
#include <ostream>   // ostream

#include "commands.hpp"

namespace poplarport::poplarctl
{

void write_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows)
{
    constexpr std::size_t column_gap = 2;
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto& row : rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            line += row[column];
            line.append(widths[column] - row[column].size() + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

} // namespace poplarport::poplarctl
