#include <csignal>  // SIGINT, SIGTERM
#include <fstream>  // ofstream
#include <iostream> // cerr, cout
#include <optional> // optional

#include <sysexits.h>
#include <unistd.h>

#include "commands.hpp"
#include "poplarport/load/report.hpp"
#include "poplarport/load/runner.hpp"
#include "poplarport/net/signal_watch.hpp"
#include "poplarport/net/timer.hpp"
#include "run_options.hpp"

namespace poplarport::load
{

namespace
{

constexpr std::size_t descriptor_limit = 16384;
constexpr std::chrono::seconds progress_interval{1};

// Prints the progress on one line of the terminal, which is rewritten each second.
class progress_line
{
  public:
    progress_line(net::event_loop& loop, const runner& observed_runner)
        : observed(&observed_runner), print_timer(loop, [this] { this->print(); }),
          enabled(::isatty(STDERR_FILENO) == 1)
    {
        if (this->enabled)
        {
            this->print_timer.schedule(progress_interval);
        }
    }

    void finish() const
    {
        if (this->enabled)
        {
            std::cerr << '\n';
        }
    }

  private:
    void print()
    {
        const auto current = this->observed->progress();
        const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(current.elapsed);
        std::cerr << '\r' << elapsed.count() << " s: sent " << current.sent << ", ended " << current.ended
                  << ", waiting " << current.waiting_for_connection << "   " << std::flush;
        this->print_timer.schedule(progress_interval);
    }

    const runner* observed;
    net::timer print_timer;
    bool enabled;
};

bool write_file(const std::filesystem::path& file, const std::string& text)
{
    if (file.empty())
    {
        return true;
    }
    std::ofstream output{file};
    output << text << std::flush;
    if (!output)
    {
        std::cerr << "poplar-load: cannot write " << file.string() << '\n';
    }
    return static_cast<bool>(output);
}

int run(const run_request& request)
{
    call_ledger ledger{request.ledger};
    net::event_loop loop{net::event_loop::options{.max_descriptors = descriptor_limit}};
    runner calls{loop, request.run_plan, ledger,
                 [&loop]
                 {
                     loop.stop();
                 }};
    const net::signal_watch signals{loop,
                                    {SIGINT, SIGTERM},
                                    [&calls](int)
                                    {
                                        calls.stop();
                                    }};
    const progress_line progress{loop, calls};
    calls.start();
    loop.run();
    progress.finish();
    const auto result = summarise(request.run_plan, calls.samples(), calls.pauses());
    std::cout << to_text(result);
    const bool json_written = write_file(request.json_report, to_json(result));
    const bool svg_written = write_file(request.svg_report, to_svg(result));
    return json_written && svg_written ? EX_OK : EX_CANTCREAT;
}

} // namespace

int run_command(int argc, char** argv)
{
    auto options = make_run_options();
    run_request request;
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            std::cout << options.help();
            return EX_OK;
        }
        if (parsed.count("version") != 0)
        {
            std::cout << "poplar-load " << POPLARPORT_VERSION << '\n';
            return EX_OK;
        }
        request = read_run_request(parsed);
    }
    catch (const settings_fault& fault)
    {
        std::cerr << "poplar-load: " << fault.what() << '\n';
        return EX_CONFIG;
    }
    catch (const std::exception& fault)
    {
        std::cerr << "poplar-load: " << fault.what() << '\n';
        return EX_USAGE;
    }
    const auto faults = check(request.run_plan);
    for (const auto& fault : faults)
    {
        std::cerr << "poplar-load: " << fault << '\n';
    }
    if (!faults.empty())
    {
        return EX_CONFIG;
    }
    return request.check_settings ? EX_OK : run(request);
}

} // namespace poplarport::load
