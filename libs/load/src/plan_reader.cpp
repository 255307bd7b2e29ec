#include "poplarport/load/plan.hpp"

#include <functional> // function
#include <set>        // set
#include <sstream>    // ostringstream
#include <stdexcept>  // invalid_argument

#include <toml++/toml.h>

namespace poplarport::load
{

namespace
{

// Reads one table and collects every fault with its file and line.
class table_reader
{
  public:
    table_reader(const toml::table& source_table, std::string key_prefix, std::vector<std::string>& found_faults)
        : table(&source_table), prefix(std::move(key_prefix)), faults(&found_faults)
    {
    }

    template <typename Value>
    void read(const std::string& key, Value& target, const char* allowed)
    {
        this->read_with(key, allowed,
                        [&target](const toml::node& node)
                        {
                            const auto value = node.value<Value>();
                            target = value.value_or(target);
                            return value.has_value();
                        });
    }

    void read_count(const std::string& key, std::size_t& target)
    {
        this->read_with(key, "a whole number that is not negative",
                        [&target](const toml::node& node) { return to_count(node, target); });
    }

    void read_time(const std::string& key, std::chrono::milliseconds& target)
    {
        this->read_with(key, "a whole number of milliseconds that is not negative",
                        [&target](const toml::node& node)
                        {
                            std::size_t value = 0;
                            const bool valid = to_count(node, value);
                            target = valid ? std::chrono::milliseconds{value} : target;
                            return valid;
                        });
    }

    void read_sizes(const std::string& key, size_range& target)
    {
        this->read_with(key, "an array of two whole numbers, the minimum and the maximum",
                        [&target](const toml::node& node)
                        {
                            const auto* const pair = node.as_array();
                            return pair != nullptr && pair->size() == 2 && to_count((*pair)[0], target.min) &&
                                   to_count((*pair)[1], target.max);
                        });
    }

    void read_with(const std::string& key, const char* allowed,
                   const std::function<bool(const toml::node&)>& read_value)
    {
        this->known_keys.insert(key);
        const auto* const node = this->table->get(key);
        if (node != nullptr && !read_value(*node))
        {
            this->add_fault(*node, key, allowed);
        }
    }

    // Reads an array of tables; any other value is reported as a fault.
    void read_tables(const std::string& key, const std::function<void(table_reader&)>& read_table)
    {
        this->known_keys.insert(key);
        const auto* const node = this->table->get(key);
        if (node == nullptr)
        {
            return;
        }
        const auto* const items = node->as_array();
        if (items == nullptr)
        {
            this->add_fault(*node, key, "tables in the form [[" + key + "]]");
            return;
        }
        for (const auto& item : *items)
        {
            if (!item.is_table())
            {
                this->add_fault(item, key, "tables in the form [[" + key + "]]");
                continue;
            }
            table_reader inner{*item.as_table(), key + ".", *this->faults};
            read_table(inner);
            inner.check_unknown();
        }
    }

    void check_unknown()
    {
        std::string names;
        for (const auto& name : this->known_keys)
        {
            names += (names.empty() ? "" : ", ") + name;
        }
        for (const auto& [key, node] : *this->table)
        {
            if (!this->known_keys.contains(std::string{key.str()}))
            {
                this->add_fault(node, std::string{key.str()}, "no such key; known here: " + names);
            }
        }
    }

  private:
    static bool to_count(const toml::node& node, std::size_t& target)
    {
        const auto value = node.value_exact<std::int64_t>();
        if (!value || *value < 0)
        {
            return false;
        }
        target = static_cast<std::size_t>(*value);
        return true;
    }

    void add_fault(const toml::node& node, const std::string& key, const std::string& allowed)
    {
        std::ostringstream text;
        const auto& source = node.source();
        text << (source.path ? *source.path : std::string{}) << ':' << source.begin.line << ": " << this->prefix << key
             << ": allowed: " << allowed;
        this->faults->push_back(text.str());
    }

    const toml::table* table;
    std::string prefix;
    std::vector<std::string>* faults;
    std::set<std::string> known_keys{};
};

template <typename Value>
std::function<bool(const toml::node&)> name_reader(Value& target, std::optional<Value> (*parse)(std::string_view))
{
    return [&target, parse](const toml::node& node)
    {
        const auto value = parse(node.value<std::string_view>().value_or(""));
        target = value.value_or(target);
        return value.has_value();
    };
}

bool read_targets(const toml::node& node, std::vector<core::socket_address>& targets)
{
    const auto* const items = node.as_array();
    if (items == nullptr)
    {
        return false;
    }
    targets.clear();
    for (const auto& item : *items)
    {
        const auto address = core::parse_socket_address(item.value<std::string_view>().value_or(""));
        if (!address)
        {
            return false;
        }
        targets.push_back(*address);
    }
    return true;
}

void read_phase(table_reader& reader, phase& target)
{
    reader.read("name", target.name, "a string");
    reader.read_time("length_ms", target.length);
    reader.read("calls_per_second", target.calls_per_second, "a number");
    reader.read_with("arrivals", "constant, poisson", name_reader(target.arrivals, arrival_process_from_string));
}

void read_tenant(table_reader& reader, tenant& target)
{
    reader.read("name", target.name, "a string");
    reader.read("secret", target.secret, "a string");
    reader.read("weight", target.weight, "a number");
}

void read_call(table_reader& reader, call_kind& target)
{
    reader.read("method", target.method, "a string");
    reader.read("path", target.path, "a string");
    reader.read("repeatable", target.repeatable, "true, false");
    reader.read("weight", target.weight, "a number");
    reader.read_sizes("request_bytes", target.request_bytes);
    reader.read_sizes("answer_bytes", target.response_bytes);
}

// Replaces the defaults by the tables of a key, if there are any.
template <typename Item>
void read_items(table_reader& reader, const std::string& key, std::vector<Item>& items,
                void (*read)(table_reader&, Item&))
{
    std::vector<Item> read_values;
    reader.read_tables(key,
                       [&read_values, read](table_reader& inner)
                       {
                           Item item;
                           read(inner, item);
                           read_values.push_back(std::move(item));
                       });
    if (!read_values.empty())
    {
        items = std::move(read_values);
    }
}

void read_top(table_reader& reader, plan& result)
{
    reader.read("name", result.name, "a string");
    reader.read_count("seed", result.seed);
    reader.read_with("targets", "an array of IP addresses with ports",
                     [&result](const toml::node& node) { return read_targets(node, result.targets); });
    reader.read_with("target_choice", "round_robin, by_key", name_reader(result.choice, target_choice_from_string));
    reader.read("service", result.service, "a string");
    std::chrono::milliseconds deadline{0};
    reader.read_time("deadline_ms", deadline);
    if (deadline.count() > 0)
    {
        result.deadline = deadline;
    }
    reader.read_time("timeout_ms", result.timeout);
    reader.read_count("connections", result.connections);
    read_items(reader, "tenant", result.tenants, read_tenant);
    read_items(reader, "call", result.calls, read_call);
    read_items(reader, "phase", result.phases, read_phase);
    reader.check_unknown();
}

} // namespace

plan read_plan(std::string_view text, const std::string& file, const plan& defaults)
{
    toml::table table;
    try
    {
        table = toml::parse(text, file);
    }
    catch (const toml::parse_error& fault)
    {
        std::ostringstream message;
        message << file << ':' << fault.source().begin.line << ": " << fault.description();
        throw std::invalid_argument(message.str());
    }
    plan result = defaults;
    std::vector<std::string> faults;
    table_reader reader{table, "", faults};
    read_top(reader, result);
    if (faults.empty())
    {
        return result;
    }
    std::string message;
    for (const auto& fault : faults)
    {
        message += (message.empty() ? "" : "\n") + fault;
    }
    throw std::invalid_argument(message);
}

} // namespace poplarport::load
