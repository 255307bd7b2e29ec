#pragma once

#include <chrono>     // microseconds
#include <cstddef>    // size_t
#include <filesystem> // path
#include <iosfwd>     // istream, ostream
#include <map>        // map
#include <string>     // string
#include <vector>     // vector

#include "poplarport/load/call_record.hpp"

namespace poplarport::load
{

/// @brief Summary of joined ledgers. The four lists of keys must be empty.
struct join_summary
{
    std::size_t sent{0};
    std::size_t answered{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t refused{0};                   ///< HTTP responses without an outcome; not printed by to_line()
    std::vector<std::string> lost{};          ///< no outcome, or reported as answered and completed by no upstream
    std::vector<std::string> doubled{};       ///< not repeatable, but started more than once
    std::vector<std::string> crossed{};       ///< answered with a body of another request
    std::vector<std::string> false_not_run{}; ///< reported as not run, but started by an upstream
    std::chrono::microseconds p50{0};         ///< median latency of the answered calls, from their scheduled times
    std::chrono::microseconds p99{0};

    /// @return whether the four lists of keys are empty
    [[nodiscard]] bool is_clean() const noexcept;
};

/// @brief Joins the ledgers of load tools and of upstreams by the keys of the calls.
class ledger_join
{
  public:
    /// @brief Reads the ledger of a load tool.
    /// @param[in] input JSON lines; an incomplete last line, which a killed process may leave, is skipped
    /// @param[in] name  name of the file in error messages
    /// @throw std::invalid_argument for any other line that is not a valid record, and for a key that was sent twice
    void add_load(std::istream& input, const std::string& name);

    /// @brief Reads the ledger of an upstream; a key may occur in several runs.
    /// @param[in] input JSON lines; an incomplete last line, which a killed process may leave, is skipped
    /// @param[in] name  name of the file in error messages
    /// @throw std::invalid_argument for any other line that is not a valid record
    void add_upstream(std::istream& input, const std::string& name);

    /// @return the summary of the ledgers read so far
    [[nodiscard]] join_summary summary() const;

    /// @brief Writes all ledger lines with a key.
    void explain(const std::string& key, std::ostream& output) const;

  private:
    struct run
    {
        bool completed{false};
        bool refused{false}; ///< refused before it ran; not counted as a start
    };

    struct call
    {
        bool sent{false};
        bool repeatable{true};
        std::optional<call_outcome> outcome{};
        bool body_matched{true};
        std::chrono::microseconds latency{0};
        std::map<std::string, run> runs{}; ///< by upstream and run number
        std::vector<std::string> lines{};
    };

    void evaluate_call(const std::string& key, const call& joined, join_summary& result) const;

    std::map<std::string, call> calls{};
};

/// @return the summary as one line: `sent=N answered=N not_run=N unknown=N lost=N doubled=N crossed=N false_not_run=N
/// p50_ms=F p99_ms=F`
[[nodiscard]] std::string to_line(const join_summary& result);

} // namespace poplarport::load
