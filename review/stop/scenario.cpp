// Nodes are stopped and started in turn, as planned, while the upstream beside each is silent. A stop must end the
// process in order.

#include <array>    // array
#include <atomic>   // atomic
#include <iostream> // cerr, cout

#include "../stage/deployment.hpp"

using namespace stage;

namespace
{

constexpr milliseconds dark_time{4500};    // srv_crash (dark), for_s 4.5 in the site file
constexpr milliseconds stop_delay{300};    // from the silence of the upstream to the SIGTERM of its node
constexpr milliseconds grace{6000};        // bounds.grace
constexpr milliseconds restart_delay{300}; // until the platform starts a process again
constexpr std::size_t orders_machines = 7;
constexpr milliseconds pause_between{1500};
constexpr milliseconds run_time{90000};

std::atomic<bool> stopped{false};
std::atomic<int> answered{0};

bool run_request(upstream& place, int connection, const message& request)
{
    pause_for(milliseconds{160});
    return place.answer(connection, request, "body of " + request.field("request-id"));
}

void call_repeatedly(const std::string& host, int number, recorder& record)
{
    caller connection{host};
    for (int count = 0; !stopped; ++count)
    {
        const auto id = host + "-" + std::to_string(number) + "-" + std::to_string(count);
        record.write("sent " + id);
        const auto result = connection.call("GET", authority, "/quotes/1", id, milliseconds{1200});
        record.write("answered " + id + " " + to_string(result));
        answered += result.is_whole ? 1 : 0;
        pause_for(milliseconds{300});
    }
}

struct stop_counts
{
    int stops{0};
    int crashes{0}; ///< ends by a signal that nobody sent, or with another code than 0
    int kills{0};   ///< ends after the grace
};

// Sends SIGTERM to the nodes, and SIGKILL after the grace.
void stop_nodes(const std::vector<machine*>& nodes, recorder& record, stop_counts& counts)
{
    for (const auto* node : nodes)
    {
        node->kill(SIGTERM);
    }
    const auto limit = steady::now() + grace;
    for (auto* node : nodes)
    {
        auto status = node->ended();
        while (!status && steady::now() < limit)
        {
            pause_for(milliseconds{5});
            status = node->ended();
        }
        ++counts.stops;
        if (!status)
        {
            node->kill_and_wait(SIGKILL);
            ++counts.kills;
            record.write("stop of " + node->name + ": longer than grace");
            continue;
        }
        counts.crashes += *status == 0 ? 0 : 1;
        record.write("stop of " + node->name + ": " +
                     (WIFSIGNALED(*status) ? "signal " + std::to_string(WTERMSIG(*status))
                                           : "code " + std::to_string(WEXITSTATUS(*status))));
    }
}

int run(const options& command)
{
    // The threads of the stand-ins use it to the end of the process.
    auto& system = *new deployment{command};
    system.add_machines();
    system.start_nodes();
    system.start_upstreams(run_request);
    if (!system.wait_until_ready())
    {
        std::cerr << "the nodes did not become ready\n";
        system.stop();
        return exit_cannot_run;
    }
    for (const auto& each : system.machines)
    {
        for (int number = 0; number < 3; ++number)
        {
            std::thread{[&system, host = each->host, number]
                        {
                            call_repeatedly(host, number, system.record);
                        }}
                .detach();
        }
    }
    pause_for(milliseconds{3000});
    const auto started = steady::now();
    stop_counts counts;
    for (std::size_t round = 0; steady::now() - started < run_time; ++round)
    {
        // One upstream of each service is silent at a time.
        const std::array<std::size_t, 2> chosen{round % orders_machines,
                                                orders_machines + round % (system.machines.size() - orders_machines)};
        std::vector<machine*> nodes;
        nodes.reserve(chosen.size());
        const auto dark_end = steady::now() + dark_time;
        for (const auto index : chosen)
        {
            system.upstreams[index]->dark = command.trouble;
            nodes.push_back(system.machines[index].get());
        }
        pause_for(stop_delay);
        stop_nodes(nodes, system.record, counts);
        pause_for(restart_delay);
        for (auto* node : nodes)
        {
            node->start(false);
        }
        std::this_thread::sleep_until(std::max(dark_end, steady::now()));
        for (const auto index : chosen)
        {
            system.upstreams[index]->dark = false;
        }
        pause_for(pause_between);
    }
    stopped = true;
    system.stop();
    const bool is_broken = counts.crashes > 0;
    const auto summary = "answered " + std::to_string(answered) + ", stops " + std::to_string(counts.stops) +
                         ", crashes " + std::to_string(counts.crashes) + ", longer than grace " +
                         std::to_string(counts.kills) + (is_broken ? ": broken" : ": held");
    system.record.write(summary);
    std::cout << summary << "\n";
    if (answered == 0)
    {
        return exit_cannot_run;
    }
    return is_broken ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    int code = exit_cannot_run;
    try
    {
        code = run(read_options(argc, argv));
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << "\n";
    }
    std::cout.flush();
    // Threads of the stand-ins still wait for connections.
    std::_Exit(code);
}
