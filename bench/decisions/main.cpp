#include <chrono>  // hours, microseconds, milliseconds, minutes, seconds
#include <cstdint> // int64_t, uint64_t
#include <random>  // mt19937_64
#include <string>  // string, to_string
#include <utility> // move
#include <vector>  // vector

#include <benchmark/benchmark.h>

#include "poplarport/admission/gate.hpp"
#include "poplarport/membership/detail/member_table.hpp"
#include "poplarport/routes/route_table.hpp"
#include "poplarport/routing/router.hpp"
#include "poplarport/routing/subset.hpp"

namespace
{

using namespace poplarport;

constexpr int zone_count = 24;
constexpr std::int64_t min_size = 10;
constexpr std::int64_t max_size = 30'000;
constexpr std::size_t subset_connections = 200;

std::vector<routing::endpoint> make_endpoints(std::int64_t count)
{
    std::vector<routing::endpoint> endpoints;
    for (std::int64_t index = 0; index < count; ++index)
    {
        endpoints.push_back(
            {"node-" + std::to_string(index), "zone-" + std::to_string(index % zone_count), {"10.0.0.1", 1}, 1, false});
    }
    return endpoints;
}

membership::member_entry make_entry(std::int64_t index, std::uint32_t revision)
{
    membership::member_entry entry;
    entry.member.id = "node-" + std::to_string(index);
    entry.member.incarnation = 1;
    entry.member.revision = revision;
    return entry;
}

void pick(benchmark::State& state)
{
    std::mt19937_64 random_engine{1};
    core::time_point now{std::chrono::seconds{1}};
    auto router = routing::router::builder{}.availability_zone("zone-0").build();
    router.set_endpoints(make_endpoints(state.range(0)), now);
    const core::load_report report{9, 3, 0, std::chrono::microseconds{5000}, false};
    for (auto step : state)
    {
        (void)step;
        now += std::chrono::milliseconds{5};
        const auto choice = router.pick({}, now, random_engine);
        router.on_sent(choice->target->id, now);
        router.on_response(choice->target->id, report, std::chrono::milliseconds{5}, now);
    }
    state.SetComplexityN(state.range(0));
}

void admit(benchmark::State& state)
{
    core::time_point now{std::chrono::seconds{1}};
    const auto length = static_cast<std::size_t>(state.range(0));
    auto gate = admission::gate::builder{}
                    .slots(1)
                    .queue_capacity(length + 2)
                    .initial_service_time(std::chrono::microseconds{1})
                    .build(now);
    std::uint64_t next_id{0};
    const auto offer = [&]
    {
        admission::ticket ticket;
        ticket.id = std::to_string(next_id);
        ticket.tenant = "tenant-" + std::to_string(next_id % 10);
        ++next_id;
        ticket.traffic_class = "default";
        ticket.deadline = now + std::chrono::hours{1};
        return gate.offer(std::move(ticket), now);
    };
    (void)offer();
    core::request_id running_id{"0"};
    for (std::size_t index = 0; index < length; ++index)
    {
        (void)offer();
    }
    for (auto step : state)
    {
        (void)step;
        (void)offer();
        const auto changes = gate.release(running_id, std::chrono::microseconds{1}, now);
        if (!changes.started.empty())
        {
            running_id = changes.started.front();
        }
    }
    state.SetComplexityN(state.range(0));
}

void merge(benchmark::State& state)
{
    const core::time_point now{std::chrono::seconds{1}};
    const auto suspicion = std::chrono::seconds{4};
    membership::detail::member_table table{std::chrono::minutes{30}};
    for (std::int64_t index = 0; index < state.range(0); ++index)
    {
        (void)table.apply(make_entry(index, 0), suspicion, now);
    }
    std::uint32_t revision = 0;
    std::int64_t index = 0;
    for (auto step : state)
    {
        (void)step;
        if (index == 0)
        {
            ++revision;
        }
        benchmark::DoNotOptimize(table.apply(make_entry(index, revision), suspicion, now));
        index = (index + 1) % state.range(0);
    }
    state.SetComplexityN(state.range(0));
}

void subset(benchmark::State& state)
{
    const auto endpoints = make_endpoints(state.range(0));
    for (auto step : state)
    {
        (void)step;
        benchmark::DoNotOptimize(routing::subset("node-1", endpoints, subset_connections));
    }
    state.SetComplexityN(state.range(0));
}

routes::configuration make_routes(std::int64_t count)
{
    constexpr std::int64_t routes_per_host = 20;
    routes::configuration result;
    for (std::int64_t index = 0; index < count; ++index)
    {
        routes::route route;
        route.name = "route-" + std::to_string(index);
        route.host = "host-" + std::to_string(index / routes_per_host) + ".example";
        route.path_prefix = "/path-" + std::to_string(index) + "/";
        route.destinations = {{"service", 1}};
        result.routes.push_back(std::move(route));
    }
    return result;
}

void build_routes(benchmark::State& state)
{
    const auto source = make_routes(state.range(0));
    for (auto step : state)
    {
        (void)step;
        benchmark::DoNotOptimize(routes::route_table{source}.version());
    }
    state.SetComplexityN(state.range(0));
}

void find_route(benchmark::State& state)
{
    const routes::route_table table{make_routes(state.range(0))};
    for (auto step : state)
    {
        (void)step;
        benchmark::DoNotOptimize(table.find("host-0.example", "/path-1/a/b/c?x=1"));
    }
    state.SetComplexityN(state.range(0));
}

void sizes(benchmark::internal::Benchmark* bench)
{
    for (const std::int64_t size :
         {min_size, std::int64_t{100}, std::int64_t{1000}, std::int64_t{2000}, std::int64_t{10'000}, max_size})
    {
        bench->Arg(size);
    }
    bench->Complexity();
}

BENCHMARK(pick)->Apply(sizes);
BENCHMARK(admit)->Apply(sizes);
BENCHMARK(merge)->Apply(sizes);
BENCHMARK(subset)->Apply(sizes);
BENCHMARK(build_routes)->Apply(sizes);
BENCHMARK(find_route)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
