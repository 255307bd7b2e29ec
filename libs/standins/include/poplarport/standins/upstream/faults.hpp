#pragma once

#include <chrono>      // milliseconds
#include <cstdint>     // uint32_t
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::standins
{

/// @brief Drain behaviour of an upstream.
enum class drain_mode
{
    off,      ///< not draining; accepts requests
    announce, ///< reports that it drains, but still runs new requests and flags them in the ledger
    refuse    ///< reports that it drains, and sheds new requests
};

/// @brief Content of the health and load reports.
enum class report_mode
{
    truthful, ///< the actual state, as old as report_lag
    idle,     ///< healthy, no load
    busy,     ///< healthy, all slots in use and the queue full
    failing   ///< not healthy
};

/// @brief Faults of the upstream stand-in, changeable at run time.
struct faults
{
    drain_mode drain{drain_mode::off};
    report_mode report{report_mode::truthful};
    std::chrono::milliseconds report_lag{0};   ///< age of the state that /health and /load report
    std::chrono::milliseconds report_delay{0}; ///< delay of the responses of /health and /load
    double service_time_factor{1.0};           ///< multiplies service times
    bool shed{false};                          ///< sheds every request with 503 and Poplar-Not-Run: true
    bool fail_fast{false};                     ///< sends status 500 for every request at once
    bool freeze{false};                        ///< starts no request and sends no response, but keeps connections open
    bool close_mid_response{false};            ///< closes the connection in the middle of each response

    bool operator==(const faults&) const = default;
};

/// @brief Applies a JSON object to the faults; absent keys keep their values.
/// @param[in] current current faults
/// @param[in] json    object with keys of `to_json`
/// @return the new faults
/// @throw std::invalid_argument with the key, the value found and the allowed values
[[nodiscard]] faults merge_faults(const faults& current, std::string_view json);

/// @return the faults as a JSON object: drain, report, report_lag_ms, report_delay_ms, straggle, shed, fail_fast,
/// freeze, close_mid_answer
[[nodiscard]] std::string to_json(const faults& active_faults);

} // namespace poplarport::standins
