#include "poplarport/settings/fault.hpp"

namespace poplarport::settings
{

std::string to_string(const fault& reported_fault)
{
    std::string text = reported_fault.file + ":";
    if (reported_fault.line != 0)
    {
        text += std::to_string(reported_fault.line) + ":";
    }
    if (!reported_fault.key.empty())
    {
        text += " " + reported_fault.key + ":";
    }
    text += " found " + reported_fault.found + "; allowed: " + reported_fault.allowed;
    return text + " (" + reported_fault.code.category().name() + " " + std::to_string(reported_fault.code.value()) +
           ")";
}

std::string to_string(const std::vector<fault>& faults)
{
    std::string text;
    for (const fault& reported_fault : faults)
    {
        text += to_string(reported_fault) + "\n";
    }
    return text;
}

} // namespace poplarport::settings
