#pragma once

#include <algorithm> // ranges::all_of
#include <chrono>    // milliseconds
#include <cstdint>   // int64_t, uint64_t
#include <string>    // string
#include <vector>    // vector

#include "detail/text_rules.hpp"
#include "poplarport/manifest/errors.hpp"
#include "poplarport/manifest/manifest_content.hpp"
#include "poplarport/manifest/service_document.hpp"

/// The functions `fields` name each key of a part once, with its unit, bounds and fallback. The TOML reader, the JSON
/// reader and the JSON writer are visitors of them, so that the three cannot disagree.
namespace poplarport::manifest::detail
{

using std::chrono::milliseconds;

inline constexpr std::int64_t greatest_count = 100'000;
inline constexpr std::int64_t greatest_rate = 10'000'000;
inline constexpr std::int64_t greatest_weight = 1'000;
inline constexpr std::int64_t whole_per_mille = 1'000;
inline constexpr milliseconds greatest_time{std::chrono::hours{1}};
inline constexpr std::uint64_t greatest_version = std::uint64_t{1} << 62U;
inline constexpr std::uint64_t kibibyte = 1024;
inline constexpr std::uint64_t mebibyte = kibibyte * kibibyte;

template <class Visitor>
void fields(Visitor& visitor, repeatable_rule& part)
{
    visitor.texts("methods", part.methods, method_rule(), 1);
    visitor.text("path_prefix", part.path_prefix, path_prefix_rule());
}

template <class Visitor>
void fields(Visitor& visitor, upstream_rules& part)
{
    visitor.integer("slots", part.slots, {1, greatest_count});
    visitor.integer("connection_limit", part.connection_limit, {1, greatest_count});
    visitor.integer("queue_length", part.queue_length, {0, greatest_count});
    visitor.time("default_deadline_ms", part.default_deadline, {milliseconds{1}, greatest_time});
    visitor.time("greatest_deadline_ms", part.max_deadline, {milliseconds{1}, greatest_time});
    visitor.time("cold_start_ramp_ms", part.cold_start_ramp, {milliseconds{0}, greatest_time, milliseconds{0}});
    visitor.time("drain_time_ms", part.drain_time, {milliseconds{1}, greatest_time});
    visitor.bytes("header_limit_bytes", part.header_limit_bytes, {kibibyte, mebibyte, 16 * kibibyte});
    visitor.bytes("body_limit_bytes", part.body_limit_bytes, {0, kibibyte * mebibyte, 8 * mebibyte});
    visitor.list("repeatable", part.repeatable);
    visitor.require(part.default_deadline <= part.max_deadline, "default_deadline_ms", errc::contradiction,
                    "a default above greatest_deadline_ms", "at most greatest_deadline_ms");
    visitor.require(part.slots <= part.connection_limit, "slots", errc::contradiction,
                    "more slots than connection_limit", "at most connection_limit, since a request needs a connection");
}

template <class Visitor>
void fields(Visitor& visitor, traffic_class& part)
{
    visitor.text("name", part.name, name_rule());
    visitor.integer("weight", part.weight, {1, greatest_weight});
    visitor.text("path_prefix", part.path_prefix, optional(path_prefix_rule()));
    visitor.text("header", part.header, optional(header_name_rule()));
    visitor.text("header_value", part.header_value, optional(header_value_rule()));
    const bool is_default = part.name == default_class_name;
    const bool has_path = !part.path_prefix.empty();
    const bool has_header = !part.header.empty();
    visitor.require(has_header == !part.header_value.empty(), "header", errc::contradiction,
                    "header or header_value alone", "both or neither");
    visitor.require(is_default ? !has_path && !has_header : has_path != has_header, "name", errc::contradiction,
                    "a class with the wrong number of rules",
                    "either path_prefix or header and header_value; none of them for the class `default`");
}

template <class Visitor>
void fields(Visitor& visitor, tenant_limits& part)
{
    visitor.text("tenant", part.tenant, name_rule());
    visitor.integer("rate_per_second", part.rate_per_second, {1, greatest_rate});
    visitor.integer("burst", part.burst, {1, greatest_rate});
    visitor.integer("share_weight", part.share_weight, {1, greatest_weight, 1});
    visitor.integer("concurrency", part.concurrency, {1, greatest_count});
}

template <class Visitor>
void fields(Visitor& visitor, attempt_rules& part)
{
    visitor.integer("retry_budget_per_mille", part.retry_budget_per_mille, {0, whole_per_mille, 100});
    visitor.time("hedge_delay_ms", part.hedge_delay, {milliseconds{0}, greatest_time, milliseconds{0}});
}

template <class Visitor>
void fields(Visitor& visitor, measuring_rules& part)
{
    visitor.bytes("bytes_per_second", part.bytes_per_second, {0, mebibyte});
    visitor.integer("processor_time_per_mille", part.processor_time_per_mille, {0, whole_per_mille});
}

template <class Visitor>
void fields(Visitor& visitor, service& part)
{
    visitor.text("name", part.name, name_rule());
    visitor.texts("hosts", part.hosts, host_rule(), 0);
    visitor.texts("calls", part.calls, name_rule(), 0);
    visitor.integer("tail_latency_weight_per_mille", part.tail_latency_weight_per_mille, {0, whole_per_mille});
    visitor.table("upstream", part.upstream);
    visitor.table("attempts", part.attempts);
    visitor.table("measuring", part.measuring);
    visitor.list("classes", part.classes);
    visitor.list("tenants", part.tenants);
}

template <class Visitor>
void fields(Visitor& visitor, tenant& part)
{
    visitor.text("name", part.name, name_rule());
    std::vector<std::string> texts;
    for (const credential_hash& hash : part.credentials)
    {
        texts.push_back(to_string(hash));
    }
    visitor.texts("credentials", texts, credential_rule(), 1);
    visitor.require(texts.size() <= max_credentials, "credentials", errc::contradiction,
                    std::to_string(texts.size()) + " credentials",
                    "at most " + std::to_string(max_credentials) + ", which bounds the work for one request");
    part.credentials.clear();
    for (const std::string& text : texts)
    {
        part.credentials.push_back(parse_credential_hash(text).value_or(credential_hash{}));
    }
}

template <class Visitor>
void fields(Visitor& visitor, zone_cost& part)
{
    visitor.text("from", part.from, name_rule());
    visitor.text("to", part.to, name_rule());
    visitor.time("cost_us", part.cost, {std::chrono::microseconds{0}, std::chrono::seconds{1}});
    visitor.require(part.from != part.to, "to", errc::contradiction, "the same zone twice",
                    "another zone; the cost within a zone is zero");
}

[[nodiscard]] inline settings::text_rule change_id_rule()
{
    constexpr std::size_t longest_change_id = 128;
    return {"a change id",
            [](std::string_view text)
            {
                return text.size() <= longest_change_id &&
                       std::ranges::all_of(text, [](char letter) { return letter > ' ' && letter <= '~'; });
            },
            ""};
}

template <class Visitor>
void fields(Visitor& visitor, recent_change& part)
{
    visitor.text("id", part.id, change_id_rule());
    visitor.bytes("base", part.base, {0, greatest_version});
}

} // namespace poplarport::manifest::detail
