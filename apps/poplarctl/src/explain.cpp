#include <algorithm> // ranges::sort
#include <charconv>  // from_chars
#include <ostream>   // ostream

#include <nlohmann/json.hpp>

#include "commands.hpp"
#include "poplarport/admission/errors.hpp"
#include "poplarport/attempts/errors.hpp"
#include "poplarport/configuration/errors.hpp"
#include "poplarport/control/errors.hpp"
#include "poplarport/http/errors.hpp"
#include "poplarport/limits/errors.hpp"
#include "poplarport/manifest/errors.hpp"
#include "poplarport/membership/errors.hpp"
#include "poplarport/mesh/errors.hpp"
#include "poplarport/net/errors.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/peer/errors.hpp"
#include "poplarport/registration/errors.hpp"
#include "poplarport/routing/errors.hpp"
#include "poplarport/settings/errors.hpp"
#include "poplarport/store/errors.hpp"
#include "poplarport/tenants/errors.hpp"
#include "poplarport/wire/errors.hpp"

namespace poplarport::poplarctl
{
namespace
{

using nlohmann::json;

/// @return the categories of all libraries, sorted by the numbers of their codes
std::vector<const result::table_category*> categories()
{
    std::vector<const result::table_category*> all{
        &settings::category(), &manifest::category(),   &routing::category(),       &admission::category(),
        &attempts::category(), &membership::category(), &configuration::category(), &net::category(),
        &http::category(),     &control::category(),    &peer::category(),          &node::category(),
        &limits::category(),   &wire::category(),       &store::category(),         &registration::category(),
        &mesh::category(),     &tenants::category()};
    std::erase_if(all, [](const auto* category) { return category->entries().empty(); });
    std::ranges::sort(all, {}, [](const auto* category) { return category->entries().front().number; });
    return all;
}

void write_markdown(std::ostream& out)
{
    out << "# Result codes\n\nWritten by `poplarctl explain --all --output markdown`; a test compares the two.\n";
    for (const result::table_category* category : categories())
    {
        out << "\n## " << category->name() << "\n\n| code | name | meaning | cause and remedy |\n|---|---|---|---|\n";
        for (const result::code_entry& row : category->entries())
        {
            out << "| " << row.number << " | `" << row.name << "` | " << row.meaning << " | " << row.cause << " |\n";
        }
    }
}

json to_json(const result::table_category& category, const result::code_entry& row)
{
    return {{"code", row.number},
            {"library", category.name()},
            {"name", row.name},
            {"meaning", row.meaning},
            {"cause", row.cause}};
}

void write_all(const command_options& options, const streams& io)
{
    if (options.output == output_format::markdown)
    {
        write_markdown(io.out);
        return;
    }
    json list = json::array();
    std::vector<std::vector<std::string>> table{{"CODE", "LIBRARY", "NAME", "MEANING"}};
    for (const result::table_category* category : categories())
    {
        for (const result::code_entry& row : category->entries())
        {
            list.push_back(to_json(*category, row));
            table.push_back(
                {std::to_string(row.number), category->name(), std::string{row.name}, std::string{row.meaning}});
        }
    }
    if (options.output == output_format::json)
    {
        io.out << list.dump(2) << "\n";
        return;
    }
    write_table(io.out, table);
}

} // namespace

exit_status explain(const command_options& options, const std::string& code, const streams& io)
{
    if (options.explains_all_codes)
    {
        write_all(options, io);
        return exit_status::ok;
    }
    int number = 0;
    const char* const end = code.data() + code.size();
    const bool is_number = std::from_chars(code.data(), end, number).ptr == end;
    for (const result::table_category* category : categories())
    {
        for (const result::code_entry& row : category->entries())
        {
            if (!is_number || row.number != number)
            {
                continue;
            }
            if (options.output == output_format::json)
            {
                io.out << to_json(*category, row).dump(2) << "\n";
                return exit_status::ok;
            }
            io.out << row.number << " " << category->name() << " " << row.name << "\n"
                   << row.meaning << "\n"
                   << row.cause << "\n";
            return exit_status::ok;
        }
    }
    io.err << "poplarctl: '" << code << "' is not a result code; see `poplarctl explain --all`\n";
    return exit_status::bad_data;
}

} // namespace poplarport::poplarctl
