#pragma once

#include <chrono>      // nanoseconds
#include <cstdint>     // int64_t, uint64_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::observability
{

/// @brief Importance of a log record.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// @brief Where the log of the process goes.
enum class log_target
{
    standard_error,
    standard_output
};

/// @brief Sets up the log of the process: one JSON record a line.
///
/// A line that the reader of the log does not take at once is dropped and counted.
/// @param[in] least  records below this level are dropped
/// @param[in] target where the lines go
void configure_log(log_level least, log_target target = log_target::standard_error);

/// @brief Changes the level below which records are dropped.
void set_log_level(log_level least);

/// @return whether records of a level are written; asked before a record that would cost time for each request
[[nodiscard]] bool is_logged(log_level level) noexcept;

/// @brief Decides on a record of a single request before it is built; a record that is left out is counted.
/// @return whether the level is written and the limit of such records admits it, see request_log_limit
[[nodiscard]] bool is_request_logged(log_level level, std::string_view id) noexcept;

/// @return records that were not written since the start, because there were too many or the reader was too slow
[[nodiscard]] std::uint64_t dropped_records() noexcept;

/// @return the level of a name (debug, info, warning, error); info for any other text
[[nodiscard]] log_level log_level_from_string(std::string_view name) noexcept;

/// @brief One structured log record.
///
/// A record of a single request is built only when is_request_logged() admits it.
/// Fields must not hold secrets: no credential, no header field of a caller.
class log_record
{
  public:
    /// @param[in] event name of the event, in snake case
    explicit log_record(std::string_view event);
    ~log_record();
    log_record(const log_record&) = delete;
    log_record& operator=(const log_record&) = delete;

    /// @brief Adds a field.
    log_record& with(std::string_view name, std::string_view value);

    /// @brief Adds a numeric field.
    log_record& with(std::string_view name, std::int64_t value);

    /// @brief Adds a duration, in microseconds; the name ends with `_us`.
    log_record& with(std::string_view name, std::chrono::nanoseconds value);

    /// @brief Writes the record.
    void write(log_level level) const;

    /// @return the record as JSON, without time and level
    [[nodiscard]] std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::observability
