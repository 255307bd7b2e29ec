#include "poplarport/settings/table.hpp"

#include <algorithm> // ranges::find
#include <cassert>   // assert
#include <limits>    // numeric_limits
#include <sstream>   // ostringstream
#include <utility>   // move

#include "detail/state.hpp"
#include "poplarport/settings/errors.hpp"

namespace poplarport::settings
{
namespace
{

constexpr std::size_t max_quoted_length = 60;

/// @brief Describes a value for a fault; long values are truncated.
std::string describe(const toml::node& value)
{
    if (value.is_table())
    {
        return "a table";
    }
    if (value.is_array())
    {
        return "a list";
    }
    std::ostringstream text;
    value.visit(
        [&text](const auto& element)
        {
            if constexpr (toml::is_value<decltype(element)>)
            {
                text << element;
            }
        });
    std::string description = text.str();
    if (description.size() > max_quoted_length)
    {
        description.resize(max_quoted_length);
        description += "...";
    }
    return description;
}

template <class T>
std::string describe_range(const range<T>& limits, const std::string& type_name)
{
    std::ostringstream text;
    text << type_name << " from " << limits.min << " to " << limits.max;
    return text.str();
}

bool satisfies(const text_rule& rule, const std::string& text)
{
    return rule.is_allowed ? rule.is_allowed(text) : !text.empty();
}

/// @brief Declares a key and finds its value.
/// @return the value, or nullptr if the key is absent, which is a fault if the key is required
const toml::node* find(const table& parent, const detail::table_state& state, std::string_view key, bool is_required,
                       const std::string& allowed)
{
    if (state.node != nullptr)
    {
        state.document->declared_keys[state.node].emplace(key);
    }
    const toml::node* value = state.node == nullptr ? nullptr : state.node->get(key);
    if (value == nullptr && is_required)
    {
        parent.report(key, errc::missing_key, "nothing", allowed);
    }
    return value;
}

/// @brief Reads an integer or a double within bounds.
template <class T>
T read_number(const table& parent, const detail::table_state& state, std::string_view key, const range<T>& limits,
              const std::string& type_name)
{
    const std::string allowed = describe_range(limits, type_name);
    const T default_value = limits.fallback.value_or(limits.min);
    const toml::node* value = find(parent, state, key, !limits.fallback.has_value(), allowed);
    if (value == nullptr)
    {
        return default_value;
    }
    const auto read = value->value<T>();
    const bool is_number = std::is_same_v<T, double> ? value->is_number() : value->is_integer();
    if (!is_number || !read.has_value())
    {
        parent.report(key, errc::wrong_type, describe(*value), allowed);
        return default_value;
    }
    // NaN is out of range, because it compares false with every bound.
    if (!(*read >= limits.min && *read <= limits.max))
    {
        parent.report(key, errc::out_of_range, describe(*value), allowed);
        return default_value;
    }
    return *read;
}

template <class Duration>
range<std::int64_t> to_count_range(const range<Duration>& limits)
{
    range<std::int64_t> result{limits.min.count(), limits.max.count()};
    if (limits.fallback.has_value())
    {
        result.fallback = limits.fallback->count();
    }
    return result;
}

text_rule address_rule()
{
    return {"an IP address and a port, for example 127.0.0.1:8080", [](std::string_view text)
            {
                return core::parse_socket_address(text).has_value();
            }};
}

} // namespace

table::table(std::shared_ptr<detail::table_state> shared_state) noexcept : state(std::move(shared_state))
{
}

std::int64_t table::integer(std::string_view key, const range<std::int64_t>& limits) const
{
    return read_number(*this, *this->state, key, limits, "an integer");
}

double table::number(std::string_view key, const range<double>& limits) const
{
    return read_number(*this, *this->state, key, limits, "a number");
}

bool table::boolean(std::string_view key, std::optional<bool> fallback) const
{
    const toml::node* value = find(*this, *this->state, key, !fallback.has_value(), "true or false");
    if (value == nullptr)
    {
        return fallback.value_or(false);
    }
    if (!value->is_boolean())
    {
        this->report(key, errc::wrong_type, describe(*value), "true or false");
        return fallback.value_or(false);
    }
    return value->value_or(false);
}

std::chrono::milliseconds table::milliseconds(std::string_view key,
                                              const range<std::chrono::milliseconds>& limits) const
{
    assert(key.ends_with("_ms"));
    const auto count = read_number(*this, *this->state, key, to_count_range(limits), "milliseconds");
    return std::chrono::milliseconds{count};
}

std::chrono::microseconds table::microseconds(std::string_view key,
                                              const range<std::chrono::microseconds>& limits) const
{
    assert(key.ends_with("_us"));
    const auto count = read_number(*this, *this->state, key, to_count_range(limits), "microseconds");
    return std::chrono::microseconds{count};
}

std::chrono::milliseconds table::duration(std::string_view key, const range<std::chrono::milliseconds>& limits) const
{
    if (limits.fallback && !this->contains(key))
    {
        return *limits.fallback;
    }
    const auto allowed = "a time from " + std::to_string(limits.min.count()) + "ms to " +
                         std::to_string(limits.max.count()) + "ms, for example 1.5s";
    const text_rule rule{allowed,
                         [&limits](std::string_view text)
                         {
                             const auto value = parse_duration(text);
                             return value && *value >= limits.min && *value <= limits.max;
                         },
                         {}};
    return parse_duration(this->text(key, rule)).value_or(limits.min);
}

std::uint64_t table::bytes(std::string_view key, const range<std::uint64_t>& limits) const
{
    assert(key.ends_with("_bytes") || key.find("bytes_per_") != std::string_view::npos);
    assert(limits.max <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    range<std::int64_t> signed_limits{static_cast<std::int64_t>(limits.min), static_cast<std::int64_t>(limits.max)};
    if (limits.fallback.has_value())
    {
        signed_limits.fallback = static_cast<std::int64_t>(*limits.fallback);
    }
    return static_cast<std::uint64_t>(read_number(*this, *this->state, key, signed_limits, "bytes"));
}

std::string table::text(std::string_view key, const text_rule& rule) const
{
    const toml::node* value = find(*this, *this->state, key, !rule.fallback.has_value(), rule.allowed);
    std::string default_value = rule.fallback.value_or("");
    if (value == nullptr)
    {
        return default_value;
    }
    if (!value->is_string())
    {
        this->report(key, errc::wrong_type, describe(*value), rule.allowed);
        return default_value;
    }
    std::string read = value->value_or(std::string{});
    if (!satisfies(rule, read))
    {
        this->report(key, errc::not_allowed, describe(*value), rule.allowed);
        return default_value;
    }
    return read;
}

std::string table::choice(std::string_view key, const std::vector<std::string>& allowed,
                          std::optional<std::string> fallback) const
{
    std::string description = "one of";
    for (const std::string& element : allowed)
    {
        description += " '" + element + "'";
    }
    const auto is_listed = [&allowed](std::string_view text)
    {
        return std::ranges::find(allowed, text) != allowed.end();
    };
    return this->text(key, {description, is_listed, std::move(fallback)});
}

std::vector<std::string> table::texts(std::string_view key, const text_rule& rule, std::size_t min_size) const
{
    const std::string allowed =
        "a list of at least " + std::to_string(min_size) + " different strings, each " + rule.allowed;
    const toml::node* value = find(*this, *this->state, key, min_size > 0, allowed);
    if (value == nullptr)
    {
        return {};
    }
    const toml::array* items = value->as_array();
    if (items == nullptr)
    {
        this->report(key, errc::wrong_type, describe(*value), allowed);
        return {};
    }
    std::vector<std::string> read;
    for (const toml::node& element : *items)
    {
        const std::string text = element.value_or(std::string{});
        const bool is_duplicate = std::ranges::find(read, text) != read.end();
        if (!element.is_string() || !satisfies(rule, text) || is_duplicate)
        {
            const auto code = element.is_string() ? errc::not_allowed : errc::wrong_type;
            this->report(key, code, (is_duplicate ? "twice " : "") + describe(element), allowed);
            continue;
        }
        read.push_back(text);
    }
    if (items->size() < min_size)
    {
        this->report(key, errc::not_allowed, "a list of " + std::to_string(items->size()), allowed);
    }
    return read;
}

core::socket_address table::address(std::string_view key, std::optional<core::socket_address> fallback) const
{
    text_rule rule = address_rule();
    if (fallback.has_value())
    {
        rule.fallback = core::to_string(*fallback);
    }
    return core::parse_socket_address(this->text(key, rule)).value_or(core::socket_address{});
}

std::vector<core::socket_address> table::addresses(std::string_view key) const
{
    std::vector<core::socket_address> read;
    for (const std::string& text : this->texts(key, address_rule()))
    {
        read.push_back(core::parse_socket_address(text).value_or(core::socket_address{}));
    }
    return read;
}

table table::child(std::string_view key) const
{
    const toml::node* value = find(*this, *this->state, key, false, "");
    const std::string full_key =
        this->state->full_key.empty() ? std::string{key} : this->state->full_key + "." + std::string{key};
    const toml::table* nested = value == nullptr ? nullptr : value->as_table();
    if (value != nullptr && nested == nullptr)
    {
        this->report(key, errc::wrong_type, describe(*value), "a table");
    }
    const std::uint32_t line = nested == nullptr ? this->state->line : nested->source().begin.line;
    return table{
        std::make_shared<detail::table_state>(detail::table_state{this->state->document, nested, full_key, line})};
}

std::vector<table> table::children(std::string_view key, std::size_t min_size) const
{
    const std::string allowed = "an array of at least " + std::to_string(min_size) + " tables";
    const toml::node* value = find(*this, *this->state, key, min_size > 0, allowed);
    if (value == nullptr)
    {
        return {};
    }
    const toml::array* items = value->as_array();
    if (items == nullptr || (!items->empty() && !items->is_homogeneous<toml::table>()))
    {
        this->report(key, errc::wrong_type, describe(*value), allowed);
        this->state->document->invalid_values.insert(value);
        return {};
    }
    if (items->size() < min_size)
    {
        this->report(key, errc::not_allowed, "an array of " + std::to_string(items->size()), allowed);
    }
    const std::string full_key =
        this->state->full_key.empty() ? std::string{key} : this->state->full_key + "." + std::string{key};
    std::vector<table> read;
    for (std::size_t index = 0; index < items->size(); ++index)
    {
        const toml::table* nested = items->get(index)->as_table();
        const std::string element_key = full_key + "[" + std::to_string(index) + "]";
        detail::table_state element{this->state->document, nested, element_key, nested->source().begin.line};
        read.push_back(table{std::make_shared<detail::table_state>(std::move(element))});
    }
    return read;
}

bool table::contains(std::string_view key) const noexcept
{
    return this->state->node != nullptr && this->state->node->contains(key);
}

bool table::is_present() const noexcept
{
    return this->state->node != nullptr;
}

void table::report(std::string_view key, std::error_code code, std::string found, std::string allowed) const
{
    std::uint32_t line = this->state->line;
    const toml::node* value = this->state->node == nullptr ? nullptr : this->state->node->get(key);
    if (value != nullptr)
    {
        line = value->source().begin.line;
    }
    std::string full_key = this->state->full_key;
    if (!key.empty())
    {
        full_key += (full_key.empty() ? "" : ".") + std::string{key};
    }
    fault new_fault{this->state->document->file, line, std::move(full_key), code, std::move(found), std::move(allowed)};
    // A key may be read more than once, but its fault is reported once.
    std::vector<fault>& faults = this->state->document->faults;
    if (std::ranges::find(faults, new_fault) == faults.end())
    {
        faults.push_back(std::move(new_fault));
    }
}

} // namespace poplarport::settings
