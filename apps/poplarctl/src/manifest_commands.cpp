#include <algorithm> // ranges::find
#include <istream>   // istream, getline
#include <ostream>   // ostream

#include <nlohmann/json.hpp>

#include "commands.hpp"
#include "platform_client.hpp"
#include "poplarport/manifest/credential.hpp"
#include "poplarport/manifest/difference.hpp"
#include "poplarport/manifest/errors.hpp"
#include "poplarport/manifest/reader.hpp"

namespace poplarport::poplarctl
{
namespace
{

using nlohmann::json;

/// @brief Comparison of the stored document of a service with a manifest.
struct service_comparison
{
    std::string service;
    std::string state; ///< `new`, `changed`, `unchanged`, `unreadable` or `not in manifest`
    core::version version{0};
    std::vector<manifest::difference> differences{};
};

json to_json(const settings::fault& fault)
{
    return {{"file", fault.file},         {"line", fault.line},   {"key", fault.key},
            {"code", fault.code.value()}, {"found", fault.found}, {"allowed", fault.allowed}};
}

/// @brief Reads a manifest; reports its faults and returns nothing if it is invalid.
std::optional<manifest::manifest_content> read_manifest(const command_options& options, const std::string& file,
                                                        const streams& io)
{
    manifest::read_result read = manifest::read_file(file);
    if (read.faults.empty())
    {
        return std::move(read.content);
    }
    if (options.output != output_format::json)
    {
        io.err << settings::to_string(read.faults);
        return std::nullopt;
    }
    json faults = json::array();
    for (const settings::fault& fault : read.faults)
    {
        faults.push_back(to_json(fault));
    }
    io.out << json{{"valid", false}, {"faults", faults}}.dump(2) << "\n";
    return std::nullopt;
}

service_comparison compare(const manifest::service_document& new_document, const object_read& read)
{
    service_comparison comparison{new_document.rules.name, "new", read.version};
    if (!read.value.has_value())
    {
        return comparison;
    }
    std::error_code error;
    const auto current_document = manifest::parse_document(*read.value, error);
    if (!current_document.has_value())
    {
        comparison.state = "unreadable";
        return comparison;
    }
    comparison.differences = manifest::differences(*current_document, new_document);
    comparison.state = comparison.differences.empty() ? "unchanged" : "changed";
    return comparison;
}

void write_rows(const command_options& options, const std::vector<service_comparison>& rows, const streams& io)
{
    if (options.output == output_format::json)
    {
        json list = json::array();
        for (const service_comparison& row : rows)
        {
            json changes = json::array();
            for (const manifest::difference& change : row.differences)
            {
                changes.push_back({{"path", change.path}, {"before", change.before}, {"after", change.after}});
            }
            list.push_back({{"service", row.service},
                            {"state", row.state},
                            {"version", row.version},
                            {"differences", std::move(changes)}});
        }
        io.out << json{{"services", std::move(list)}}.dump(2) << "\n";
        return;
    }
    std::vector<std::vector<std::string>> table{{"SERVICE", "STATE", "VERSION", "PATH", "BEFORE", "AFTER"}};
    for (const service_comparison& row : rows)
    {
        table.push_back({row.service, row.state, std::to_string(row.version), "", "", ""});
        for (const manifest::difference& change : row.differences)
        {
            table.push_back({row.service, "", "", change.path, change.before, change.after});
        }
    }
    write_table(io.out, table);
}

} // namespace

exit_status check(const command_options& options, const std::string& file, const streams& io)
{
    const auto content = read_manifest(options, file, io);
    if (!content.has_value())
    {
        return exit_status::bad_data;
    }
    const json summary{{"valid", true}, {"services", content->services.size()}, {"tenants", content->tenants.size()}};
    if (options.output == output_format::json)
    {
        io.out << summary.dump(2) << "\n";
        return exit_status::ok;
    }
    io.out << file << ": valid, " << summary["services"] << " services, " << summary["tenants"] << " tenants\n";
    return exit_status::ok;
}

exit_status diff(const command_options& options, const std::string& file, const streams& io)
{
    const auto content = read_manifest(options, file, io);
    if (!content.has_value())
    {
        return exit_status::bad_data;
    }
    platform_client client{*options.platform};
    std::vector<service_comparison> rows;
    for (const manifest::service& rules : content->services)
    {
        const object_read read = client.read("services/" + rules.name);
        if (!read.is_successful)
        {
            io.err << "poplarctl: services/" << rules.name << ": " << read.error << "\n";
            return exit_status::unavailable;
        }
        rows.push_back(compare(make_document(*content, rules), read));
    }
    const object_read root = client.read("root");
    const json names = json::parse(root.value.value_or("{}"), nullptr, false);
    for (const json& entry : names.is_object() ? names.value("services", json::array()) : json::array())
    {
        const std::string name = entry.is_string() ? entry.get<std::string>() : std::string{};
        const auto position = std::ranges::find(content->services, name, &manifest::service::name);
        if (position == content->services.end())
        {
            rows.push_back({name, "not in manifest", 0});
        }
    }
    write_rows(options, rows, io);
    return exit_status::ok;
}

exit_status hash_secret(const command_options& options, const streams& io)
{
    std::string secret;
    std::getline(io.in, secret);
    std::error_code error;
    const auto hash = manifest::hash_secret(secret, error);
    if (!hash.has_value())
    {
        io.err << "poplarctl: " << error.message() << " (manifest " << error.value() << ")\n";
        return error == std::error_code{manifest::errc::weak_secret} ? exit_status::bad_data : exit_status::internal;
    }
    const std::string text = to_string(*hash);
    io.out << (options.output == output_format::json ? json{{"credential", text}}.dump() : text) << "\n";
    return exit_status::ok;
}

} // namespace poplarport::poplarctl
