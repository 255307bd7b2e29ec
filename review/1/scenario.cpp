// An upstream answers a few requests with a proper head and then bytes that are no chunk, without end. The node beside
// it must give up these requests; it must not lose the requests of other callers.

#include <atomic>   // atomic
#include <iostream> // cerr, cout
#include <set>      // set

#include "../stage/deployment.hpp"

using namespace stage;

namespace
{

constexpr milliseconds traffic_time{20000};
constexpr std::int64_t first_trouble_ms = 8000; // after the start of traffic
constexpr std::int64_t trouble_interval_ms = 2500;
constexpr int max_troubles = 3;            // within srv_grey, for_s 6.5
constexpr double memory_limit_mb = 260.0;  // limits.memory_mb of the machine
constexpr milliseconds restart_delay{500}; // until the platform starts a process again
constexpr int max_lost = 3;                // LOST: "more than three times"
constexpr std::size_t bytes_per_second = 200'000'000;

constexpr std::size_t spoiled_machine = 0; // serves orders; its upstream spoils a few answers
constexpr int callers_on_machine = 28;
constexpr int callers_elsewhere = 3;

struct request_kind
{
    const char* method;
    const char* path;
    milliseconds work;
    milliseconds limit;
};

// The kinds of request of klb-mesh, with their usual work and time limits.
constexpr request_kind quote{"GET", "/quotes/1", milliseconds{160}, milliseconds{1200}};
constexpr request_kind confirmation{"POST", "/confirm/1", milliseconds{210}, milliseconds{1500}};
constexpr request_kind cutlist{"GET", "/cutlists/1", milliseconds{400}, milliseconds{2000}};

struct observations
{
    std::mutex mutex{};
    std::set<std::string> run_by_sound{}; // requests that sound upstreams have begun
    std::vector<std::string> closed{};    // requests whose kept connection was closed without an answer
    int answered{0};
    int other{0};
};

std::atomic<bool> spoil_next{false};
std::atomic<bool> stopped{false};
observations seen;

// Sends bytes that are no answer until the caller closes.
void send_without_end(int connection)
{
    constexpr std::size_t part_bytes = bytes_per_second / 1000;
    const std::string bytes(part_bytes, 'x');
    auto next = steady::now();
    while (!stopped && send_all(connection, bytes))
    {
        next += milliseconds{1};
        std::this_thread::sleep_until(next);
    }
}

bool run_request(upstream& place, int connection, const message& request, deployment& system)
{
    const bool is_spoiled_machine = place.host == system.machines[spoiled_machine]->host;
    const bool is_confirmation = request.word(0) == "POST";
    if (is_spoiled_machine && is_confirmation && spoil_next.exchange(false))
    {
        system.record.write("answer without end to " + request.field("request-id") + " from " + place.id);
        send_all(connection,
                 "HTTP/1.1 200 OK\r\n" + place.answer_fields(request, "") + "Transfer-Encoding: chunked\r\n\r\n");
        send_without_end(connection);
        return false;
    }
    if (!is_spoiled_machine)
    {
        const std::lock_guard guard{seen.mutex};
        seen.run_by_sound.insert(request.field("request-id"));
    }
    const bool is_cutlist = request.word(1) == cutlist.path;
    pause_for(is_confirmation ? confirmation.work : is_cutlist ? cutlist.work : quote.work);
    return place.answer(connection, request, "body of " + request.field("request-id"));
}

void call_repeatedly(const std::string& host, int number, recorder& record)
{
    caller connection{host};
    bool is_kept = false;
    pause_for(milliseconds{17 * number});
    for (int count = 0; !stopped; ++count)
    {
        const auto& kind = number % 2 == 0 ? cutlist : count % 3 == 0 ? confirmation : quote;
        const auto id = host + "-" + std::to_string(number) + "-" + std::to_string(count);
        record.write("sent " + id);
        const auto result = connection.call(kind.method, authority, kind.path, id, kind.limit, "order");
        if (stopped)
        {
            return;
        }
        record.write("answered " + id + " " + to_string(result));
        {
            const std::lock_guard guard{seen.mutex};
            const bool is_closed = result.end == read_result::closed || result.end == read_result::broken;
            if (is_closed && is_kept)
            {
                seen.closed.push_back(id);
            }
            seen.answered += result.is_whole ? 1 : 0;
            seen.other += result.is_whole ? 0 : 1;
        }
        is_kept = result.end == read_result::complete;
        pause_for(is_kept ? milliseconds{250} : milliseconds{500});
    }
}

int run(const options& command)
{
    // The threads of the stand-ins use it to the end of the process.
    auto& system = *new deployment{command};
    system.add_machines();
    system.start_nodes();
    system.start_upstreams([&system](upstream& place, int connection, const message& request)
                           { return run_request(place, connection, request, system); });
    if (!system.wait_until_ready())
    {
        std::cerr << "the nodes did not become ready\n";
        system.stop();
        return exit_cannot_run;
    }
    pause_for(milliseconds{3000});
    for (std::size_t index = 0; index < system.machines.size(); ++index)
    {
        const int count = index == spoiled_machine ? callers_on_machine : callers_elsewhere;
        for (int number = 0; number < count; ++number)
        {
            std::thread{[&system, host = system.machines[index]->host, number]
                        {
                            call_repeatedly(host, number, system.record);
                        }}
                .detach();
        }
    }
    const auto traffic_start = steady::now();
    const auto traffic_start_ms = elapsed_ms();
    int troubles = command.trouble ? 0 : max_troubles;
    double peak_mb = 0.0;
    int ended = 0;
    std::optional<steady::time_point> restart_at;
    auto& watched = *system.machines[spoiled_machine];
    while (steady::now() - traffic_start < traffic_time)
    {
        if (troubles < max_troubles &&
            elapsed_ms() - traffic_start_ms > first_trouble_ms + troubles * trouble_interval_ms)
        {
            ++troubles;
            spoil_next = true;
        }
        const double memory = restart_at ? 0.0 : watched.memory_mb();
        peak_mb = std::max(peak_mb, memory);
        if (memory > memory_limit_mb)
        {
            system.record.write("node " + watched.name + " holds " + std::to_string(memory) +
                                " MB, ended by the platform");
            watched.kill_and_wait(SIGKILL);
            ++ended;
            restart_at = steady::now() + restart_delay;
        }
        if (restart_at && steady::now() > *restart_at)
        {
            restart_at.reset();
            watched.start(false);
        }
        pause_for(milliseconds{5});
    }
    stopped = true;
    system.stop();
    const std::lock_guard guard{seen.mutex};
    int lost = 0;
    for (const auto& id : seen.closed)
    {
        if (seen.run_by_sound.contains(id))
        {
            ++lost;
            system.record.write("lost " + id + ": run by a sound upstream, connection closed without an answer");
        }
    }
    const bool is_broken = lost > max_lost;
    const auto summary = "answered " + std::to_string(seen.answered) + ", otherwise ended " +
                         std::to_string(seen.other) + ", peak memory " + std::to_string(peak_mb) +
                         " MB, processes over the limit " + std::to_string(ended) + ", lost " + std::to_string(lost) +
                         (is_broken ? ": broken" : ": held");
    system.record.write(summary);
    std::cout << summary << "\n";
    if (seen.answered == 0)
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
