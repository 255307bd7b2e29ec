#include "poplarport/manifest/reader.hpp"

#include <algorithm> // ranges::any_of, ranges::sort
#include <set>       // set
#include <utility>   // move, swap

#include "detail/fields.hpp"
#include "poplarport/manifest/service_document.hpp"

#include <nlohmann/json.hpp>

namespace poplarport::manifest
{
namespace
{

/// @brief Visitor that reads an object from TOML.
class toml_reader
{
  public:
    explicit toml_reader(settings::table source) noexcept : node(std::move(source))
    {
    }

    void integer(std::string_view key, std::uint32_t& field, const settings::range<std::int64_t>& limits) const
    {
        field = static_cast<std::uint32_t>(this->node.integer(key, limits));
    }

    void bytes(std::string_view key, std::uint64_t& field, const settings::range<std::uint64_t>& limits) const
    {
        field = this->node.bytes(key, limits);
    }

    void time(std::string_view key, std::chrono::milliseconds& field,
              const settings::range<std::chrono::milliseconds>& limits) const
    {
        field = this->node.milliseconds(key, limits);
    }

    void time(std::string_view key, std::chrono::microseconds& field,
              const settings::range<std::chrono::microseconds>& limits) const
    {
        field = this->node.microseconds(key, limits);
    }

    void text(std::string_view key, std::string& field, const settings::text_rule& rule) const
    {
        field = this->node.text(key, rule);
    }

    void texts(std::string_view key, std::vector<std::string>& field, const settings::text_rule& rule,
               std::size_t min_size) const
    {
        field = this->node.texts(key, rule, min_size);
    }

    template <class Object>
    void table(std::string_view key, Object& object) const
    {
        toml_reader nested{this->node.child(key)};
        detail::fields(nested, object);
    }

    template <class Object>
    void list(std::string_view key, std::vector<Object>& objects, std::size_t min_size = 0) const
    {
        for (const settings::table& element : this->node.children(key, min_size))
        {
            toml_reader nested{element};
            detail::fields(nested, objects.emplace_back());
        }
    }

    void require(bool is_met, std::string_view key, errc code, std::string found, std::string allowed) const
    {
        if (!is_met)
        {
            this->node.report(key, code, std::move(found), std::move(allowed));
        }
    }

  private:
    settings::table node;
};

/// @brief Reports duplicate names in a list.
class unique_names
{
  public:
    void add(const settings::table& node, std::string_view key, const std::string& name)
    {
        if (!name.empty() && !this->names.insert(name).second)
        {
            node.report(key, errc::duplicate_name, "'" + name + "', which is already in use", "a unique name");
        }
    }

    [[nodiscard]] bool contains(const std::string& name) const
    {
        return name.empty() || this->names.contains(name);
    }

  private:
    std::set<std::string> names; ///< never contains the empty name, which is reported as a separate fault
};

/// @brief Checks the references within and between services.
class service_checks
{
  public:
    service_checks(const settings::table& root, const manifest_content& source)
        : content(source), tables(root.children("services", 1))
    {
        const auto tenant_tables = root.children("tenants");
        for (std::size_t index = 0; index < tenant_tables.size(); ++index)
        {
            this->tenants.add(tenant_tables[index], "name", this->content.tenants[index].name);
        }
        for (std::size_t index = 0; index < this->tables.size(); ++index)
        {
            this->services.add(this->tables[index], "name", this->content.services[index].name);
        }
    }

    void run()
    {
        unique_names hosts;
        for (std::size_t index = 0; index < this->tables.size(); ++index)
        {
            const service& rules = this->content.services[index];
            for (const std::string& host : rules.hosts)
            {
                hosts.add(this->tables[index], "hosts", host);
            }
            this->check_calls(this->tables[index], rules);
            this->check_classes_and_tenants(this->tables[index], rules);
            this->check_size(this->tables[index], rules);
        }
    }

  private:
    void check_calls(const settings::table& node, const service& rules) const
    {
        for (const std::string& called_service : rules.calls)
        {
            if (!this->services.contains(called_service))
            {
                node.report("calls", errc::unknown_service, "'" + called_service + "'", "a service of this manifest");
            }
        }
    }

    void check_classes_and_tenants(const settings::table& node, const service& rules) const
    {
        unique_names classes;
        unique_names admitted_tenants;
        const auto class_tables = node.children("classes");
        const auto tenant_tables = node.children("tenants");
        for (std::size_t index = 0; index < class_tables.size(); ++index)
        {
            classes.add(class_tables[index], "name", rules.classes[index].name);
        }
        for (std::size_t index = 0; index < tenant_tables.size(); ++index)
        {
            const std::string& name = rules.tenants[index].tenant;
            admitted_tenants.add(tenant_tables[index], "tenant", name);
            if (!this->tenants.contains(name))
            {
                tenant_tables[index].report("tenant", errc::unknown_tenant, "'" + name + "'",
                                            "a tenant of this manifest");
            }
        }
    }

    void check_size(const settings::table& node, const service& rules) const
    {
        // Reserved for the recent changes, which are added when the document is written.
        constexpr std::size_t recent_changes_reserve_bytes = 16384;
        const std::size_t size = to_json(make_document(this->content, rules)).dump().size();
        if (size + recent_changes_reserve_bytes > max_document_bytes)
        {
            node.report("", errc::document_too_large, std::to_string(size) + " bytes of JSON",
                        "at most " + std::to_string(max_document_bytes - recent_changes_reserve_bytes) + " bytes");
        }
    }

    const manifest_content& content;
    std::vector<settings::table> tables;
    unique_names services;
    unique_names tenants;
};

void check_zone_costs(const settings::table& root, manifest_content& content)
{
    const auto tables = root.children("zone_costs");
    unique_names pairs;
    for (std::size_t index = 0; index < tables.size(); ++index)
    {
        zone_cost& zone_pair = content.zone_costs[index];
        if (zone_pair.to < zone_pair.from)
        {
            std::swap(zone_pair.from, zone_pair.to);
        }
        pairs.add(tables[index], "from", zone_pair.from + " and " + zone_pair.to);
    }
}

/// @brief Sorts the lists whose order is not significant by name, so that reordering a manifest changes no document.
void sort_lists(manifest_content& content)
{
    for (service& rules : content.services)
    {
        std::ranges::sort(rules.hosts);
        std::ranges::sort(rules.calls);
        std::ranges::sort(rules.tenants, {}, &tenant_limits::tenant);
    }
    std::ranges::sort(content.services, {}, &service::name);
    std::ranges::sort(content.tenants, {}, &tenant::name);
    std::ranges::sort(content.zone_costs, {},
                      [](const zone_cost& zone_pair) { return zone_pair.from + " " + zone_pair.to; });
}

} // namespace

read_result read(settings::document file)
{
    read_result result;
    if (!file.is_parsed())
    {
        result.faults = file.finish();
        return result;
    }
    const settings::table root = file.root();
    const toml_reader reader{root};
    reader.list("services", result.content.services, 1);
    reader.list("tenants", result.content.tenants);
    reader.list("zone_costs", result.content.zone_costs);
    service_checks{root, result.content}.run();
    check_zone_costs(root, result.content);
    result.faults = file.finish();
    sort_lists(result.content);
    return result;
}

read_result read_file(const std::string& path)
{
    return read(settings::document::from_file(path));
}

} // namespace poplarport::manifest
