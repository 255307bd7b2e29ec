#include "poplarport/core/socket_address.hpp"

#include <array> // array

#include <CppUTest/TestHarness.h>

using poplarport::core::parse_socket_address;
using poplarport::core::to_string;

TEST_GROUP(socket_address){};

// Guards against addresses that change when settings are read and written again.
TEST(socket_address, valid_text_survives_parsing_and_formatting)
{
    for (const char* text : {"127.0.0.1:8080", "10.0.0.1:0", "[::1]:65535"})
    {
        const auto address = parse_socket_address(text);
        CHECK(address.has_value());
        STRCMP_EQUAL(text, to_string(*address).c_str());
    }
}

// Guards against a port that wraps around or an empty host being taken as valid.
TEST(socket_address, malformed_text_is_refused)
{
    for (const char* text : {"", "127.0.0.1", ":80", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:8a", "h:999999"})
    {
        CHECK_FALSE(parse_socket_address(text).has_value());
    }
}
