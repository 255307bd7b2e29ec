// An upstream that crashes is started again under its id, after the clock of its machine has been set back. When it
// reports that it leaves, the acknowledgement must hold as for any other upstream.

#include <atomic>   // atomic
#include <iostream> // cerr, cout

#include "../stage/deployment.hpp"

using namespace stage;

namespace
{

constexpr milliseconds clock_step{2000};   // clock_step, x: 2000 ms by default
constexpr milliseconds down_time{500};     // of the upstream that crashes
constexpr milliseconds drain_time{2000};   // bounds.drain
constexpr milliseconds serves_on{3500};    // the upstream serves for drain and a little longer, then it exits
constexpr milliseconds calm_time{8000};    // longer than stable_window (3 s), so that the machine is in touch again
constexpr std::size_t changed_machine = 0; // its upstream is added during the traffic, and leaves later

std::atomic<bool> stopped{false};
std::atomic<std::int64_t> acknowledged_ms{0};
std::atomic<int> late_arrivals{0};
std::atomic<int> answered{0};
std::mutex late_mutex;
std::set<std::string> late_requests;
std::set<std::string> unanswered;

bool run_request(upstream& place, int connection, const message& request, deployment& system)
{
    const auto acknowledged = acknowledged_ms.load();
    const bool is_leaving_machine = place.host == system.machines[changed_machine]->host;
    if (is_leaving_machine && acknowledged != 0 && elapsed_ms() > acknowledged + drain_time.count())
    {
        ++late_arrivals;
        const std::lock_guard guard{late_mutex};
        late_requests.insert(request.field("request-id"));
        system.record.write("late " + request.field("request-id") + " reaches " + place.id + " " +
                            std::to_string(elapsed_ms() - acknowledged) + " ms after the acknowledgement");
    }
    pause_for(request.word(0) == "POST" ? milliseconds{210} : milliseconds{160});
    return place.answer(connection, request, "body of " + request.field("request-id"));
}

void call_repeatedly(const std::string& host, int number, recorder& record)
{
    caller connection{host};
    for (int count = 0; !stopped; ++count)
    {
        const auto id = host + "-" + std::to_string(number) + "-" + std::to_string(count);
        record.write("sent " + id);
        const auto result = count % 2 == 0
                                ? connection.call("GET", authority, "/quotes/1", id, milliseconds{1200})
                                : connection.call("POST", authority, "/confirm/1", id, milliseconds{1500}, "order");
        record.write("answered " + id + " " + to_string(result));
        answered += result.is_whole ? 1 : 0;
        if (!result.is_whole)
        {
            const std::lock_guard guard{late_mutex};
            unanswered.insert(id);
        }
        pause_for(milliseconds{300});
    }
}

int run(const options& command)
{
    // The threads of the stand-ins use it to the end of the process.
    auto& system = *new deployment{command};
    system.add_machines();
    system.start_nodes();
    const upstream::run_hook hook = [&system](upstream& place, int connection, const message& request)
    {
        return run_request(place, connection, request, system);
    };
    system.start_upstreams(hook, changed_machine);
    if (!system.wait_until_ready())
    {
        std::cerr << "the nodes did not become ready\n";
        system.stop();
        return exit_cannot_run;
    }
    for (const auto& each : system.machines)
    {
        for (int number = 0; number < 8; ++number)
        {
            std::thread{[&system, host = each->host, number]
                        {
                            call_repeatedly(host, number, system.record);
                        }}
                .detach();
        }
    }
    pause_for(milliseconds{4000});
    const auto start = [&](milliseconds clock_error)
    {
        const auto& place = *system.machines[changed_machine];
        auto* const result =
            new upstream{place.host, place.service, place.zone, "i-" + place.name, 9, system.record, hook, clock_error};
        system.record.write("start of " + result->id + ", born " + std::to_string(result->born));
        return result;
    };
    auto* current = start(milliseconds{0});
    if (command.trouble)
    {
        pause_for(milliseconds{600});
        system.record.write("the clock of the machine jumps back by " + std::to_string(clock_step.count()) +
                            " ms; crash of " + current->id);
        current->crash();
        pause_for(down_time);
        current = start(-clock_step);
    }
    pause_for(calm_time);
    current->leaving = true;
    const auto limit = steady::now() + milliseconds{4000};
    while (!current->has_ack && steady::now() < limit)
    {
        pause_for(milliseconds{5});
    }
    if (!current->has_ack)
    {
        system.record.write("no acknowledgement");
        system.stop();
        return exit_cannot_run;
    }
    acknowledged_ms = elapsed_ms();
    system.record.write("acknowledged: " + current->id + " leaves");
    pause_for(serves_on);
    current->call_node("/-/Instances.Deregister/" + current->id, json{{"born", current->born}}.dump());
    current->crash();
    system.record.write("exit of " + current->id);
    pause_for(milliseconds{2000});
    stopped = true;
    system.stop();
    int lost = 0;
    {
        const std::lock_guard guard{late_mutex};
        for (const auto& id : late_requests)
        {
            lost += unanswered.contains(id) ? 1 : 0;
        }
    }
    const bool is_broken = late_arrivals > 0;
    const auto summary = "answered " + std::to_string(answered) + ", requests later than drain after the ack " +
                         std::to_string(late_arrivals) + ", of these without an answer " + std::to_string(lost) +
                         (is_broken ? ": broken" : ": held");
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
