#include "poplarport/standins/upstream/request_ledger.hpp"

#include <chrono>       // system_clock
#include <system_error> // generic_category, system_error
#include <utility>      // move

#include <nlohmann/json.hpp>

namespace poplarport::standins
{

namespace
{

std::int64_t wall_clock_us()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

const char* reason_of(run_result result)
{
    switch (result)
    {
    case run_result::completed:
        return "completed";
    case run_result::cancelled:
        return "cancelled";
    case run_result::stopped:
        break;
    }
    return "stopped";
}

} // namespace

request_ledger::request_ledger(std::string name, const std::filesystem::path& file)
    : upstream(std::move(name)), last_run(static_cast<std::uint64_t>(wall_clock_us()))
{
    if (file.empty())
    {
        return;
    }
    this->output.open(file, std::ios::app);
    if (!this->output)
    {
        throw std::system_error(errno, std::generic_category(), file.string());
    }
}

std::uint64_t request_ledger::start(const started_request& request)
{
    const auto run = ++this->last_run;
    const nlohmann::json line{{"upstream", this->upstream}, {"event", "start"},
                              {"key", request.key},         {"run", run},
                              {"time_us", wall_clock_us()}, {"method", request.method},
                              {"target", request.target},   {"draining", request.draining}};
    this->write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    return run;
}

void request_ledger::end(std::string_view key, std::uint64_t run, run_result result)
{
    const nlohmann::json line{{"upstream", this->upstream},
                              {"event", "end"},
                              {"key", key},
                              {"run", run},
                              {"time_us", wall_clock_us()},
                              {"completed", result == run_result::completed},
                              {"refused", false},
                              {"reason", reason_of(result)}};
    this->write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void request_ledger::write(const std::string& line)
{
    if (this->output.is_open())
    {
        // The line must reach the kernel before the run goes on; a killed process would lose it otherwise.
        this->output << line << '\n' << std::flush;
    }
}

} // namespace poplarport::standins
