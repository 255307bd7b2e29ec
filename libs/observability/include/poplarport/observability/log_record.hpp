#pragma once

#include <chrono>      // nanoseconds
#include <cstdint>     // int64_t, uint64_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::observability
{

/// @brief Severity of a log record.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// @brief Output stream of the process log.
enum class log_target
{
    standard_error,
    standard_output
};

/// @brief Configures the process log, which has one JSON record per line.
///
/// Writing never blocks: a line that the reader of the log does not accept at once is dropped and counted.
/// @param[in] min_level minimum level; records below it are discarded
/// @param[in] target    output stream
void configure_log(log_level min_level, log_target target = log_target::standard_error);

/// @brief Sets the minimum level; records below it are discarded.
void set_log_level(log_level min_level);

/// @return whether records of a level are written; check this before building a costly record on the request path
[[nodiscard]] bool is_logged(log_level level) noexcept;

/// @brief Decides whether to build a record of a single request; a record that is left out is counted as dropped.
/// @param[in] level level of the record
/// @param[in] id    id of the request
/// @return whether the level is written and the rate limit admits the record, see request_log_limit
[[nodiscard]] bool is_request_logged(log_level level, std::string_view id) noexcept;

/// @return number of records dropped since the start of the process, by the rate limit or because the reader of the log
/// was too slow
[[nodiscard]] std::uint64_t dropped_records() noexcept;

/// @return the level with a given name (debug, info, warning, error), or info for any other text
[[nodiscard]] log_level log_level_from_string(std::string_view name) noexcept;

/// @brief One structured log record.
///
/// Build a record of a single request only when is_request_logged() admits it. Fields must not contain secrets: no
/// credentials and no header fields of callers.
class log_record
{
  public:
    /// @param[in] event name of the event, in snake case
    explicit log_record(std::string_view event);
    ~log_record();
    log_record(const log_record&) = delete;
    log_record& operator=(const log_record&) = delete;

    log_record& with(std::string_view name, std::string_view value);

    log_record& with(std::string_view name, std::int64_t value);

    /// @brief Adds a duration in microseconds; the field name must end with `_us`.
    log_record& with(std::string_view name, std::chrono::nanoseconds value);

    void write(log_level level) const;

    /// @return the record as JSON, without its time and level
    [[nodiscard]] std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::observability
