#include <ostream> // ostream

#include <nlohmann/json.hpp>

#include "commands.hpp"
#include "platform_client.hpp"

namespace poplarport::poplarctl
{
namespace
{

using nlohmann::json;

constexpr unsigned min_error_status = 400;

/// @brief Reads `/status` of a node; if that fails, the row contains the error instead.
json read_node(platform_client& client, const core::socket_address& node)
{
    const control::reply reply = client.call(node, {.path = "/status"});
    json row{{"node", core::to_string(node)}};
    if (!reply.response.has_value())
    {
        row["error"] = reply.error.message();
        return row;
    }
    json status = json::parse(reply.response->body, nullptr, false);
    if (reply.response->status != control::status::ok || status.is_discarded())
    {
        row["error"] = "answer with status " + std::to_string(reply.response->status);
        return row;
    }
    row["status"] = std::move(status);
    return row;
}

void write_status(const json& result, const streams& io)
{
    std::vector<std::vector<std::string>> table{{"SERVICE", "VERSION", "CHANGE"}};
    for (const json& row : result["services"])
    {
        table.push_back({row["service"], row["version"].dump(), row["change_id"]});
    }
    write_table(io.out, table);
    for (const json& row : result["nodes"])
    {
        io.out << "\nnode " << row["node"].get<std::string>() << "\n"
               << (row.contains("error") ? row["error"].get<std::string>() : row["status"].dump(2)) << "\n";
    }
}

} // namespace

exit_status show_status(const command_options& options, const streams& io)
{
    platform_client client{*options.platform};
    const object_read root = client.read("root");
    if (!root.is_successful)
    {
        io.err << "poplarctl: root: " << root.error << "\n";
    }
    json result{{"services", json::array()}, {"nodes", json::array()}};
    const json names = json::parse(root.value.value_or("{}"), nullptr, false);
    for (const json& name : names.is_object() ? names.value("services", json::array()) : json::array())
    {
        const object_read read = client.read("services/" + name.get<std::string>());
        const json document = json::parse(read.value.value_or("{}"), nullptr, false);
        const std::string change = document.is_object() ? document.value("change_id", std::string{}) : std::string{};
        result["services"].push_back({{"service", name}, {"version", read.version}, {"change_id", change}});
    }
    bool are_nodes_reachable = true;
    for (const core::socket_address& node : options.nodes)
    {
        result["nodes"].push_back(read_node(client, node));
        are_nodes_reachable = are_nodes_reachable && !result["nodes"].back().contains("error");
    }
    if (options.output == output_format::json)
    {
        io.out << result.dump(2) << "\n";
    }
    else
    {
        write_status(result, io);
    }
    return root.is_successful && are_nodes_reachable ? exit_status::ok : exit_status::unavailable;
}

exit_status drain(const command_options& options, const std::string& node, const streams& io)
{
    const auto address = core::parse_socket_address(node).value_or(core::socket_address{});
    platform_client client{address};
    const control::reply reply = client.call(address, {.method = "POST", .path = "/drain"});
    const bool is_accepted = reply.response.has_value() && reply.response->status < min_error_status;
    if (!is_accepted)
    {
        const std::string text = reply.response.has_value()
                                     ? "answer with status " + std::to_string(reply.response->status)
                                     : reply.error.message();
        io.err << "poplarctl: " << node << ": " << text << "\n";
        // Draining is idempotent, so the command can be repeated without reading back an unknown result.
        return exit_status::unavailable;
    }
    if (options.output == output_format::json)
    {
        io.out << json{{"node", node}, {"draining", true}}.dump() << "\n";
        return exit_status::ok;
    }
    io.out << node << ": draining\n";
    return exit_status::ok;
}

} // namespace poplarport::poplarctl
