#include "poplarport/settings/fault.hpp"

namespace poplarport::settings
{

std::string to_string(const fault& value)
{
    std::string text = value.file + ":";
    if (value.line != 0)
    {
        text += std::to_string(value.line) + ":";
    }
    if (!value.key.empty())
    {
        text += " " + value.key + ":";
    }
    text += " found " + value.found + "; allowed: " + value.allowed;
    return text + " (" + value.code.category().name() + " " + std::to_string(value.code.value()) + ")";
}

std::string to_string(const std::vector<fault>& values)
{
    std::string text;
    for (const fault& value : values)
    {
        text += to_string(value) + "\n";
    }
    return text;
}

} // namespace poplarport::settings
