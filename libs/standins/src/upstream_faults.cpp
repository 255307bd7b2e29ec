#include "poplarport/standins/upstream/faults.hpp"

#include <functional> // function
#include <map>        // map
#include <stdexcept>  // invalid_argument

#include <nlohmann/json.hpp>

namespace poplarport::standins
{

using nlohmann::json;

// nlohmann/json looks these up in the namespace of the enumerations.
NLOHMANN_JSON_SERIALIZE_ENUM(drain_mode, {{drain_mode::off, "off"},
                                          {drain_mode::announce, "announce"},
                                          {drain_mode::refuse, "refuse"}})

NLOHMANN_JSON_SERIALIZE_ENUM(report_mode, {{report_mode::truthful, "truthful"},
                                           {report_mode::idle, "idle"},
                                           {report_mode::busy, "busy"},
                                           {report_mode::failing, "failing"}})

namespace
{

[[noreturn]] void reject_value(const std::string& key, const json& found, const std::string& allowed)
{
    throw std::invalid_argument(key + ": found " + found.dump() + ", allowed: " + allowed);
}

template <typename Mode>
Mode read_mode(const std::string& key, const json& value, const std::string& allowed)
{
    const auto mode = value.get<Mode>();
    // nlohmann/json maps unknown values to the first enumerator.
    if (json(mode) != value)
    {
        reject_value(key, value, allowed);
    }
    return mode;
}

std::chrono::milliseconds read_duration(const std::string& key, const json& value)
{
    constexpr std::int64_t max_ms = 3'600'000;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_ms)
    {
        reject_value(key, value, "a whole number from 0 to 3600000");
    }
    return std::chrono::milliseconds{value.get<std::int64_t>()};
}

bool read_flag(const std::string& key, const json& value)
{
    if (!value.is_boolean())
    {
        reject_value(key, value, "true, false");
    }
    return value.get<bool>();
}

double read_factor(const std::string& key, const json& value)
{
    constexpr double max_factor = 1e6;
    if (!value.is_number() || value.get<double>() < 0.0 || value.get<double>() > max_factor)
    {
        reject_value(key, value, "a number from 0 to 1000000");
    }
    return value.get<double>();
}

using setter = std::function<void(faults&, const std::string&, const json&)>;

const std::map<std::string, setter>& setters()
{
    static const std::map<std::string, setter> table{
        {"drain",
         [](faults& target, const std::string& key, const json& value)
         {
             target.drain = read_mode<drain_mode>(key, value, "off, announce, refuse");
         }},
        {"report",
         [](faults& target, const std::string& key, const json& value)
         {
             target.report = read_mode<report_mode>(key, value, "truthful, idle, busy, failing");
         }},
        {"report_lag_ms",
         [](faults& target, const std::string& key, const json& value)
         {
             target.report_lag = read_duration(key, value);
         }},
        {"report_delay_ms",
         [](faults& target, const std::string& key, const json& value)
         {
             target.report_delay = read_duration(key, value);
         }},
        {"straggle",
         [](faults& target, const std::string& key, const json& value)
         {
             target.service_time_factor = read_factor(key, value);
         }},
        {"shed",
         [](faults& target, const std::string& key, const json& value)
         {
             target.shed = read_flag(key, value);
         }},
        {"fail_fast",
         [](faults& target, const std::string& key, const json& value)
         {
             target.fail_fast = read_flag(key, value);
         }},
        {"freeze",
         [](faults& target, const std::string& key, const json& value)
         {
             target.freeze = read_flag(key, value);
         }},
        {"close_mid_answer",
         [](faults& target, const std::string& key, const json& value)
         {
             target.close_mid_response = read_flag(key, value);
         }},
    };
    return table;
}

} // namespace

faults merge_faults(const faults& current, std::string_view text)
{
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object())
    {
        throw std::invalid_argument("the faults are not a JSON object");
    }
    faults result = current;
    for (const auto& [key, value] : object.items())
    {
        const auto entry = setters().find(key);
        if (entry == setters().end())
        {
            std::string message = "unknown key " + key + ", allowed:";
            for (const auto& [name, unused] : setters())
            {
                message.append(" ").append(name);
            }
            throw std::invalid_argument(message);
        }
        entry->second(result, key, value);
    }
    return result;
}

std::string to_json(const faults& active_faults)
{
    const json object{{"drain", active_faults.drain},
                      {"report", active_faults.report},
                      {"report_lag_ms", active_faults.report_lag.count()},
                      {"report_delay_ms", active_faults.report_delay.count()},
                      {"straggle", active_faults.service_time_factor},
                      {"shed", active_faults.shed},
                      {"fail_fast", active_faults.fail_fast},
                      {"freeze", active_faults.freeze},
                      {"close_mid_answer", active_faults.close_mid_response}};
    return object.dump();
}

} // namespace poplarport::standins
