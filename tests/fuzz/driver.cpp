// Replacement for libFuzzer: runs a fuzz target on its seeds and on pseudo-random mutations of them.
// Arguments as for libFuzzer: -seed=N -runs=N FOLDER.

#include "fuzz_target.hpp"

#include <algorithm>  // min, ranges::sort
#include <array>      // array
#include <cstdio>     // printf
#include <filesystem> // directory_iterator, path
#include <fstream>    // ifstream
#include <iterator>   // istreambuf_iterator
#include <random>     // mt19937_64
#include <string>     // string, stoull
#include <vector>     // vector

namespace
{

using random_engine = std::mt19937_64;

std::size_t random_below(random_engine& random, std::size_t bound)
{
    return bound == 0 ? 0 : random() % bound;
}

std::vector<std::string> read_seeds(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator{folder})
    {
        paths.push_back(entry.path());
    }
    // The iteration order of a directory is unspecified, and a run has to be reproducible.
    std::ranges::sort(paths);
    std::vector<std::string> seeds{""};
    for (const auto& path : paths)
    {
        std::ifstream file{path, std::ios::binary};
        seeds.emplace_back(std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{});
    }
    return seeds;
}

void mutate(std::string& text, const std::vector<std::string>& seeds, random_engine& random)
{
    constexpr std::array<char, 10> boundary_bytes{'\0', '\x01', '\x7f', '\x80', '\xff', '\r', '\n', ':', ' ', '9'};
    constexpr std::size_t max_input_bytes = 8192;
    const auto position = random_below(random, text.size() + 1);
    const auto length = 1 + random_below(random, 16);
    switch (random_below(random, 6))
    {
    case 0:
        text.insert(position, 1, boundary_bytes[random_below(random, boundary_bytes.size())]);
        break;
    case 1:
        text.erase(position, length);
        break;
    case 2:
        text.insert(position, text.substr(random_below(random, text.size() + 1), length));
        break;
    case 3:
    {
        const auto& other = seeds[random_below(random, seeds.size())];
        text.replace(position, std::string::npos,
                     other.substr(std::min(other.size(), random_below(random, other.size() + 1))));
        break;
    }
    default:
        if (position < text.size())
        {
            text[position] = static_cast<char>(random());
        }
        break;
    }
    text.resize(std::min(text.size(), max_input_bytes));
}

void run(const std::string& input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}

} // namespace

int main(int argc, char** argv)
{
    constexpr std::size_t max_mutations = 4;
    std::uint64_t seed = 1;
    std::uint64_t runs = 1000;
    std::filesystem::path folder;
    for (const auto& argument : std::vector<std::string>(argv + 1, argv + argc))
    {
        if (argument.starts_with("-seed="))
        {
            seed = std::stoull(argument.substr(argument.find('=') + 1));
        }
        else if (argument.starts_with("-runs="))
        {
            runs = std::stoull(argument.substr(argument.find('=') + 1));
        }
        else
        {
            folder = argument;
        }
    }
    const auto seeds = read_seeds(folder);
    for (const auto& input : seeds)
    {
        run(input);
    }
    random_engine random{seed};
    for (std::uint64_t count = 0; count < runs; ++count)
    {
        std::string input = seeds[random_below(random, seeds.size())];
        for (std::size_t step = 1 + random_below(random, max_mutations); step > 0; --step)
        {
            mutate(input, seeds, random);
        }
        run(input);
    }
    std::printf("%zu seeds and %llu mutations, seed %llu\n", seeds.size(), static_cast<unsigned long long>(runs),
                static_cast<unsigned long long>(seed));
    return 0;
}
