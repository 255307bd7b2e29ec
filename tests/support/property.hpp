#pragma once

#include <cstdint> // uint64_t
#include <sstream> // ostringstream
#include <utility> // forward

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

/// @brief Checks a rapidcheck property within a CppUTest test, with a fixed seed so that a failure is reproducible.
/// @param[in] seed       seed of the generated cases
/// @param[in] case_count number of generated cases
/// @param[in] property   callable that asserts by RC_ASSERT
template <typename Property>
void check_property(std::uint64_t seed, int case_count, Property&& property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = case_count;
    const auto result =
        rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata{}, parameters);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CHECK_TEXT(result.template is<rc::detail::SuccessResult>(), text.str().c_str());
}
