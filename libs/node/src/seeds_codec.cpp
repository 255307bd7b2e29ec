#include "poplarport/node/detail/seeds_codec.hpp"

#include <chrono>  // milliseconds
#include <cstdint> // int64_t
#include <utility> // move

#include <nlohmann/json.hpp>

#include "poplarport/json_text/json_text.hpp"

namespace poplarport::node::detail
{

std::string encode_seeds(const membership::seeds_document& document)
{
    auto seeds = nlohmann::json::array();
    for (const auto& seed : document.seeds)
    {
        seeds.push_back({{"id", seed.id}, {"address", core::to_string(seed.peer_address)}});
    }
    const nlohmann::json value{{"seeds", std::move(seeds)},
                               {"lease_holder", document.lease_holder},
                               {"lease_end_ms", document.lease_end.time_since_epoch().count()}};
    return json_text::dump(value);
}

std::optional<membership::seeds_document> decode_seeds(const std::string& text)
{
    const auto value = json_text::parse(text);
    if (!value.is_object() || !value.contains("seeds") || !value["seeds"].is_array())
    {
        return std::nullopt;
    }
    membership::seeds_document document;
    for (const auto& entry : value["seeds"])
    {
        const bool is_seed = entry.is_object() && entry.contains("id") && entry["id"].is_string() &&
                             entry.contains("address") && entry["address"].is_string();
        const auto address =
            is_seed ? core::parse_socket_address(entry["address"].get_ref<const std::string&>()) : std::nullopt;
        if (address)
        {
            document.seeds.push_back({entry["id"].get<std::string>(), *address});
        }
    }
    if (value.contains("lease_holder") && value["lease_holder"].is_string())
    {
        document.lease_holder = value["lease_holder"].get<std::string>();
    }
    if (value.contains("lease_end_ms") && value["lease_end_ms"].is_number_integer())
    {
        document.lease_end =
            membership::wall_time{std::chrono::milliseconds{value["lease_end_ms"].get<std::int64_t>()}};
    }
    return document;
}

} // namespace poplarport::node::detail
