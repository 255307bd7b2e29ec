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

/// @brief Visitor that reads parts from TOML.
class toml_reader
{
  public:
    explicit toml_reader(settings::table read) noexcept : node(std::move(read))
    {
    }

    void integer(std::string_view key, std::uint32_t& value, const settings::range<std::int64_t>& limits) const
    {
        value = static_cast<std::uint32_t>(this->node.integer(key, limits));
    }

    void bytes(std::string_view key, std::uint64_t& value, const settings::range<std::uint64_t>& limits) const
    {
        value = this->node.bytes(key, limits);
    }

    void time(std::string_view key, std::chrono::milliseconds& value,
              const settings::range<std::chrono::milliseconds>& limits) const
    {
        value = this->node.milliseconds(key, limits);
    }

    void time(std::string_view key, std::chrono::microseconds& value,
              const settings::range<std::chrono::microseconds>& limits) const
    {
        value = this->node.microseconds(key, limits);
    }

    void text(std::string_view key, std::string& value, const settings::text_rule& rule) const
    {
        value = this->node.text(key, rule);
    }

    void texts(std::string_view key, std::vector<std::string>& value, const settings::text_rule& rule,
               std::size_t least) const
    {
        value = this->node.texts(key, rule, least);
    }

    template <class Part>
    void table(std::string_view key, Part& part) const
    {
        toml_reader nested{this->node.child(key)};
        detail::fields(nested, part);
    }

    template <class Part>
    void list(std::string_view key, std::vector<Part>& parts, std::size_t least = 0) const
    {
        for (const settings::table& item : this->node.children(key, least))
        {
            toml_reader nested{item};
            detail::fields(nested, parts.emplace_back());
        }
    }

    void require(bool holds, std::string_view key, errc code, std::string found, std::string allowed) const
    {
        if (!holds)
        {
            this->node.report(key, code, std::move(found), std::move(allowed));
        }
    }

  private:
    settings::table node;
};

/// @brief Reports names that occur twice in a list.
class unique_names
{
  public:
    void add(const settings::table& node, std::string_view key, const std::string& name)
    {
        if (!name.empty() && !this->names.insert(name).second)
        {
            node.report(key, errc::duplicate_name, "'" + name + "' a second time", "a name that is not used before");
        }
    }

    [[nodiscard]] bool contains(const std::string& name) const
    {
        return name.empty() || this->names.contains(name);
    }

  private:
    std::set<std::string> names; ///< an empty name is already a fault of its own and is never stored
};

/// @brief Checks the references within and between services.
class service_checks
{
  public:
    service_checks(const settings::table& root, const manifest_content& read)
        : content(read), tables(root.children("services", 1))
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
            this->check_lists(this->tables[index], rules);
            this->check_size(this->tables[index], rules);
        }
    }

  private:
    void check_calls(const settings::table& node, const service& rules) const
    {
        for (const std::string& called : rules.calls)
        {
            if (!this->services.contains(called))
            {
                node.report("calls", errc::unknown_service, "'" + called + "'", "a service of this manifest");
            }
        }
    }

    void check_lists(const settings::table& node, const service& rules) const
    {
        unique_names classes;
        unique_names admitted;
        const auto class_tables = node.children("classes");
        const auto tenant_tables = node.children("tenants");
        for (std::size_t index = 0; index < class_tables.size(); ++index)
        {
            classes.add(class_tables[index], "name", rules.classes[index].name);
        }
        for (std::size_t index = 0; index < tenant_tables.size(); ++index)
        {
            const std::string& name = rules.tenants[index].tenant;
            admitted.add(tenant_tables[index], "tenant", name);
            if (!this->tenants.contains(name))
            {
                tenant_tables[index].report("tenant", errc::unknown_tenant, "'" + name + "'",
                                            "a tenant of this manifest");
            }
        }
    }

    void check_size(const settings::table& node, const service& rules) const
    {
        // Room for the recent changes, which are added when the document is written.
        constexpr std::size_t reserve_bytes = 16384;
        const std::size_t size = to_json(make_document(this->content, rules)).dump().size();
        if (size + reserve_bytes > max_document_bytes)
        {
            node.report("", errc::document_too_large, std::to_string(size) + " bytes of JSON",
                        "at most " + std::to_string(max_document_bytes - reserve_bytes) + " bytes");
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
        zone_cost& part = content.zone_costs[index];
        if (part.to < part.from)
        {
            std::swap(part.from, part.to);
        }
        pairs.add(tables[index], "from", part.from + " and " + part.to);
    }
}

/// @brief Brings lists whose order has no meaning into the order of their names, so that reordering a manifest
/// changes no document.
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
    std::ranges::sort(content.zone_costs, {}, [](const zone_cost& part) { return part.from + " " + part.to; });
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
