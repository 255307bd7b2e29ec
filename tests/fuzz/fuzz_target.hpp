#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <cstdio>      // fprintf
#include <cstdlib>     // abort
#include <string_view> // string_view

// Entry point for libFuzzer and the seeded driver. The name is required by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace poplarport::fuzz
{

// Aborts the process when a property does not hold, also in builds without assertions.
inline void require(bool holds, const char* property)
{
    if (!holds)
    {
        std::fprintf(stderr, "property does not hold: %s\n", property);
        std::abort();
    }
}

inline std::string_view to_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

} // namespace poplarport::fuzz
