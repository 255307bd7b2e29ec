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

/// @brief Outcome of a call, as its caller sees it.
enum class call_outcome
{
    answered,
    not_run,
    unknown,
    refused ///< an HTTP response that neither states an outcome nor comes from an upstream
};

/// @return the name of an outcome in ledgers and reports
[[nodiscard]] std::string_view to_string(call_outcome outcome) noexcept;

/// @return the outcome with a name, or nothing if there is none
[[nodiscard]] std::optional<call_outcome> call_outcome_from_string(std::string_view text) noexcept;

/// @brief Evidence that determined an outcome.
enum class evidence
{
    field,      ///< the header field Poplar-Outcome
    upstream,   ///< a response of the upstream itself, with the key of the call or with Poplar-Not-Run
    http,       ///< only the HTTP status
    connection, ///< the connection was lost
    timeout,    ///< the call timed out
    not_sent    ///< no byte of the request was sent
};

/// @return the name of a kind of evidence in ledgers
[[nodiscard]] std::string_view to_string(evidence source) noexcept;

/// @brief A call to be sent.
struct sent_call
{
    std::string key{};
    std::string target{};
    std::string tenant{};
    std::string kind{};
    std::string phase{};
    bool repeatable{true};
    std::chrono::microseconds scheduled_at{0}; ///< wall-clock time
};

/// @brief Outcome of a call and its evidence.
struct ended_call
{
    call_outcome outcome{call_outcome::unknown};
    evidence based_on{evidence::connection};
    int status{0};                        ///< HTTP status; zero if there was no response
    std::string code{};                   ///< value of the header field Poplar-Code, or message of a local error
    std::chrono::microseconds latency{0}; ///< measured from the scheduled time
    std::optional<bool> body_matched{};   ///< only for answered calls
};

/// @brief Ledger of the calls of a run, one JSON object per line, flushed after each line.
///
/// `{"event":"sent",...}` is written before a call is sent and `{"event":"outcome",...}` after its end, so that a call
/// without an outcome can be detected even if the load tool was killed.
class call_ledger
{
  public:
    /// @param[in] file file to append to; if empty, nothing is written
    /// @throw std::system_error if the file cannot be opened
    explicit call_ledger(const std::filesystem::path& file);

    /// @brief Writes the `sent` line of a call; must precede its sending.
    void write_sent(const sent_call& call);

    /// @brief Writes the `outcome` line of a call.
    void write_ended(const sent_call& call, const ended_call& end);

  private:
    void write(const std::string& line);

    std::ofstream output{};
};

} // namespace poplarport::load
