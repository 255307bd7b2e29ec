#pragma once

#include <chrono>      // microseconds
#include <cstdint>     // int64_t
#include <filesystem>  // path
#include <fstream>     // ofstream
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::load
{

/// @brief How a call ended for its caller.
enum class call_outcome
{
    answered,
    not_run,
    unknown,
    refused ///< an HTTP answer that neither states an outcome nor comes from an upstream
};

/// @brief Name used in ledgers and reports.
[[nodiscard]] std::string_view to_string(call_outcome value) noexcept;

/// @brief Parses the name of an outcome.
[[nodiscard]] std::optional<call_outcome> call_outcome_from_string(std::string_view text) noexcept;

/// @brief What an outcome is based on.
enum class evidence
{
    field,      ///< the field Poplar-Outcome
    upstream,   ///< an answer of the upstream itself, with its key or with Poplar-Not-Run
    http,       ///< an HTTP status alone
    connection, ///< the connection broke
    timeout,    ///< the call was given up
    not_sent    ///< no byte of the request was sent
};

/// @brief Name used in ledgers.
[[nodiscard]] std::string_view to_string(evidence value) noexcept;

/// @brief A call that is about to be sent.
struct sent_call
{
    std::string key{};
    std::string target{};
    std::string tenant{};
    std::string kind{};
    std::string phase{};
    bool repeatable{true};
    std::chrono::microseconds scheduled_at{0}; ///< wall clock
};

/// @brief The end of a call.
struct ended_call
{
    call_outcome outcome{call_outcome::unknown};
    evidence based_on{evidence::connection};
    int status{0};                        ///< HTTP status, zero without an answer
    std::string code{};                   ///< the field Poplar-Code, or the text of a local error
    std::chrono::microseconds latency{0}; ///< from the scheduled time
    std::optional<bool> body_matched{};   ///< for answered calls
};

/// @brief Ledger of the calls that were made, one JSON object a line, flushed line by line.
///
/// `{"event":"sent",...}` before the call is sent and `{"event":"outcome",...}` after its end, so that a call without
/// an outcome is visible even when the load tool was killed.
class call_ledger
{
  public:
    /// @param[in] file file to append to; empty for no ledger
    /// @throw std::system_error when the file cannot be opened
    explicit call_ledger(const std::filesystem::path& file);

    /// @brief Writes the line before a call.
    void write_sent(const sent_call& call);

    /// @brief Writes the line after a call.
    void write_ended(const sent_call& call, const ended_call& end);

  private:
    void write(const std::string& line);

    std::ofstream output{};
};

} // namespace poplarport::load
