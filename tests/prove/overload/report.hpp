#pragma once

#include <string> // string

#include <nlohmann/json.hpp>

#include "small_system.hpp"

namespace poplarport::prove
{

/// @brief The JSON report of a poplar-load run.
class report
{
  public:
    report(const small_system& system, const std::string& name)
        : content(nlohmann::json::parse(test::read_file(system.scratch().file(name + ".json"))))
    {
    }

    /// @return fraction of calls that were answered
    [[nodiscard]] double goodput() const
    {
        const auto& total = this->content["total"];
        return total["answered"].get<double>() / total["calls"].get<double>();
    }

    /// @return this report without the calls that were due or in progress while poplar-load itself did not run
    [[nodiscard]] report without_pauses() const
    {
        auto result = *this;
        result.content["total"] = this->content["undisturbed"];
        return result;
    }

    [[nodiscard]] double calls() const
    {
        return this->content["total"]["calls"].get<double>();
    }

    /// @return the 99th percentile of the latency of answered calls in ms
    [[nodiscard]] double p99_ms() const
    {
        return this->content["total"]["latency_ms"]["p99"].get<double>();
    }

    /// @return one entry per second of the run: second, calls, answered, p99_ms
    [[nodiscard]] const nlohmann::json& seconds() const
    {
        return this->content["seconds"];
    }

    [[nodiscard]] std::string text() const
    {
        return "goodput " + std::to_string(this->goodput()) + ", p99 " + std::to_string(this->p99_ms()) + " ms";
    }

  private:
    nlohmann::json content;
};

} // namespace poplarport::prove
