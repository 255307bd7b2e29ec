#pragma once

#include <chrono>       // milliseconds, seconds
#include <cstddef>      // size_t
#include <functional>   // function
#include <optional>     // optional
#include <random>       // mt19937_64
#include <string>       // string
#include <system_error> // error_code
#include <variant>      // variant
#include <vector>       // vector

#include "poplarport/configuration/errors.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::configuration
{

/// @brief Unique id of an operator's change; reused when the change is applied again after a lost response.
using change_id = std::string;

/// @brief An entry of a document's list of recent changes.
struct change_record
{
    change_id id;
    core::version base{0}; ///< version that the change is based on; zero if it created the object

    bool operator==(const change_record&) const = default;
};

/// @brief A document as stored on the platform, with its recent changes.
struct stored_document
{
    std::string content;
    std::vector<change_record> recent_changes; ///< oldest first, at most `apply_settings::history`

    bool operator==(const stored_document&) const = default;
};

/// @brief Result of reading an object.
struct read_result
{
    core::version version{0};                ///< zero if the object does not exist
    std::optional<stored_document> document; ///< nothing if the object does not exist
};

/// @brief Read the object.
struct read_object
{
};

/// @brief Write the object if its version is still `expected_version`.
struct write_object
{
    stored_document document;
    core::version expected_version{0}; ///< zero: the object must not exist
};

/// @brief Call `tick` at this time.
struct wait_until
{
    core::time_point time;
};

/// @brief The operation has ended.
struct apply_finished
{
    std::error_code code;     ///< empty if the change has taken effect
    core::version version{0}; ///< version that the change produced, otherwise the newest known version
    std::optional<change_record> conflicting_change; ///< for `conflict`: the other change with the same base, if known
};

/// @brief The next action that the owner of an operation must perform.
using apply_action = std::variant<read_object, write_object, wait_until, apply_finished>;

/// @brief Limit of the list of changes, and delays between the retries of an `apply_operation`.
struct apply_settings
{
    /// Maximum number of changes listed in a document. At 35,000 changes per day for 2,200 services this covers about
    /// four days.
    std::size_t history{64};
    /// Initial delay after a failure; doubles with each further one.
    core::duration backoff{std::chrono::milliseconds{200}};
    core::duration backoff_limit{std::chrono::seconds{5}};
};

/// @brief One conditional update of a platform object by an operator.
///
/// The write is conditional on the version on which the change is based, and carries the change id in the document's
/// list of recent changes. After a lost response, the object is read until it shows whether the change took effect: the
/// change is in the list, or another change has the same base, or the version is still the base. In the last case the
/// same conditional write is sent again; both copies together take effect at most once, because a successful write
/// changes the version.
class apply_operation
{
  public:
    /// Creates the new content from the current one, or returns why the change is invalid.
    using edit_function = std::function<std::variant<std::string, std::error_code>(const read_result&)>;

    class builder;

    /// @return the first action
    [[nodiscard]] apply_action start(core::time_point now);

    /// @brief Processes the result of a read.
    [[nodiscard]] apply_action on_read(const read_result& result);

    /// @brief Processes a read that failed or whose response was lost.
    [[nodiscard]] apply_action on_read_failed(core::time_point now, std::mt19937_64& random_engine);

    /// @brief Processes a write that the platform confirmed.
    /// @param[in] version the new version
    [[nodiscard]] apply_action on_written(core::version version);

    /// @brief Processes a write that the platform refused by version.
    ///
    /// An earlier copy of the write may have taken effect, so the object is read before a conflict is reported.
    [[nodiscard]] apply_action on_precondition_failed();

    /// @brief Processes a write whose response was lost, or whose failure leaves its effect unknown (503, 429, a closed
    ///        connection).
    [[nodiscard]] apply_action on_write_lost(core::time_point now, std::mt19937_64& random_engine);

    /// @return the next read, or the end of the operation if the deadline has passed
    [[nodiscard]] apply_action tick(core::time_point now);

    /// @return the result, or nothing while the operation is in progress
    [[nodiscard]] const std::optional<apply_finished>& result() const noexcept
    {
        return this->final_result;
    }

  private:
    apply_operation(change_id id, std::optional<core::version> base_version, edit_function make_content,
                    core::time_point end_time, const apply_settings& settings);

    [[nodiscard]] apply_action handle_first_read(const read_result& result);
    [[nodiscard]] apply_action handle_read_back(const read_result& result);
    [[nodiscard]] apply_action finish(std::error_code code, core::version version,
                                      std::optional<change_record> conflicting_change = std::nullopt);
    [[nodiscard]] apply_action retry_later(core::time_point now, std::mt19937_64& random_engine);
    [[nodiscard]] std::error_code code_without_response() const noexcept;

    change_id change;
    std::optional<core::version> base;
    edit_function edit;
    core::time_point deadline;
    apply_settings active_settings;
    std::optional<write_object> sent_write; ///< set once it has been sent
    std::size_t failures{0};
    std::optional<apply_finished> final_result;
};

/// @brief Builder of an operation.
class apply_operation::builder
{
  public:
    builder& change(change_id new_id);

    /// @param[in] version version that the operator saw, zero if the object must not exist; without this call, the
    ///                    change is based on the first version read
    builder& based_on(core::version version);

    /// @param[in] function creates and validates the new content
    builder& edit(edit_function function);

    /// @param[in] time time at which the operation stops
    builder& deadline(core::time_point time);

    builder& settings(const apply_settings& new_settings);

    [[nodiscard]] apply_operation build() const;

  private:
    change_id id;
    std::optional<core::version> base;
    edit_function make_content;
    core::time_point end_time;
    apply_settings active_settings;
};

} // namespace poplarport::configuration
