#include <cstdint>  // uint64_t
#include <cstdio>   // printf
#include <iostream> // cout
#include <string>   // string
#include <vector>   // vector

#include <cxxopts.hpp>

#include "result.hpp"
#include "scenario.hpp"

namespace
{

using namespace poplarport::bench;

std::vector<policy_result> run_all(const scenario& value, std::uint64_t first_seed, std::uint64_t seeds)
{
    std::vector<policy_result> results;
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    {
        const std::vector<arrival> arrivals = make_arrivals(value, seed);
        std::vector<policy_result> next;
        next.push_back(run_baseline(baseline::random, value, arrivals, seed));
        next.push_back(run_baseline(baseline::round_robin, value, arrivals, seed));
        next.push_back(run_baseline(baseline::least_of_two, value, arrivals, seed));
        next.push_back(run_central(value, arrivals));
        next.push_back(run_poplarport(value, arrivals, seed));
        if (results.empty())
        {
            results = std::move(next);
            continue;
        }
        for (std::size_t index = 0; index < results.size(); ++index)
        {
            results[index].merge(next[index]);
        }
    }
    return results;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int exit_usage = 64;
    cxxopts::Options options{"bench_policy", "Compares routing and admission policies on fakes under a fake clock."};
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds per case", cxxopts::value<std::uint64_t>()->default_value("3"))(
        "only", "run the cases whose name contains this text",
        cxxopts::value<std::string>()->default_value(""))("help", "print this text");
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        const auto first_seed = arguments["seed"].as<std::uint64_t>();
        const auto seeds = arguments["seeds"].as<std::uint64_t>();
        const auto only = arguments["only"].as<std::string>();
        std::printf("seeds %llu to %llu\n", static_cast<unsigned long long>(first_seed),
                    static_cast<unsigned long long>(first_seed + seeds - 1));
        int missed = 0;
        for (const scenario& item : all_scenarios())
        {
            if (item.name.find(only) != std::string::npos)
            {
                missed += print_results(item, run_all(item, first_seed, seeds));
            }
        }
        std::printf("goals not met: %d\n", missed);
        return 0;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << "bench_policy: " << error.what() << '\n';
        return exit_usage;
    }
}
