#include "poplarport/measuring/length_weighted_mean.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(length_weighted_mean){};

// Guards against an upstream that looks fast because it has just answered a few short requests.
TEST(length_weighted_mean, short_operations_hardly_lower_it)
{
    measuring::length_weighted_mean mean{8.0};
    CHECK_FALSE(mean.value());
    for (int count = 0; count < 50; ++count)
    {
        mean.add(350ms);
    }
    CHECK(*mean.value() == 350ms);
    for (int count = 0; count < 4; ++count)
    {
        mean.add(35ms);
    }
    CHECK(*mean.value() > 320ms);
    CHECK(*mean.value() < 350ms);
}

// Guards against an average that stays where it was when all operations become longer or shorter.
TEST(length_weighted_mean, follows_a_lasting_change)
{
    measuring::length_weighted_mean mean{8.0};
    mean.add(100ms);
    for (int count = 0; count < 50; ++count)
    {
        mean.add(700ms);
    }
    CHECK(*mean.value() > 650ms);
    for (int count = 0; count < 200; ++count)
    {
        mean.add(100ms);
    }
    CHECK(*mean.value() < 110ms);
    mean.add(0ms);
    CHECK(*mean.value() > 95ms);
}
