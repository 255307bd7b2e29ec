#pragma once

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <string>       // string
#include <system_error> // error_code

#include <nlohmann/json.hpp>

#include "poplarport/core/socket_address.hpp"

namespace poplarport::wire::detail
{

/// @brief Reads typed values of a CBOR map; a failed read returns an empty value, and the first error is kept.
class value_reader
{
  public:
    /// @param[in]  map   the map
    /// @param[out] error receives the first error; must outlive the reader
    value_reader(const nlohmann::json& map, std::error_code& error);

    /// @return an integer from 0 to `max`
    [[nodiscard]] std::uint64_t number(const char* key, std::uint64_t max);

    /// @return a text of `min` to `max` bytes
    [[nodiscard]] std::string text(const char* key, std::size_t min, std::size_t max);

    [[nodiscard]] bool boolean(const char* key);

    /// @return whether the map has a key, which earlier versions of the program may leave out
    [[nodiscard]] bool has(const char* key) const;

    /// @return an IP address and port
    [[nodiscard]] core::socket_address address(const char* key);

    /// @return an array of at most `max` elements, empty on error
    [[nodiscard]] const nlohmann::json& array(const char* key, std::size_t max);

    /// @return the value of a key, null on error
    [[nodiscard]] const nlohmann::json& value(const char* key);

  private:
    void fail(std::error_code reason);

    const nlohmann::json* cbor_map;
    std::error_code* first_error;
};

} // namespace poplarport::wire::detail
