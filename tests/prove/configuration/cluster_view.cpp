#include "cluster_view.hpp"

#include <stdexcept> // runtime_error

namespace poplarport::test
{

nlohmann::json get_json(const std::string& address, const std::string& target)
{
    const auto answer = http_request(address, "GET", target);
    const auto end = answer.find("\r\n\r\n");
    return end == std::string::npos ? nlohmann::json{} : nlohmann::json::parse(answer.substr(end + 4), nullptr, false);
}

nlohmann::json status_of(prove_system& system, const std::string& node)
{
    return get_json(system.address(node, "administration"), "/status");
}

std::uint64_t version_of(prove_system& system, const std::string& node)
{
    const auto status = status_of(system, node);
    return status.is_object() ? status["configuration_versions"].value("orders", std::uint64_t{0}) : 0;
}

std::size_t members_of(prove_system& system, const std::string& node)
{
    const auto status = status_of(system, node);
    return status.is_object() ? status["members"].size() : 0;
}

void start_platform_fault(const prove_system& system, const nlohmann::json& fault)
{
    const auto answer = http_request(system.platform_address(true), "POST", "/faults", fault.dump());
    if (!answer.starts_with("HTTP/1.1 200"))
    {
        throw std::runtime_error("the platform did not take the fault: " + answer);
    }
}

void clear_platform_faults(const prove_system& system)
{
    const auto answer = http_request(system.platform_address(true), "DELETE", "/faults");
    if (!answer.starts_with("HTTP/1.1 200"))
    {
        throw std::runtime_error("the platform did not end its faults: " + answer);
    }
}

std::uint64_t platform_counter(const prove_system& system, const std::string& name)
{
    return get_json(system.platform_address(true), "/counters").value(name, std::uint64_t{0});
}

string_list numbered(const std::string& prefix, std::size_t count)
{
    string_list names;
    for (std::size_t number = 1; number <= count; ++number)
    {
        names.push_back(prefix + std::to_string(number));
    }
    return names;
}

} // namespace poplarport::test
