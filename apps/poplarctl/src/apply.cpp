#include <algorithm> // ranges::all_of
#include <ostream>   // ostream
#include <random>    // mt19937_64, random_device
#include <set>       // set
#include <variant>   // get_if

#include <nlohmann/json.hpp>

#include "commands.hpp"
#include "platform_client.hpp"
#include "poplarport/configuration/apply_operation.hpp"
#include "poplarport/manifest/reader.hpp"
#include "poplarport/manifest/service_document.hpp"

namespace poplarport::poplarctl
{
namespace
{

using nlohmann::json;

/// @brief Result of updating one object.
struct object_result
{
    std::string object;
    std::string result; ///< `applied`, `unchanged`, `conflict`, `undetermined` or `unavailable`
    core::version version{0};
    std::string conflicting_change; ///< on a conflict: id of the change that was applied first, or empty
};

/// @brief Splits a stored value into its content and its recent changes.
configuration::stored_document parse_stored_document(const std::string& value)
{
    json node = json::parse(value, nullptr, false);
    if (!node.is_object())
    {
        return {value, {}};
    }
    configuration::stored_document document;
    for (const json& change : node.value("recent_changes", json::array()))
    {
        if (change.is_object() && change.value("id", json{}).is_string() &&
            change.value("base", json{}).is_number_unsigned())
        {
            document.recent_changes.push_back({change["id"], change["base"]});
        }
    }
    node.erase("recent_changes");
    node.erase("change_id");
    document.content = node.dump();
    return document;
}

/// @brief Combines content, recent changes and change id into the value to store.
std::string to_stored_value(const configuration::stored_document& document, const std::string& change_id)
{
    json node = json::parse(document.content);
    node["change_id"] = change_id;
    json changes = json::array();
    for (const auto& change : document.recent_changes)
    {
        changes.push_back({{"id", change.id}, {"base", change.base}});
    }
    node["recent_changes"] = std::move(changes);
    return node.dump();
}

std::string new_change_id()
{
    constexpr int word_count = 4;
    std::random_device random_source;
    std::string id = "change";
    for (int index = 0; index < word_count; ++index)
    {
        id += "-" + std::to_string(random_source());
    }
    return id;
}

/// @brief Performs the conditional update of one object.
class object_update
{
  public:
    using content_function = std::function<std::string(const std::optional<std::string>& current_content)>;

    object_update(platform_client& platform, std::string object, std::string update_id, core::time_point time_limit)
        : client(&platform), key(std::move(object)), change_id(std::move(update_id)), deadline(time_limit)
    {
    }

    /// @param[in] base    version on which the operator based the change, or nothing
    /// @param[in] content returns the new content for the current content
    object_result run(std::optional<core::version> base, const content_function& content)
    {
        const auto edit =
            [this, &content](const configuration::read_result& read) -> std::variant<std::string, std::error_code>
        {
            const auto current_content = read.document ? std::optional{read.document->content} : std::nullopt;
            std::string new_content = content(current_content);
            if (current_content == new_content)
            {
                this->is_unchanged = true;
                return std::make_error_code(std::errc::operation_canceled);
            }
            return new_content;
        };
        auto builder = configuration::apply_operation::builder{};
        builder.change(this->change_id).edit(edit).deadline(this->deadline);
        if (base.has_value())
        {
            builder.based_on(*base);
        }
        auto operation = builder.build();
        auto action = operation.start(core::clock::now());
        while (!operation.result().has_value())
        {
            action = this->perform(operation, action);
        }
        return this->describe(*operation.result());
    }

  private:
    configuration::apply_action perform(configuration::apply_operation& operation,
                                        const configuration::apply_action& action)
    {
        if (const auto* pause = std::get_if<configuration::wait_until>(&action))
        {
            this->client->wait_until(pause->time);
            return operation.tick(core::clock::now());
        }
        if (const auto* write = std::get_if<configuration::write_object>(&action))
        {
            return this->write(operation, *write);
        }
        const object_read read = this->client->read(this->key);
        if (!read.is_successful)
        {
            return operation.on_read_failed(core::clock::now(), this->random_engine);
        }
        return operation.on_read(
            {read.version, read.value ? std::optional{parse_stored_document(*read.value)} : std::nullopt});
    }

    configuration::apply_action write(configuration::apply_operation& operation,
                                      const configuration::write_object& action)
    {
        const object_write result =
            this->client->write(this->key, to_stored_value(action.document, this->change_id), action.expected_version);
        switch (result.result)
        {
        case object_write::kind::written:
            return operation.on_written(result.version);
        case object_write::kind::precondition_failed:
            return operation.on_precondition_failed();
        case object_write::kind::undetermined:
            break;
        }
        return operation.on_write_lost(core::clock::now(), this->random_engine);
    }

    [[nodiscard]] object_result describe(const configuration::apply_finished& finished) const
    {
        object_result row{this->key, "unavailable", finished.version,
                          finished.conflicting_change ? finished.conflicting_change->id : ""};
        if (this->is_unchanged)
        {
            row.result = "unchanged";
        }
        else if (!finished.code)
        {
            row.result = "applied";
        }
        else if (finished.code == configuration::error::conflict)
        {
            row.result = "conflict";
        }
        else if (finished.code == configuration::error::restored)
        {
            row.result = "restored";
        }
        else if (finished.code == configuration::error::undetermined)
        {
            row.result = "undetermined";
        }
        return row;
    }

    platform_client* client;
    std::string key;
    std::string change_id;
    core::time_point deadline;
    std::mt19937_64 random_engine{std::random_device{}()};
    bool is_unchanged{false};
};

/// @brief Adds service names to the content of the object `root`; names from other manifests are preserved.
std::string add_service_names(const std::optional<std::string>& current_content,
                              const std::vector<manifest::service>& services)
{
    const json node = json::parse(current_content.value_or("{}"), nullptr, false);
    std::set<std::string> names;
    for (const json& name : node.is_object() ? node.value("services", json::array()) : json::array())
    {
        names.insert(name.is_string() ? name.get<std::string>() : std::string{});
    }
    for (const manifest::service& rules : services)
    {
        names.insert(rules.name);
    }
    return json{{"services", names}}.dump();
}

void report(const command_options& options, const std::string& change_id, const std::vector<object_result>& rows,
            const streams& io)
{
    if (options.output == output_format::json)
    {
        json list = json::array();
        for (const object_result& row : rows)
        {
            list.push_back({{"object", row.object}, {"result", row.result}, {"version", row.version}});
            if (!row.conflicting_change.empty())
            {
                list.back()["opponent"] = row.conflicting_change;
            }
        }
        io.out << json{{"change_id", change_id}, {"objects", list}}.dump(2) << "\n";
        return;
    }
    std::vector<std::vector<std::string>> table{{"OBJECT", "RESULT", "VERSION", "OPPONENT"}};
    for (const object_result& row : rows)
    {
        table.push_back({row.object, row.result, std::to_string(row.version), row.conflicting_change});
    }
    io.out << "change " << change_id << "\n";
    write_table(io.out, table);
}

exit_status report_failure(const std::vector<object_result>& rows, const streams& io)
{
    const auto has = [&rows](const char* result)
    {
        return std::ranges::count(rows, result, &object_result::result) > 0;
    };
    if (has("conflict"))
    {
        io.err << "poplarctl: another change was applied first; compare with `poplarctl diff` and apply again\n";
        return exit_status::temporary_failure;
    }
    if (has("restored"))
    {
        io.err
            << "poplarctl: the platform came back from an older copy; the change is not stored, nor what was written "
               "since the copy. The version shown is stored; compare with `poplarctl diff` and apply again\n";
        return exit_status::temporary_failure;
    }
    if (has("undetermined"))
    {
        io.err
            << "poplarctl: unable to determine whether the change took effect; apply again with the same --change-id\n";
        return exit_status::temporary_failure;
    }
    if (has("unavailable"))
    {
        io.err << "poplarctl: the platform did not respond in time; objects reported as unavailable were not changed\n";
        return exit_status::unavailable;
    }
    return exit_status::ok;
}

} // namespace

exit_status apply(const command_options& options, const std::string& file, const streams& io)
{
    const manifest::read_result read = manifest::read_file(file);
    if (!read.faults.empty())
    {
        io.err << settings::to_string(read.faults);
        return exit_status::bad_data;
    }
    const std::string change_id = options.change_id.empty() ? new_change_id() : options.change_id;
    const auto deadline = core::clock::now() + options.timeout;
    platform_client client{*options.platform};
    std::vector<object_result> rows;
    for (const manifest::service& rules : read.content.services)
    {
        json content = manifest::to_json(make_document(read.content, rules));
        content.erase("change_id");
        content.erase("recent_changes");
        const auto base = options.based_on.find(rules.name);
        std::optional<core::version> expected;
        if (base != options.based_on.end())
        {
            expected = base->second;
        }
        object_update service_update{client, "services/" + rules.name, change_id, deadline};
        rows.push_back(service_update.run(expected, [&content](const auto&) { return content.dump(); }));
    }
    // The services are updated before the list, so that the list never contains a service without a document.
    const bool are_services_applied = std::ranges::all_of(
        rows, [](const object_result& row) { return row.result == "applied" || row.result == "unchanged"; });
    if (are_services_applied)
    {
        object_update root_update{client, "root", change_id, deadline};
        rows.push_back(root_update.run(std::nullopt, [&read](const auto& current_content)
                                       { return add_service_names(current_content, read.content.services); }));
    }
    report(options, change_id, rows, io);
    return report_failure(rows, io);
}

} // namespace poplarport::poplarctl
