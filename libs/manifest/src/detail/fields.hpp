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

/// Each overload of `fields` declares every key of a type once, with its unit, bounds and default value. The TOML
/// reader, the JSON reader and the JSON writer are visitors, so that all three use the same declarations.
namespace poplarport::manifest::detail
{

using std::chrono::milliseconds;

inline constexpr std::int64_t max_count = 100'000;
inline constexpr std::int64_t max_rate = 10'000'000;
inline constexpr std::int64_t max_weight = 1'000;
inline constexpr std::int64_t max_per_mille = 1'000;
inline constexpr milliseconds max_duration{std::chrono::hours{1}};
inline constexpr std::uint64_t max_version = std::uint64_t{1} << 62U;
inline constexpr std::uint64_t kibibyte = 1024;
inline constexpr std::uint64_t mebibyte = kibibyte * kibibyte;

template <class Visitor>
void fields(Visitor& visitor, repeatable_rule& object)
{
    visitor.texts("methods", object.methods, method_rule(), 1);
    visitor.text("path_prefix", object.path_prefix, path_prefix_rule());
}

template <class Visitor>
void fields(Visitor& visitor, upstream_rules& object)
{
    visitor.integer("slots", object.slots, {1, max_count});
    visitor.integer("connection_limit", object.connection_limit, {1, max_count});
    visitor.integer("queue_length", object.queue_length, {0, max_count});
    visitor.time("default_deadline_ms", object.default_deadline, {milliseconds{1}, max_duration});
    visitor.time("greatest_deadline_ms", object.max_deadline, {milliseconds{1}, max_duration});
    visitor.time("cold_start_ramp_ms", object.cold_start_ramp, {milliseconds{0}, max_duration, milliseconds{0}});
    visitor.time("drain_time_ms", object.drain_time, {milliseconds{1}, max_duration});
    visitor.bytes("header_limit_bytes", object.header_limit_bytes, {kibibyte, mebibyte, 16 * kibibyte});
    visitor.bytes("body_limit_bytes", object.body_limit_bytes, {0, kibibyte * mebibyte, 8 * mebibyte});
    visitor.list("repeatable", object.repeatable);
    visitor.require(object.default_deadline <= object.max_deadline, "default_deadline_ms", errc::contradiction,
                    "a default deadline above greatest_deadline_ms", "at most greatest_deadline_ms");
    visitor.require(object.slots <= object.connection_limit, "slots", errc::contradiction,
                    "more slots than connection_limit allows",
                    "at most connection_limit, since a request needs a connection");
}

template <class Visitor>
void fields(Visitor& visitor, traffic_class& object)
{
    visitor.text("name", object.name, name_rule());
    visitor.integer("weight", object.weight, {1, max_weight});
    visitor.text("path_prefix", object.path_prefix, optional(path_prefix_rule()));
    visitor.text("header", object.header, optional(header_name_rule()));
    visitor.text("header_value", object.header_value, optional(header_value_rule()));
    const bool is_default = object.name == default_class_name;
    const bool has_path = !object.path_prefix.empty();
    const bool has_header = !object.header.empty();
    visitor.require(has_header == !object.header_value.empty(), "header", errc::contradiction,
                    "only one of header and header_value", "both or neither");
    visitor.require(is_default ? !has_path && !has_header : has_path != has_header, "name", errc::contradiction,
                    "a class with a wrong number of matching rules",
                    "either path_prefix or header and header_value; none of them for the class `default`");
}

template <class Visitor>
void fields(Visitor& visitor, tenant_limits& object)
{
    visitor.text("tenant", object.tenant, name_rule());
    visitor.integer("rate_per_second", object.rate_per_second, {1, max_rate});
    visitor.integer("burst", object.burst, {1, max_rate});
    visitor.integer("share_weight", object.share_weight, {1, max_weight, 1});
    visitor.integer("concurrency", object.concurrency, {1, max_count});
}

template <class Visitor>
void fields(Visitor& visitor, attempt_rules& object)
{
    visitor.integer("retry_budget_per_mille", object.retry_budget_per_mille, {0, max_per_mille, 100});
    visitor.time("hedge_delay_ms", object.hedge_delay, {milliseconds{0}, max_duration, milliseconds{0}});
}

template <class Visitor>
void fields(Visitor& visitor, measuring_rules& object)
{
    visitor.bytes("bytes_per_second", object.bytes_per_second, {0, mebibyte});
    visitor.integer("processor_time_per_mille", object.processor_time_per_mille, {0, max_per_mille});
}

template <class Visitor>
void fields(Visitor& visitor, service& object)
{
    visitor.text("name", object.name, name_rule());
    visitor.texts("hosts", object.hosts, host_rule(), 0);
    visitor.texts("calls", object.calls, name_rule(), 0);
    visitor.integer("tail_latency_weight_per_mille", object.tail_latency_weight_per_mille, {0, max_per_mille});
    visitor.table("upstream", object.upstream);
    visitor.table("attempts", object.attempts);
    visitor.table("measuring", object.measuring);
    visitor.list("classes", object.classes);
    visitor.list("tenants", object.tenants);
}

template <class Visitor>
void fields(Visitor& visitor, tenant& object)
{
    visitor.text("name", object.name, name_rule());
    std::vector<std::string> texts;
    for (const credential_hash& hash : object.credentials)
    {
        texts.push_back(to_string(hash));
    }
    visitor.texts("credentials", texts, credential_rule(), 1);
    visitor.require(texts.size() <= max_credentials, "credentials", errc::contradiction,
                    std::to_string(texts.size()) + " credentials",
                    "at most " + std::to_string(max_credentials) + ", which bounds the work for one request");
    object.credentials.clear();
    for (const std::string& text : texts)
    {
        object.credentials.push_back(parse_credential_hash(text).value_or(credential_hash{}));
    }
}

template <class Visitor>
void fields(Visitor& visitor, zone_cost& object)
{
    visitor.text("from", object.from, name_rule());
    visitor.text("to", object.to, name_rule());
    visitor.time("cost_us", object.cost, {std::chrono::microseconds{0}, std::chrono::seconds{1}});
    visitor.require(object.from != object.to, "to", errc::contradiction, "the same zone as `from`",
                    "another zone; the cost within a zone is zero");
}

[[nodiscard]] inline settings::text_rule change_id_rule()
{
    constexpr std::size_t max_change_id_length = 128;
    return {"a change id",
            [](std::string_view text)
            {
                return text.size() <= max_change_id_length &&
                       std::ranges::all_of(text, [](char character) { return character > ' ' && character <= '~'; });
            },
            ""};
}

template <class Visitor>
void fields(Visitor& visitor, recent_change& object)
{
    visitor.text("id", object.id, change_id_rule());
    visitor.bytes("base", object.base, {0, max_version});
}

} // namespace poplarport::manifest::detail
