#include "poplarport/manifest/service_document.hpp"

#include <algorithm> // ranges::find, ranges::any_of

#include <nlohmann/json.hpp>

#include "detail/fields.hpp"

namespace poplarport::manifest
{
namespace
{

using nlohmann::json;

constexpr int document_format = 1;

/// @brief Visitor that writes parts as JSON.
class json_writer
{
  public:
    template <class T>
    void integer(const char* key, const T& value, const settings::range<std::int64_t>& /*limits*/)
    {
        this->node[key] = value;
    }

    void bytes(const char* key, std::uint64_t value, const settings::range<std::uint64_t>& /*limits*/)
    {
        this->node[key] = value;
    }

    template <class Duration>
    void time(const char* key, const Duration& value, const settings::range<Duration>& /*limits*/)
    {
        this->node[key] = value.count();
    }

    void text(const char* key, const std::string& value, const settings::text_rule& rule)
    {
        // An optional text that is absent is left out, since an empty one breaks its rule.
        if (!rule.fallback.has_value() || !value.empty())
        {
            this->node[key] = value;
        }
    }

    void texts(const char* key, const std::vector<std::string>& value, const settings::text_rule& /*rule*/,
               std::size_t /*least*/)
    {
        this->node[key] = value;
    }

    template <class Part>
    void table(const char* key, Part& part)
    {
        json_writer nested;
        detail::fields(nested, part);
        this->node[key] = std::move(nested.node);
    }

    template <class Part>
    void list(const char* key, std::vector<Part>& parts)
    {
        json items = json::array();
        for (Part& part : parts)
        {
            json_writer nested;
            detail::fields(nested, part);
            items.push_back(std::move(nested.node));
        }
        this->node[key] = std::move(items);
    }

    void require(bool /*holds*/, const char* /*key*/, errc /*code*/, const std::string& /*found*/,
                 const std::string& /*allowed*/) const noexcept
    {
    }

    json node = json::object();
};

/// @brief Visitor that reads parts from JSON; `is_valid` is cleared at the first broken rule.
class json_reader
{
  public:
    json_reader(const json& read, bool& valid) noexcept : node(read), is_valid(valid)
    {
    }

    void integer(const char* key, std::uint32_t& value, const settings::range<std::int64_t>& limits)
    {
        value = static_cast<std::uint32_t>(this->number(key, limits));
    }

    void bytes(const char* key, std::uint64_t& value, const settings::range<std::uint64_t>& limits)
    {
        value = this->number(key, limits);
    }

    template <class Duration>
    void time(const char* key, Duration& value, const settings::range<Duration>& limits)
    {
        settings::range<std::int64_t> counts{limits.least.count(), limits.greatest.count()};
        if (limits.fallback.has_value())
        {
            counts.fallback = limits.fallback->count();
        }
        value = Duration{this->number(key, counts)};
    }

    void text(const char* key, std::string& value, const settings::text_rule& rule)
    {
        const json* found = this->find(key);
        if (found == nullptr)
        {
            this->check(rule.fallback.has_value());
            value = rule.fallback.value_or("");
            return;
        }
        value = found->is_string() ? found->get<std::string>() : std::string{};
        this->check(rule.is_allowed ? rule.is_allowed(value) : !value.empty());
    }

    void texts(const char* key, std::vector<std::string>& value, const settings::text_rule& rule, std::size_t least)
    {
        value.clear();
        const json* found = this->find(key);
        for (const json& item : found != nullptr && found->is_array() ? *found : json::array())
        {
            value.push_back(item.is_string() ? item.get<std::string>() : std::string{});
            this->check(rule.is_allowed ? rule.is_allowed(value.back()) : !value.back().empty());
        }
        this->check(found == nullptr || found->is_array());
        this->check(value.size() >= least);
    }

    template <class Part>
    void table(const char* key, Part& part)
    {
        const json* found = this->find(key);
        const json empty = json::object();
        json_reader nested{found == nullptr ? empty : *found, this->is_valid};
        detail::fields(nested, part);
    }

    template <class Part>
    void list(const char* key, std::vector<Part>& parts)
    {
        const json* found = this->find(key);
        this->check(found == nullptr || found->is_array());
        parts.clear();
        for (const json& item : found != nullptr && found->is_array() ? *found : json::array())
        {
            json_reader nested{item, this->is_valid};
            detail::fields(nested, parts.emplace_back());
        }
    }

    void require(bool holds, const char* /*key*/, errc /*code*/, const std::string& /*found*/,
                 const std::string& /*allowed*/)
    {
        this->check(holds);
    }

  private:
    const json* find(const char* key)
    {
        this->check(this->node.is_object());
        const auto position = this->node.is_object() ? this->node.find(key) : this->node.end();
        return this->node.is_object() && position != this->node.end() ? &*position : nullptr;
    }

    template <class T>
    T number(const char* key, const settings::range<T>& limits)
    {
        const json* found = this->find(key);
        if (found == nullptr)
        {
            this->check(limits.fallback.has_value());
            return limits.fallback.value_or(limits.least);
        }
        // Negative numbers are out of every range here and would wrap in an unsigned comparison.
        const bool is_count = found->is_number_unsigned();
        const auto value = is_count ? found->get<std::uint64_t>() : 0;
        const bool is_within = is_count && value >= static_cast<std::uint64_t>(limits.least) &&
                               value <= static_cast<std::uint64_t>(limits.greatest);
        this->check(is_within);
        return is_within ? static_cast<T>(value) : limits.least;
    }

    void check(bool holds) noexcept
    {
        this->is_valid = this->is_valid && holds;
    }

    const json& node;
    bool& is_valid;
};

/// @brief Names the parts of a document for the JSON reader and the JSON writer.
template <class Visitor>
void document_fields(Visitor& visitor, service_document& document)
{
    visitor.text("change_id", document.change_id, detail::change_id_rule());
    visitor.list("recent_changes", document.recent_changes);
    visitor.table("service", document.rules);
    visitor.list("tenants", document.tenants);
    visitor.list("zone_costs", document.zone_costs);
}

bool admits_known_tenants(const service_document& document)
{
    return std::ranges::all_of(
        document.rules.tenants, [&document](const tenant_limits& admitted)
        { return std::ranges::find(document.tenants, admitted.tenant, &tenant::name) != document.tenants.end(); });
}

} // namespace

service_document make_document(const manifest_content& content, const service& rules)
{
    return {"", {}, rules, content.tenants, content.zone_costs};
}

json to_json(const service_document& document)
{
    json_writer writer;
    service_document copy = document;
    document_fields(writer, copy);
    writer.node["format"] = document_format;
    return std::move(writer.node);
}

std::optional<service_document> parse_document(std::string_view text, std::error_code& error)
{
    error.clear();
    const json node = json::parse(text, nullptr, false);
    if (!node.is_object() || !node.contains("format"))
    {
        error = errc::malformed_document;
        return std::nullopt;
    }
    if (node["format"] != document_format)
    {
        error = errc::unsupported_format;
        return std::nullopt;
    }
    bool is_valid = true;
    service_document document;
    json_reader reader{node, is_valid};
    document_fields(reader, document);
    if (!is_valid || !admits_known_tenants(document))
    {
        error = errc::malformed_document;
        return std::nullopt;
    }
    return document;
}

} // namespace poplarport::manifest
