#pragma once

#include <cstdint>     // uint64_t
#include <filesystem>  // path
#include <fstream>     // ofstream
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::standins
{

/// @brief How a run of a request ended.
enum class run_result
{
    completed, ///< the work is done; a response follows
    cancelled, ///< the caller's connection closed during the run
    stopped    ///< as cancelled, while the stand-in was stopping
};

/// @brief Ledger of the requests that an upstream ran, one JSON object per line, flushed after each line.
///
/// Members of a start: `{"upstream","event":"start","key","run","time_us","method","target","draining"}`. Members of an
/// end: `{"upstream","event":"end","key","run","time_us","completed","refused","reason"}`. `run` is the run number.
class request_ledger
{
  public:
    /// @param[in] name name of the upstream, written on each line
    /// @param[in] file file to append to; if empty, nothing is written
    /// @throw std::system_error if the file cannot be opened
    request_ledger(std::string name, const std::filesystem::path& file);

    /// @brief Data of a request for its start line.
    struct started_request
    {
        std::string_view key;
        std::string_view method;
        std::string_view target;
        bool draining{false};
    };

    /// @brief Writes the start line of a run; must precede any effect of the run.
    /// @return the run number
    std::uint64_t start(const started_request& request);

    /// @brief Writes the end line of a run.
    void end(std::string_view key, std::uint64_t run, run_result result);

  private:
    void write(const std::string& line);

    std::string upstream;
    std::ofstream output{};
    std::uint64_t last_run; ///< starts at the wall-clock time, so that a restarted upstream reuses no run number
};

} // namespace poplarport::standins
