#include "poplarport/configuration/apply_operation.hpp"

#include <algorithm> // min, ranges::find
#include <cassert>   // assert
#include <iterator>  // next
#include <utility>   // move

namespace poplarport::configuration
{

namespace
{

/// @brief Finds the version that a change produced.
/// @return the base of the change that follows it, the present version when none does, nothing for an unlisted change
std::optional<core::version> version_of_change(const std::vector<change_record>& changes, const change_id& id,
                                               core::version present)
{
    const auto found = std::ranges::find(changes, id, &change_record::id);
    if (found == changes.end())
    {
        return std::nullopt;
    }
    const auto following = std::next(found);
    return following == changes.end() ? present : following->base;
}

} // namespace

apply_operation::apply_operation(change_id id, std::optional<core::version> base_version, edit_function make_content,
                                 core::time_point end, const apply_settings& settings)
    : change(std::move(id)), base(base_version), edit(std::move(make_content)), deadline(end), limits(settings)
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
    if (this->ending)
    {
        return *this->ending;
    }
    this->failures = 0;
    return this->write ? this->read_back(result) : this->first_read(result);
}

apply_action apply_operation::on_read_failed(core::time_point now, std::mt19937_64& random)
{
    return this->wait(now, random);
}

apply_action apply_operation::on_written(core::version version)
{
    return this->ending ? apply_action{*this->ending} : this->finish({}, version);
}

apply_action apply_operation::on_precondition_failed()
{
    return this->ending ? apply_action{*this->ending} : apply_action{read_object{}};
}

apply_action apply_operation::on_write_lost(core::time_point now, std::mt19937_64& random)
{
    return this->wait(now, random);
}

apply_action apply_operation::tick(core::time_point now)
{
    if (this->ending)
    {
        return *this->ending;
    }
    if (now >= this->deadline)
    {
        return this->finish(this->code_without_response(), 0);
    }
    return read_object{};
}

apply_action apply_operation::first_read(const read_result& result)
{
    const auto changes = result.document ? result.document->recent_changes : std::vector<change_record>{};
    if (const auto own = version_of_change(changes, this->change, result.version))
    {
        // An earlier run with this change id took effect and lost its answer.
        return this->finish({}, *own);
    }
    if (this->base && *this->base != result.version)
    {
        const auto conflicting_change = std::ranges::find(changes, *this->base, &change_record::base);
        return this->finish(error::conflict, result.version,
                            conflicting_change == changes.end() ? std::nullopt : std::optional{*conflicting_change});
    }
    auto made = this->edit(result);
    if (const auto* fault = std::get_if<std::error_code>(&made))
    {
        return this->finish(*fault, result.version);
    }
    this->base = result.version;
    stored_document document{std::get<std::string>(std::move(made)), changes};
    document.recent_changes.push_back({this->change, result.version});
    const auto size = document.recent_changes.size();
    const auto surplus = size - std::min(size, this->limits.history);
    document.recent_changes.erase(document.recent_changes.begin(),
                                  document.recent_changes.begin() + static_cast<std::ptrdiff_t>(surplus));
    this->write = write_object{std::move(document), result.version};
    return *this->write;
}

apply_action apply_operation::read_back(const read_result& result)
{
    const auto changes = result.document ? result.document->recent_changes : std::vector<change_record>{};
    if (const auto own = version_of_change(changes, this->change, result.version))
    {
        return this->finish({}, *own);
    }
    if (result.version == *this->base)
    {
        return *this->write;
    }
    const auto conflicting_change = std::ranges::find(changes, *this->base, &change_record::base);
    if (conflicting_change != changes.end())
    {
        return this->finish(error::conflict, result.version, *conflicting_change);
    }
    // The list of recent changes does not reach back to the base, so it does not show what followed it.
    return this->finish(error::undetermined, result.version);
}

apply_action apply_operation::finish(std::error_code code, core::version version,
                                     std::optional<change_record> conflicting_change)
{
    assert(!this->ending);
    this->ending = apply_finished{code, version, std::move(conflicting_change)};
    return *this->ending;
}

apply_action apply_operation::wait(core::time_point now, std::mt19937_64& random)
{
    if (this->ending)
    {
        return *this->ending;
    }
    if (now >= this->deadline)
    {
        return this->finish(this->code_without_response(), 0);
    }
    constexpr std::size_t highest_shift = 16;
    const auto shift = std::min(this->failures, highest_shift);
    const auto bound = std::min(this->limits.backoff * (std::int64_t{1} << shift), this->limits.backoff_limit);
    ++this->failures;
    const auto half = bound.count() / 2;
    const core::duration pause{half + std::uniform_int_distribution<core::duration::rep>{0, half}(random)};
    return wait_until{std::min(now + pause, this->deadline)};
}

std::error_code apply_operation::code_without_response() const noexcept
{
    return this->write ? error::undetermined : error::platform_unavailable;
}

apply_operation::builder& apply_operation::builder::change(change_id value)
{
    this->id = std::move(value);
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
    this->end = time;
    return *this;
}

apply_operation::builder& apply_operation::builder::settings(const apply_settings& value)
{
    this->limits = value;
    return *this;
}

apply_operation apply_operation::builder::build() const
{
    assert(!this->id.empty());
    assert(this->make_content);
    return {this->id, this->base, this->make_content, this->end, this->limits};
}

} // namespace poplarport::configuration
