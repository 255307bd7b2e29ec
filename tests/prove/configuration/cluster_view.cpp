#include "cluster_view.hpp"

#include <stdexcept> // runtime_error

namespace poplarport::test
{

nlohmann::json get_json(const std::string& address, const std::string& target)
{
    const auto response = http_request(address, "GET", target);
    const auto end = response.find("\r\n\r\n");
    return end == std::string::npos ? nlohmann::json{}
                                    : nlohmann::json::parse(response.substr(end + 4), nullptr, false);
}

nlohmann::json node_status(prove_system& system, const std::string& node)
{
    return get_json(system.address(node, "administration"), "/status");
}

std::uint64_t configuration_version(prove_system& system, const std::string& node)
{
    const auto status = node_status(system, node);
    return status.is_object() ? status["configuration_versions"].value("orders", std::uint64_t{0}) : 0;
}

std::size_t member_count(prove_system& system, const std::string& node)
{
    const auto status = node_status(system, node);
    return status.is_object() ? status["members"].size() : 0;
}

void start_platform_fault(const prove_system& system, const nlohmann::json& fault)
{
    const auto response = http_request(system.platform_address(true), "POST", "/faults", fault.dump());
    if (!response.starts_with("HTTP/1.1 200"))
    {
        throw std::runtime_error("platform-standin refused the fault: " + response);
    }
}

void clear_platform_faults(const prove_system& system)
{
    const auto response = http_request(system.platform_address(true), "DELETE", "/faults");
    if (!response.starts_with("HTTP/1.1 200"))
    {
        throw std::runtime_error("platform-standin refused to clear its faults: " + response);
    }
}

std::uint64_t platform_counter(const prove_system& system, const std::string& name)
{
    return get_json(system.platform_address(true), "/counters").value(name, std::uint64_t{0});
}

string_list numbered_names(const std::string& prefix, std::size_t count)
{
    string_list names;
    for (std::size_t number = 1; number <= count; ++number)
    {
        names.push_back(prefix + std::to_string(number));
    }
    return names;
}

} // namespace poplarport::test
