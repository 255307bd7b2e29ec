#include "poplarport/load/plan.hpp"

#include <algorithm> // any_of

namespace poplarport::load
{

std::optional<arrival_process> arrival_process_from_string(std::string_view text)
{
    if (text == "constant")
    {
        return arrival_process::constant;
    }
    if (text == "poisson")
    {
        return arrival_process::poisson;
    }
    return std::nullopt;
}

std::optional<target_choice> target_choice_from_string(std::string_view text)
{
    if (text == "round_robin")
    {
        return target_choice::round_robin;
    }
    if (text == "by_key")
    {
        return target_choice::by_key;
    }
    return std::nullopt;
}

namespace
{

template <typename Item>
bool has_bad_weights(const std::vector<Item>& items)
{
    double sum = 0.0;
    for (const auto& item : items)
    {
        if (!(item.weight >= 0.0))
        {
            return true;
        }
        sum += item.weight;
    }
    return !(sum > 0.0);
}

void check_call(const call_kind& kind, std::vector<std::string>& faults)
{
    constexpr std::size_t most_bytes = std::size_t{64} * 1024 * 1024;
    if (kind.path.empty() || kind.path.front() != '/')
    {
        faults.push_back("call " + kind.name() + ": the path does not begin with /");
    }
    for (const auto& range : {kind.request_bytes, kind.response_bytes})
    {
        if (range.least > range.most || range.most > most_bytes)
        {
            faults.push_back("call " + kind.name() + ": sizes are LEAST to MOST, up to 67108864 bytes");
        }
    }
}

void check_phase(const phase& checked, std::vector<std::string>& faults)
{
    constexpr double greatest_rate = 100'000.0;
    if (checked.length.count() <= 0)
    {
        faults.push_back("phase " + checked.name + ": the length is not positive");
    }
    if (!(checked.calls_per_second >= 0.0) || checked.calls_per_second > greatest_rate)
    {
        faults.push_back("phase " + checked.name + ": calls per second are 0 to 100000");
    }
}

} // namespace

std::vector<std::string> check(const plan& values)
{
    std::vector<std::string> faults;
    const auto require = [&faults](bool holds, const char* fault)
    {
        if (!holds)
        {
            faults.emplace_back(fault);
        }
    };
    require(!values.name.empty(), "the name is empty");
    require(!values.targets.empty(), "no target is given");
    require(!has_bad_weights(values.tenants), "no tenant is given, or the weights of the tenants are not positive");
    require(!has_bad_weights(values.calls), "no call is given, or the weights of the calls are not positive");
    require(!values.phases.empty(), "no phase is given");
    require(values.connections > 0, "connections are not positive");
    require(values.timeout.count() > 0, "the timeout is not positive");
    require(!values.deadline || values.deadline->count() > 0, "the deadline is not positive");
    for (const auto& kind : values.calls)
    {
        check_call(kind, faults);
    }
    for (const auto& checked : values.phases)
    {
        check_phase(checked, faults);
    }
    return faults;
}

} // namespace poplarport::load
