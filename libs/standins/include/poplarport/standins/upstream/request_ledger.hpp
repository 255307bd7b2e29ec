#pragma once

#include <cstdint>     // uint64_t
#include <filesystem>  // path
#include <fstream>     // ofstream
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::standins
{

/// @brief How a request that had started ended.
enum class run_result
{
    completed, ///< the work is done; an answer follows
    cancelled, ///< the caller's connection closed while it ran
    stopped    ///< the stand-in was told to stop
};

/// @brief Ledger of the requests that an upstream ran, one JSON object a line, flushed line by line.
///
/// A start: `{"upstream","event":"start","key","run","time_us","method","target","draining"}`. An end:
/// `{"upstream","event":"end","key","run","time_us","completed","refused","reason"}`; `run` numbers the runs.
class request_ledger
{
  public:
    /// @param[in] name name of the upstream, on each line
    /// @param[in] file file to append to; empty for no ledger
    /// @throw std::system_error when the file cannot be opened
    request_ledger(std::string name, const std::filesystem::path& file);

    /// @brief What the start line says of a request.
    struct started_request
    {
        std::string_view key;
        std::string_view method;
        std::string_view target;
        bool draining{false};
    };

    /// @brief Writes the start of a run, before the run has any effect.
    /// @return number of the run
    std::uint64_t start(const started_request& request);

    /// @brief Writes the end of a run.
    void end(std::string_view key, std::uint64_t run, run_result result);

  private:
    void write(const std::string& line);

    std::string upstream;
    std::ofstream output{};
    std::uint64_t runs; ///< starts at the wall clock, so that a restarted upstream uses new numbers
};

} // namespace poplarport::standins
