#include "poplarport/manifest/difference.hpp"

#include <nlohmann/json.hpp>

namespace poplarport::manifest
{
namespace
{

using nlohmann::json;

/// Number of characters of `sha256:SALT:DIGEST` that a difference shows; sufficient to distinguish two salts.
constexpr std::size_t shown_credential_length = 15;

/// @brief Converts a list of objects to an object keyed by name, so that an insertion gives a single difference.
void key_by_name(json& list, const char* name_key)
{
    json elements_by_name = json::object();
    for (const json& element : list)
    {
        elements_by_name[element.at(name_key).get<std::string>()] = element;
    }
    list = std::move(elements_by_name);
}

/// @brief Returns the JSON form used for comparison: without change ids, with truncated digests.
json to_comparable_json(const service_document& document)
{
    json node = to_json(document);
    node.erase("change_id");
    node.erase("recent_changes");
    for (json& tenant : node["tenants"])
    {
        for (json& credential : tenant["credentials"])
        {
            credential = credential.get<std::string>().substr(0, shown_credential_length) + "...";
        }
    }
    key_by_name(node["tenants"], "name");
    key_by_name(node["service"]["tenants"], "tenant");
    return node;
}

/// @return the JSON text at a path, or an empty string if the path does not exist
std::string text_at(const json& node, const std::string& path)
{
    const json::json_pointer pointer{path};
    return node.contains(pointer) ? node.at(pointer).dump() : std::string{};
}

} // namespace

std::vector<difference> differences(const service_document& before, const service_document& after)
{
    const json old_json = to_comparable_json(before);
    const json new_json = to_comparable_json(after);
    std::vector<difference> result;
    for (const json& operation : json::diff(old_json, new_json))
    {
        const auto path = operation.at("path").get<std::string>();
        const bool is_added = operation.at("op") == "add";
        result.push_back({path, is_added ? std::string{} : text_at(old_json, path),
                          operation.contains("value") ? operation.at("value").dump() : std::string{}});
    }
    return result;
}

} // namespace poplarport::manifest
