#include "poplarport/mesh/settings.hpp"

#include <algorithm>   // ranges::all_of
#include <string_view> // string_view

#include "poplarport/node/settings.hpp"

namespace poplarport::mesh
{

namespace
{

constexpr std::size_t max_name_length = 128;

bool is_printable(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) { return character > ' ' && character < '\x7f'; });
}

const settings::text_rule& name_rule()
{
    static const settings::text_rule rule{"up to 128 printable characters without spaces and commas",
                                          [](std::string_view text)
                                          {
                                              return !text.empty() && text.size() <= max_name_length &&
                                                     is_printable(text) && text.find(',') == std::string_view::npos;
                                          },
                                          {}};
    return rule;
}

settings::range<std::chrono::milliseconds> duration_range(std::chrono::milliseconds max)
{
    return {std::chrono::milliseconds{1}, max, std::nullopt};
}

} // namespace

mesh_settings read_settings(const settings::document& document)
{
    constexpr std::int64_t min_descriptors = 256;
    constexpr std::int64_t max_descriptors = 1'000'000;
    constexpr std::int64_t default_descriptors = 4096;
    constexpr std::int64_t max_reserve = 1'000'000;
    constexpr std::chrono::minutes max_duration{10};
    const auto root = document.root();
    mesh_settings result;
    const auto node = root.child("node");
    result.id = node.text("id", name_rule());
    result.service = node.text("service", name_rule());
    result.availability_zone = node.text("availability_zone", name_rule());
    result.cluster_secret = node.text("cluster_secret", node::cluster_secret_rule());
    result.is_first_start = node.boolean("first_start", false);
    const auto evacuation = root.child("evacuation");
    result.watches_evacuations = evacuation.boolean("watch", false);
    result.zones = evacuation.texts("zones", name_rule());
    const auto listen = root.child("listen");
    result.listen = {listen.address("callers"), listen.address("peers"), listen.address("registration"),
                     listen.address("readiness"), listen.address("metrics")};
    const auto upstream = root.child("upstream");
    result.upstream = upstream.address("address");
    result.drain_limit = upstream.duration("drain_limit", duration_range(max_duration));
    result.store = root.child("store").address("address");
    const auto retry = root.child("retry");
    result.retry.ratio = retry.number("ratio", {0.0, 1.0});
    result.retry.reserve = static_cast<std::uint64_t>(retry.integer("reserve", {0, max_reserve}));
    result.retry.window = retry.duration("window", duration_range(max_duration));
    constexpr double max_rate_factor = 100.0;
    constexpr double max_cold_reserve = 10'000.0;
    const auto cold_start = root.child("cold_start");
    result.cold_start.rate_factor = cold_start.number("rate_factor", {1.0, max_rate_factor, 1.0});
    result.cold_start.reserve = cold_start.number("reserve", {0.0, max_cold_reserve, 0.0});
    const auto limits = root.child("limits");
    result.stop_limit = limits.duration("stop", duration_range(max_duration));
    result.descriptors = static_cast<std::size_t>(
        limits.integer("descriptors", {min_descriptors, max_descriptors, default_descriptors}));
    result.log_level = root.child("log").choice("level", {"debug", "info", "warning", "error"}, "info");
    return result;
}

} // namespace poplarport::mesh
