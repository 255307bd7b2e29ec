#pragma once

#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

#include "poplarport/core/outcome.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::observability
{

/// @brief The metrics of a process, kept in a prometheus-cpp core registry.
class metrics
{
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Counts a completed call and records its latency in the histogram of its tenant and class.
    ///
    /// The number of label pairs (tenant, class) is limited to bound memory; further pairs share the label "other".
    void count_call(std::string_view tenant, std::string_view traffic_class, core::outcome outcome,
                    core::duration latency);

    /// @brief Counts a request that was refused before it became a call.
    /// @param[in] code numeric result code
    void count_refusal(int code);

    /// @brief Registers a gauge that is read each time the metrics are exported.
    /// @param[in] name       Prometheus metric name, including its unit
    /// @param[in] help       description, one sentence
    /// @param[in] read_value returns the current value
    void add_gauge(const std::string& name, const std::string& help, std::function<double()> read_value);

    /// @return all metrics in the Prometheus text format
    [[nodiscard]] std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::observability
