#include "poplarport/configuration/apply_operation.hpp"

#include <algorithm> // min, ranges::find
#include <cassert>   // assert
#include <iterator>  // next
#include <utility>   // move

#include "poplarport/configuration/stored_version.hpp"

namespace poplarport::configuration
{

namespace
{

/// @brief Finds the version that a change produced.
/// @return the base of the next listed change, the current version for the last one, or nothing for an unlisted change
std::optional<core::version> version_of_change(const std::vector<change_record>& changes, const change_id& id,
                                               core::version current_version)
{
    const auto found = std::ranges::find(changes, id, &change_record::id);
    if (found == changes.end())
    {
        return std::nullopt;
    }
    const auto next_change = std::next(found);
    return next_change == changes.end() ? current_version : next_change->base;
}

bool is_from_before_restore(core::version base, core::version present)
{
    return base != 0 && present != 0 && restores_before(base) < restores_before(present);
}

} // namespace

apply_operation::apply_operation(change_id id, std::optional<core::version> base_version, edit_function make_content,
                                 core::time_point end_time, const apply_settings& settings)
    : change(std::move(id)), base(base_version), edit(std::move(make_content)), deadline(end_time),
      active_settings(settings)
{
}

apply_action apply_operation::start(core::time_point now)
{
    if (now >= this->deadline)
    {
        return this->finish(error::platform_unavailable, 0);
    }
    return read_object{};
}

apply_action apply_operation::on_read(const read_result& result)
{
    if (this->final_result)
    {
        return *this->final_result;
    }
    this->failures = 0;
    return this->sent_write ? this->handle_read_back(result) : this->handle_first_read(result);
}

apply_action apply_operation::on_read_failed(core::time_point now, std::mt19937_64& random_engine)
{
    return this->retry_later(now, random_engine);
}

apply_action apply_operation::on_written(core::version version)
{
    return this->final_result ? apply_action{*this->final_result} : this->finish({}, version);
}

apply_action apply_operation::on_precondition_failed()
{
    return this->final_result ? apply_action{*this->final_result} : apply_action{read_object{}};
}

apply_action apply_operation::on_write_lost(core::time_point now, std::mt19937_64& random_engine)
{
    return this->retry_later(now, random_engine);
}

apply_action apply_operation::tick(core::time_point now)
{
    if (this->final_result)
    {
        return *this->final_result;
    }
    if (now >= this->deadline)
    {
        return this->finish(this->code_without_response(), 0);
    }
    return read_object{};
}

apply_action apply_operation::handle_first_read(const read_result& result)
{
    const auto changes = result.document ? result.document->recent_changes : std::vector<change_record>{};
    if (const auto produced_version = version_of_change(changes, this->change, result.version))
    {
        // An earlier operation with this change id took effect, but its response was lost.
        return this->finish({}, *produced_version);
    }
    if (this->base && is_from_before_restore(*this->base, result.version))
    {
        return this->finish(error::restored, result.version);
    }
    if (this->base && *this->base != result.version)
    {
        const auto conflicting_change = std::ranges::find(changes, *this->base, &change_record::base);
        return this->finish(error::conflict, result.version,
                            conflicting_change == changes.end() ? std::nullopt : std::optional{*conflicting_change});
    }
    auto new_content = this->edit(result);
    if (const auto* edit_error = std::get_if<std::error_code>(&new_content))
    {
        return this->finish(*edit_error, result.version);
    }
    this->base = result.version;
    stored_document document{std::get<std::string>(std::move(new_content)), changes};
    document.recent_changes.push_back({this->change, result.version});
    const auto size = document.recent_changes.size();
    const auto excess = size - std::min(size, this->active_settings.history);
    document.recent_changes.erase(document.recent_changes.begin(),
                                  document.recent_changes.begin() + static_cast<std::ptrdiff_t>(excess));
    this->sent_write = write_object{std::move(document), result.version};
    return *this->sent_write;
}

apply_action apply_operation::handle_read_back(const read_result& result)
{
    const auto changes = result.document ? result.document->recent_changes : std::vector<change_record>{};
    if (const auto produced_version = version_of_change(changes, this->change, result.version))
    {
        return this->finish({}, *produced_version);
    }
    if (is_from_before_restore(*this->base, result.version))
    {
        // The write is in no copy: the platform refused it, or lost it with all that was written since the copy.
        return this->finish(error::restored, result.version);
    }
    if (result.version == *this->base)
    {
        return *this->sent_write;
    }
    const auto conflicting_change = std::ranges::find(changes, *this->base, &change_record::base);
    if (conflicting_change != changes.end())
    {
        return this->finish(error::conflict, result.version, *conflicting_change);
    }
    // The list of recent changes does not reach back to the base, so it does not show which change followed it.
    return this->finish(error::undetermined, result.version);
}

apply_action apply_operation::finish(std::error_code code, core::version version,
                                     std::optional<change_record> conflicting_change)
{
    assert(!this->final_result);
    this->final_result = apply_finished{code, version, std::move(conflicting_change)};
    return *this->final_result;
}

apply_action apply_operation::retry_later(core::time_point now, std::mt19937_64& random_engine)
{
    if (this->final_result)
    {
        return *this->final_result;
    }
    if (now >= this->deadline)
    {
        return this->finish(this->code_without_response(), 0);
    }
    constexpr std::size_t max_shift = 16;
    const auto shift = std::min(this->failures, max_shift);
    const auto max_delay =
        std::min(this->active_settings.backoff * (std::int64_t{1} << shift), this->active_settings.backoff_limit);
    ++this->failures;
    const auto half = max_delay.count() / 2;
    const core::duration delay{half + std::uniform_int_distribution<core::duration::rep>{0, half}(random_engine)};
    return wait_until{std::min(now + delay, this->deadline)};
}

std::error_code apply_operation::code_without_response() const noexcept
{
    return this->sent_write ? error::undetermined : error::platform_unavailable;
}

apply_operation::builder& apply_operation::builder::change(change_id new_id)
{
    this->id = std::move(new_id);
    return *this;
}

apply_operation::builder& apply_operation::builder::based_on(core::version version)
{
    this->base = version;
    return *this;
}

apply_operation::builder& apply_operation::builder::edit(edit_function function)
{
    this->make_content = std::move(function);
    return *this;
}

apply_operation::builder& apply_operation::builder::deadline(core::time_point time)
{
    this->end_time = time;
    return *this;
}

apply_operation::builder& apply_operation::builder::settings(const apply_settings& new_settings)
{
    this->active_settings = new_settings;
    return *this;
}

apply_operation apply_operation::builder::build() const
{
    assert(!this->id.empty());
    assert(this->make_content);
    return {this->id, this->base, this->make_content, this->end_time, this->active_settings};
}

} // namespace poplarport::configuration
