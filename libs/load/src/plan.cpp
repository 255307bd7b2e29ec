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
bool has_invalid_weights(const std::vector<Item>& items)
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
    constexpr std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    if (kind.path.empty() || kind.path.front() != '/')
    {
        faults.push_back("call " + kind.name() + ": the path does not begin with /");
    }
    for (const auto& range : {kind.request_bytes, kind.response_bytes})
    {
        if (range.min > range.max || range.max > max_bytes)
        {
            faults.push_back("call " + kind.name() + ": sizes must be MIN to MAX, at most 67108864 bytes");
        }
    }
}

void check_phase(const phase& checked_phase, std::vector<std::string>& faults)
{
    constexpr double max_calls_per_second = 100'000.0;
    if (checked_phase.length.count() <= 0)
    {
        faults.push_back("phase " + checked_phase.name + ": the length is not positive");
    }
    if (!(checked_phase.calls_per_second >= 0.0) || checked_phase.calls_per_second > max_calls_per_second)
    {
        faults.push_back("phase " + checked_phase.name + ": calls per second must be 0 to 100000");
    }
}

} // namespace

std::vector<std::string> check(const plan& checked)
{
    std::vector<std::string> faults;
    const auto require = [&faults](bool holds, const char* fault)
    {
        if (!holds)
        {
            faults.emplace_back(fault);
        }
    };
    require(!checked.name.empty(), "the name is empty");
    require(!checked.targets.empty(), "no target is given");
    require(!has_invalid_weights(checked.tenants),
            "no tenant is given, or the weights of the tenants are not positive");
    require(!has_invalid_weights(checked.calls), "no call is given, or the weights of the calls are not positive");
    require(!checked.phases.empty(), "no phase is given");
    require(checked.connections > 0, "connections are not positive");
    require(checked.timeout.count() > 0, "the timeout is not positive");
    require(!checked.deadline || checked.deadline->count() > 0, "the deadline is not positive");
    for (const auto& kind : checked.calls)
    {
        check_call(kind, faults);
    }
    for (const auto& checked_phase : checked.phases)
    {
        check_phase(checked_phase, faults);
    }
    return faults;
}

} // namespace poplarport::load
