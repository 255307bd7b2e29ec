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

/// @brief The metrics of a process, over prometheus-cpp's core registry.
class metrics
{
  public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Counts a call that ended and adds its latency to the histogram of its tenant and class.
    ///
    /// Beyond a bounded number of pairs of tenant and class the label "other" is used, so that memory stays bounded.
    void count_call(std::string_view tenant, std::string_view traffic_class, core::outcome outcome,
                    core::duration latency);

    /// @brief Counts a request that was refused before it became a call.
    /// @param[in] code number of the result code
    void count_refusal(int code);

    /// @brief Adds a value that is read whenever the metrics are shown.
    /// @param[in] name  name in Prometheus' form, with its unit
    /// @param[in] help  one sentence
    /// @param[in] value reads the value
    void add_gauge(const std::string& name, const std::string& help, std::function<double()> value);

    /// @return all metrics in Prometheus' text format
    [[nodiscard]] std::string text() const;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::observability
