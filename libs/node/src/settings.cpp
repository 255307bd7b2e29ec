#include "poplarport/node/settings.hpp"

#include <algorithm>   // ranges::all_of
#include <string_view> // string_view

namespace poplarport::node
{

namespace
{

constexpr std::size_t min_cluster_secret_length = 16;
constexpr std::size_t max_name_length = 64;

bool is_name(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_.";
    return !text.empty() && text.size() <= max_name_length && text.find_first_not_of(allowed) == std::string_view::npos;
}

const settings::text_rule& name_rule()
{
    static const settings::text_rule rule{"up to 64 lower-case letters, digits, '-', '_' and '.'", is_name, {}};
    return rule;
}

} // namespace

const settings::text_rule& cluster_secret_rule()
{
    static const settings::text_rule rule{
        "at least 16 printable characters without spaces",
        [](std::string_view text)
        {
            return text.size() >= min_cluster_secret_length &&
                   std::ranges::all_of(text, [](char character) { return character > ' ' && character < '\x7f'; });
        },
        {}};
    return rule;
}

node_settings read_settings(const settings::document& document)
{
    constexpr std::int64_t min_descriptors = 256;
    constexpr std::int64_t max_descriptors = 1'000'000;
    constexpr std::int64_t default_descriptors = 4096;
    const auto root = document.root();
    node_settings result;
    const auto node = root.child("node");
    result.id = node.text("id", name_rule());
    result.service = node.text("service", name_rule());
    result.availability_zone = node.text("availability_zone", name_rule());
    result.cluster_secret = node.text("cluster_secret", cluster_secret_rule());
    const auto listen = root.child("listen");
    result.callers = listen.address("callers");
    result.peers = listen.address("peers");
    result.peer_sessions = listen.address("peer_sessions", result.peers);
    result.administration = listen.address("administration");
    result.upstream = root.child("upstream").address("address");
    const auto platform = root.child("platform");
    result.platform = platform.address("address");
    result.seeds = platform.addresses("seeds");
    const auto limits = root.child("limits");
    result.descriptors = static_cast<std::size_t>(
        limits.integer("descriptors", {min_descriptors, max_descriptors, default_descriptors}));
    result.log_level = root.child("log").choice("level", {"debug", "info", "warning", "error"}, "info");
    return result;
}

} // namespace poplarport::node
