#include "poplarport/core/socket_address.hpp"

#include <array> // array

#include <CppUTest/TestHarness.h>

using poplarport::core::parse_socket_address;
using poplarport::core::to_string;

TEST_GROUP(socket_address){};

// An address must not change when it is parsed and formatted again.
TEST(socket_address, valid_address_is_unchanged_by_parsing_and_formatting)
{
    for (const char* text : {"127.0.0.1:8080", "10.0.0.1:0", "[::1]:65535"})
    {
        const auto address = parse_socket_address(text);
        CHECK(address.has_value());
        STRCMP_EQUAL(text, to_string(*address).c_str());
    }
}

// A port above 65535 must not wrap around, and an empty host must not be accepted.
TEST(socket_address, malformed_address_is_rejected)
{
    for (const char* text : {"", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8a", "h:999999"})
    {
        CHECK_FALSE(parse_socket_address(text).has_value());
    }
}
