#include "poplarport/store/restore_detector.hpp"

#include <utility> // exchange, move

#include "poplarport/store/errors.hpp"

namespace poplarport::store
{

namespace
{

// Responses of a lower era that a wrong one alone does not explain.
constexpr int responses_for_lower_era = 3;

} // namespace

void restore_detector::on_restored(std::function<void()> hook)
{
    this->hooks.push_back(std::move(hook));
}

bool restore_detector::accept(era stated, era at_send)
{
    if (stated < this->present)
    {
        this->lower_in_succession += at_send == this->present ? 1 : 0;
        if (this->lower_in_succession < responses_for_lower_era)
        {
            return false;
        }
    }
    this->lower_in_succession = 0;
    const auto previous = std::exchange(this->present, stated);
    if (previous != 0 && previous != stated)
    {
        for (const auto& hook : this->hooks)
        {
            hook();
        }
    }
    return true;
}

outcome<object> restore_detector::check(const position& condition, outcome<object> result) const
{
    const bool proves_nothing = result.value && this->is_restored_since(condition);
    return proves_nothing ? outcome<object>{std::nullopt, errc::restored, std::nullopt} : std::move(result);
}

} // namespace poplarport::store
