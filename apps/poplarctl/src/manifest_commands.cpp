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

/// @brief State of a service on the platform compared with a manifest.
struct compared
{
    std::string service;
    std::string state; ///< `new`, `changed`, `unchanged`, `unreadable` or `not in manifest`
    core::version version{0};
    std::vector<manifest::difference> differences{};
};

json to_json(const settings::fault& value)
{
    return {{"file", value.file},         {"line", value.line},   {"key", value.key},
            {"code", value.code.value()}, {"found", value.found}, {"allowed", value.allowed}};
}

/// @brief Reads a manifest and reports its faults.
std::optional<manifest::manifest_content> read_manifest(const options& chosen, const std::string& file,
                                                        const streams& io)
{
    manifest::read_result read = manifest::read_file(file);
    if (read.faults.empty())
    {
        return std::move(read.content);
    }
    if (chosen.output != output_form::json)
    {
        io.err << settings::to_string(read.faults);
        return std::nullopt;
    }
    json faults = json::array();
    for (const settings::fault& value : read.faults)
    {
        faults.push_back(to_json(value));
    }
    io.out << json{{"valid", false}, {"faults", faults}}.dump(2) << "\n";
    return std::nullopt;
}

compared compare(const manifest::service_document& wanted, const object_read& read)
{
    compared row{wanted.rules.name, "new", read.version};
    if (!read.value.has_value())
    {
        return row;
    }
    std::error_code error;
    const auto present = manifest::parse_document(*read.value, error);
    if (!present.has_value())
    {
        row.state = "unreadable";
        return row;
    }
    row.differences = manifest::differences(*present, wanted);
    row.state = row.differences.empty() ? "unchanged" : "changed";
    return row;
}

void write_rows(const options& chosen, const std::vector<compared>& rows, const streams& io)
{
    if (chosen.output == output_form::json)
    {
        json list = json::array();
        for (const compared& row : rows)
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
    for (const compared& row : rows)
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

exit_status check(const options& chosen, const std::string& file, const streams& io)
{
    const auto content = read_manifest(chosen, file, io);
    if (!content.has_value())
    {
        return exit_status::bad_data;
    }
    const json summary{{"valid", true}, {"services", content->services.size()}, {"tenants", content->tenants.size()}};
    if (chosen.output == output_form::json)
    {
        io.out << summary.dump(2) << "\n";
        return exit_status::ok;
    }
    io.out << file << ": valid, " << summary["services"] << " services, " << summary["tenants"] << " tenants\n";
    return exit_status::ok;
}

exit_status diff(const options& chosen, const std::string& file, const streams& io)
{
    const auto content = read_manifest(chosen, file, io);
    if (!content.has_value())
    {
        return exit_status::bad_data;
    }
    platform_client client{*chosen.platform};
    std::vector<compared> rows;
    for (const manifest::service& rules : content->services)
    {
        const object_read read = client.read("services/" + rules.name);
        if (!read.is_known)
        {
            io.err << "poplarctl: services/" << rules.name << ": " << read.fault << "\n";
            return exit_status::unavailable;
        }
        rows.push_back(compare(make_document(*content, rules), read));
    }
    const object_read root = client.read("root");
    const json names = json::parse(root.value.value_or("{}"), nullptr, false);
    for (const json& entry : names.is_object() ? names.value("services", json::array()) : json::array())
    {
        const std::string name = entry.is_string() ? entry.get<std::string>() : std::string{};
        const auto known = std::ranges::find(content->services, name, &manifest::service::name);
        if (known == content->services.end())
        {
            rows.push_back({name, "not in manifest", 0});
        }
    }
    write_rows(chosen, rows, io);
    return exit_status::ok;
}

exit_status hash_secret(const options& chosen, const streams& io)
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
    io.out << (chosen.output == output_form::json ? json{{"credential", text}}.dump() : text) << "\n";
    return exit_status::ok;
}

} // namespace poplarport::poplarctl
