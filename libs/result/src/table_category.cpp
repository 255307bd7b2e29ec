#include "poplarport/result/table_category.hpp"

#include <algorithm> // ranges::find

namespace poplarport::result
{

std::string table_category::message(int number) const
{
    const auto row = std::ranges::find(this->rows, number, &code_entry::number);
    if (row == this->rows.end())
    {
        return "unlisted result code " + std::to_string(number);
    }
    return std::string{row->meaning};
}

} // namespace poplarport::result
