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

/// @brief Counts over joined ledgers. The last four must be zero.
struct verdict
{
    std::size_t sent{0};
    std::size_t answered{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t refused{0};                   ///< HTTP answers without an outcome, not printed on the verdict's line
    std::vector<std::string> lost{};          ///< no outcome, or told "answered" and never completed at an upstream
    std::vector<std::string> doubled{};       ///< not repeatable and started more than once
    std::vector<std::string> crossed{};       ///< answered with bytes that do not belong to the request
    std::vector<std::string> false_not_run{}; ///< told "not run" and started at an upstream
    std::chrono::microseconds p50{0};         ///< latency of the answered calls, from their scheduled times
    std::chrono::microseconds p99{0};

    /// @return whether the four lists are empty
    [[nodiscard]] bool is_clean() const noexcept;
};

/// @brief Joins ledgers of load tools with ledgers of upstreams by the calls' keys.
class ledger_join
{
  public:
    /// @brief Reads a ledger of a load tool.
    /// @param[in] input JSON lines; an incomplete last line, as a killed process leaves it, is skipped
    /// @param[in] name  name of the file, for messages
    /// @throw std::invalid_argument for any other line that is not a record, and for a key that was sent twice
    void add_load(std::istream& input, const std::string& name);

    /// @brief Reads a ledger of an upstream; as add_load.
    void add_upstream(std::istream& input, const std::string& name);

    /// @return the counts over what was read
    [[nodiscard]] verdict judge() const;

    /// @brief Writes the ledger lines of a key.
    void explain(const std::string& key, std::ostream& output) const;

  private:
    struct run
    {
        bool completed{false};
        bool refused{false}; ///< ended as refused before it ran; does not count as a start
    };

    struct call
    {
        bool sent{false};
        bool repeatable{true};
        std::optional<call_outcome> outcome{};
        bool body_matched{true};
        std::chrono::microseconds latency{0};
        std::map<std::string, run> runs{}; ///< by upstream and number of the run
        std::vector<std::string> lines{};
    };

    void judge_call(const std::string& key, const call& judged, verdict& result) const;

    std::map<std::string, call> calls{};
};

/// @return the verdict's line: `sent=N answered=N not_run=N unknown=N lost=N doubled=N crossed=N false_not_run=N
/// p50_ms=F p99_ms=F`
[[nodiscard]] std::string to_line(const verdict& result);

} // namespace poplarport::load
