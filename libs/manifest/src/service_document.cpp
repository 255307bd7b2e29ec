#include "poplarport/manifest/service_document.hpp"

#include <algorithm> // ranges::find, ranges::any_of

#include <nlohmann/json.hpp>

#include "detail/fields.hpp"
#include "poplarport/json_text/json_text.hpp"

namespace poplarport::manifest
{
namespace
{

using nlohmann::json;

constexpr int document_format = 1;

/// @brief Visitor that writes an object as JSON.
class json_writer
{
  public:
    template <class T>
    void integer(const char* key, const T& field, const settings::range<std::int64_t>& /*limits*/)
    {
        this->node[key] = field;
    }

    void bytes(const char* key, std::uint64_t field, const settings::range<std::uint64_t>& /*limits*/)
    {
        this->node[key] = field;
    }

    template <class Duration>
    void time(const char* key, const Duration& field, const settings::range<Duration>& /*limits*/)
    {
        this->node[key] = field.count();
    }

    void text(const char* key, const std::string& field, const settings::text_rule& rule)
    {
        // Omits an absent optional text, because an empty string would violate its rule.
        if (!rule.fallback.has_value() || !field.empty())
        {
            this->node[key] = field;
        }
    }

    void texts(const char* key, const std::vector<std::string>& field, const settings::text_rule& /*rule*/,
               std::size_t /*min_size*/)
    {
        this->node[key] = field;
    }

    template <class Object>
    void table(const char* key, Object& object)
    {
        json_writer nested;
        detail::fields(nested, object);
        this->node[key] = std::move(nested.node);
    }

    template <class Object>
    void list(const char* key, std::vector<Object>& objects)
    {
        json elements = json::array();
        for (Object& object : objects)
        {
            json_writer nested;
            detail::fields(nested, object);
            elements.push_back(std::move(nested.node));
        }
        this->node[key] = std::move(elements);
    }

    void require(bool /*is_met*/, const char* /*key*/, errc /*code*/, const std::string& /*found*/,
                 const std::string& /*allowed*/) const noexcept
    {
    }

    json node = json::object();
};

/// @brief Visitor that reads an object from JSON. Clears `is_valid` at the first violated rule.
class json_reader
{
  public:
    json_reader(const json& source, bool& validity) noexcept : node(source), is_valid(validity)
    {
    }

    void integer(const char* key, std::uint32_t& field, const settings::range<std::int64_t>& limits)
    {
        field = static_cast<std::uint32_t>(this->number(key, limits));
    }

    void bytes(const char* key, std::uint64_t& field, const settings::range<std::uint64_t>& limits)
    {
        field = this->number(key, limits);
    }

    template <class Duration>
    void time(const char* key, Duration& field, const settings::range<Duration>& limits)
    {
        settings::range<std::int64_t> count_limits{limits.min.count(), limits.max.count()};
        if (limits.fallback.has_value())
        {
            count_limits.fallback = limits.fallback->count();
        }
        field = Duration{this->number(key, count_limits)};
    }

    void text(const char* key, std::string& field, const settings::text_rule& rule)
    {
        const json* found = this->find(key);
        if (found == nullptr)
        {
            this->check(rule.fallback.has_value());
            field = rule.fallback.value_or("");
            return;
        }
        field = found->is_string() ? found->get<std::string>() : std::string{};
        this->check(rule.is_allowed ? rule.is_allowed(field) : !field.empty());
    }

    void texts(const char* key, std::vector<std::string>& field, const settings::text_rule& rule, std::size_t min_size)
    {
        field.clear();
        const json* found = this->find(key);
        for (const json& element : found != nullptr && found->is_array() ? *found : json::array())
        {
            field.push_back(element.is_string() ? element.get<std::string>() : std::string{});
            this->check(rule.is_allowed ? rule.is_allowed(field.back()) : !field.back().empty());
        }
        this->check(found == nullptr || found->is_array());
        this->check(field.size() >= min_size);
    }

    template <class Object>
    void table(const char* key, Object& object)
    {
        const json* found = this->find(key);
        const json empty = json::object();
        json_reader nested{found == nullptr ? empty : *found, this->is_valid};
        detail::fields(nested, object);
    }

    template <class Object>
    void list(const char* key, std::vector<Object>& objects)
    {
        const json* found = this->find(key);
        this->check(found == nullptr || found->is_array());
        objects.clear();
        for (const json& element : found != nullptr && found->is_array() ? *found : json::array())
        {
            json_reader nested{element, this->is_valid};
            detail::fields(nested, objects.emplace_back());
        }
    }

    void require(bool is_met, const char* /*key*/, errc /*code*/, const std::string& /*found*/,
                 const std::string& /*allowed*/)
    {
        this->check(is_met);
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
            return limits.fallback.value_or(limits.min);
        }
        // No range here contains negative numbers; in an unsigned comparison they would wrap.
        const bool is_count = found->is_number_unsigned();
        const auto raw_value = is_count ? found->get<std::uint64_t>() : 0;
        const bool is_within = is_count && raw_value >= static_cast<std::uint64_t>(limits.min) &&
                               raw_value <= static_cast<std::uint64_t>(limits.max);
        this->check(is_within);
        return is_within ? static_cast<T>(raw_value) : limits.min;
    }

    void check(bool is_met) noexcept
    {
        this->is_valid = this->is_valid && is_met;
    }

    const json& node;
    bool& is_valid;
};

/// @brief Declares the keys of a document for the JSON reader and the JSON writer.
template <class Visitor>
void document_fields(Visitor& visitor, service_document& document)
{
    visitor.text("change_id", document.change_id, detail::change_id_rule());
    visitor.list("recent_changes", document.recent_changes);
    visitor.table("service", document.rules);
    visitor.list("tenants", document.tenants);
    visitor.list("zone_costs", document.zone_costs);
}

bool has_admitted_tenants(const service_document& document)
{
    return std::ranges::all_of(
        document.rules.tenants, [&document](const tenant_limits& limits)
        { return std::ranges::find(document.tenants, limits.tenant, &tenant::name) != document.tenants.end(); });
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
    const json node = json_text::parse(text);
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
    if (!is_valid || !has_admitted_tenants(document))
    {
        error = errc::malformed_document;
        return std::nullopt;
    }
    return document;
}

} // namespace poplarport::manifest
