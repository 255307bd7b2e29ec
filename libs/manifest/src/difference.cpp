#include "poplarport/manifest/difference.hpp"

#include <nlohmann/json.hpp>

namespace poplarport::manifest
{
namespace
{

using nlohmann::json;

/// Characters of `sha256:SALT:DIGEST` that a difference shows: enough to tell two salts apart.
constexpr std::size_t shown_credential_characters = 15;

/// @brief Replaces a list of objects by an object with their names as keys, so that an insertion is one difference.
void key_by_name(json& list, const char* name_key)
{
    json keyed = json::object();
    for (const json& item : list)
    {
        keyed[item.at(name_key).get<std::string>()] = item;
    }
    list = std::move(keyed);
}

/// @brief Returns the JSON form in which two documents are compared.
json comparable(const service_document& document)
{
    json node = to_json(document);
    node.erase("change_id");
    node.erase("recent_change_ids");
    for (json& tenant : node["tenants"])
    {
        for (json& credential : tenant["credentials"])
        {
            credential = credential.get<std::string>().substr(0, shown_credential_characters) + "...";
        }
    }
    key_by_name(node["tenants"], "name");
    key_by_name(node["service"]["tenants"], "tenant");
    return node;
}

/// @brief Returns the JSON text at a path; empty when the path does not exist.
std::string value_at(const json& node, const std::string& path)
{
    const json::json_pointer pointer{path};
    return node.contains(pointer) ? node.at(pointer).dump() : std::string{};
}

} // namespace

std::vector<difference> differences(const service_document& before, const service_document& after)
{
    const json old_form = comparable(before);
    const json new_form = comparable(after);
    std::vector<difference> result;
    for (const json& step : json::diff(old_form, new_form))
    {
        const auto path = step.at("path").get<std::string>();
        const bool is_added = step.at("op") == "add";
        result.push_back({path, is_added ? std::string{} : value_at(old_form, path),
                          step.contains("value") ? step.at("value").dump() : std::string{}});
    }
    return result;
}

} // namespace poplarport::manifest
