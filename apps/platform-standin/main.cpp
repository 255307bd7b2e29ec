#include <csignal>  // SIGINT, SIGTERM
#include <iostream> // cerr, cout

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/signal_watch.hpp"
#include "poplarport/settings/address_options.hpp"
#include "poplarport/settings/program.hpp"
#include "poplarport/standins/platform/platform_server.hpp"

using namespace poplarport;

namespace
{

void add_options(cxxopts::Options& options)
{
    auto add = options.add_options();
    add("listen", "address of the object API", cxxopts::value<std::string>()->default_value("127.0.0.1:0"),
        "HOST:PORT");
    add("control", "address for faults and counters", cxxopts::value<std::string>(), "HOST:PORT");
    add("reads-per-second", "rate above which reads, lists and watches are refused",
        cxxopts::value<std::uint32_t>()->default_value("2000"));
    add("writes-per-second", "rate above which writes and removals are refused",
        cxxopts::value<std::uint32_t>()->default_value("500"));
}

settings::exit_status serve(const cxxopts::ParseResult& parsed)
{
    standins::platform_settings options;
    options.listen = settings::required_address(parsed, "listen");
    options.control = settings::optional_address(parsed, "control");
    options.reads_per_second = parsed["reads-per-second"].as<std::uint32_t>();
    options.writes_per_second = parsed["writes-per-second"].as<std::uint32_t>();
    net::event_loop loop;
    const net::signal_watch signals{loop,
                                    {SIGINT, SIGTERM},
                                    [&loop](int)
                                    {
                                        loop.stop();
                                    }};
    const standins::platform_server server{loop, options};
    std::cout << "listening platform " << core::to_string(server.address()) << "\n";
    if (server.control_address().has_value())
    {
        std::cout << "listening control " << core::to_string(*server.control_address()) << "\n";
    }
    std::cout << std::flush;
    loop.run();
    return settings::exit_status::ok;
}

} // namespace

int main(int argc, char** argv)
{
    const auto program = settings::program::builder{"platform-standin",
                                                    "Stand-in for the platform's object API, for tests and the demo."}
                             .options(add_options)
                             .run(serve)
                             .build();
    return program.run(argc, argv, std::cout, std::cerr);
}
