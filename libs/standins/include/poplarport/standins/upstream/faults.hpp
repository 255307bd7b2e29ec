#pragma once

#include <chrono>      // milliseconds
#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::standins
{

/// @brief What a draining upstream does.
enum class drain_mode
{
    off,      ///< takes requests
    announce, ///< reports that it drains and still runs what arrives, marked in the ledger
    refuse    ///< reports that it drains and sheds new requests
};

/// @brief What the health and load reports say.
enum class report_mode
{
    truthful, ///< the state at the time that the lag asks for
    idle,     ///< healthy and without load
    busy,     ///< healthy, all slots in use and a full queue
    failing   ///< not healthy
};

/// @brief Behaviour that can be changed while the stand-in runs.
struct faults
{
    drain_mode drain{drain_mode::off};
    report_mode report{report_mode::truthful};
    std::chrono::milliseconds report_lag{0};   ///< age of the state that /health and /load show
    std::chrono::milliseconds report_delay{0}; ///< time before /health and /load answer
    double straggle{1.0};                      ///< factor on service times
    bool shed{false};                          ///< sheds every request with 503 and Poplar-Not-Run: true
    bool fail_fast{false};                     ///< answers every request with 500 at once
    bool freeze{false};                        ///< neither starts nor answers anything, without closing
    bool close_mid_answer{false};              ///< closes the connection in the middle of each answer

    bool operator==(const faults&) const = default;
};

/// @brief Applies a JSON object to the faults; keys that it does not name keep their values.
/// @param[in] current values so far
/// @param[in] json    object with keys of `to_json`
/// @return the new values
/// @throw std::invalid_argument with the key, the value found and the values allowed
[[nodiscard]] faults merge_faults(const faults& current, std::string_view json);

/// @return the faults as a JSON object: drain, report, report_lag_ms, report_delay_ms, straggle, shed, fail_fast,
/// freeze, close_mid_answer
[[nodiscard]] std::string to_json(const faults& values);

} // namespace poplarport::standins
