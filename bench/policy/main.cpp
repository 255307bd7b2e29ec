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

std::vector<policy_result> run_all(const scenario& tested, std::uint64_t first_seed, std::uint64_t seeds)
{
    std::vector<policy_result> results;
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    {
        const std::vector<arrival> arrivals = make_arrivals(tested, seed);
        std::vector<policy_result> seed_results;
        seed_results.push_back(run_baseline(baseline::random, tested, arrivals, seed));
        seed_results.push_back(run_baseline(baseline::round_robin, tested, arrivals, seed));
        seed_results.push_back(run_baseline(baseline::least_of_two, tested, arrivals, seed));
        seed_results.push_back(run_central(tested, arrivals));
        seed_results.push_back(run_poplarport(tested, arrivals, seed));
        if (results.empty())
        {
            results = std::move(seed_results);
            continue;
        }
        for (std::size_t index = 0; index < results.size(); ++index)
        {
            results[index].merge(seed_results[index]);
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
        "only", "run the cases whose name contains this string",
        cxxopts::value<std::string>()->default_value(""))("help", "print this help");
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
        const auto name_filter = arguments["only"].as<std::string>();
        std::printf("seeds %llu to %llu\n", static_cast<unsigned long long>(first_seed),
                    static_cast<unsigned long long>(first_seed + seeds - 1));
        int missed = 0;
        for (const scenario& tested : all_scenarios())
        {
            if (tested.name.find(name_filter) != std::string::npos)
            {
                missed += print_results(tested, run_all(tested, first_seed, seeds));
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
