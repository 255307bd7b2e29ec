#include <csignal>  // SIGINT, SIGTERM
#include <iostream> // cerr, cout

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/signal_watch.hpp"
#include "poplarport/node/node.hpp"
#include "poplarport/node/settings.hpp"
#include "poplarport/observability/log_record.hpp"
#include "poplarport/settings/program.hpp"

using namespace poplarport;

namespace
{

settings::exit_status run(const node::node_settings& settings)
{
    observability::configure_log(observability::log_level_from_string(settings.log_level));
    net::event_loop loop{{.max_descriptors = settings.descriptors}};
    node::node node{loop, settings,
                    [&loop]
                    {
                        loop.stop();
                    }};
    const net::signal_watch signals{loop,
                                    {SIGINT, SIGTERM},
                                    [&node](int)
                                    {
                                        node.drain();
                                    }};
    std::cout << "listening callers " << core::to_string(node.callers()) << "\n"
              << "listening peers " << core::to_string(node.peers()) << "\n"
              << "listening administration " << core::to_string(node.administration()) << std::endl;
    observability::log_record{"node_started"}
        .with("node", settings.id)
        .with("service", settings.service)
        .with("availability_zone", settings.availability_zone)
        .with("version", POPLARPORT_VERSION)
        .write(observability::log_level::info);
    loop.run();
    observability::log_record{"node_stopped"}.with("node", settings.id).write(observability::log_level::info);
    return settings::exit_status::ok;
}

} // namespace

int main(int argc, char** argv)
{
    node::node_settings configuration;
    const auto program =
        settings::program::builder{"poplar-node", "The poplarport node beside an upstream."}
            .settings([&configuration](settings::document& document) { configuration = node::read_settings(document); })
            .run([&configuration](const cxxopts::ParseResult&) { return run(configuration); })
            .build();
    return program.run(argc, argv, std::cout, std::cerr);
}
