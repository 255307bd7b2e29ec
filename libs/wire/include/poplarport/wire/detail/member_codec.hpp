#pragma once

#include <system_error> // error_code
#include <vector>       // vector

#include <nlohmann/json.hpp>

#include "poplarport/membership/message.hpp"

namespace poplarport::wire::detail
{

/// @brief Maximum number of entries of a list.
inline constexpr std::size_t max_list_length = 100'000;

/// @return the CBOR value of a member
[[nodiscard]] nlohmann::json encode_member(const membership::member& member);

/// @return the member; `error` receives the first error
[[nodiscard]] membership::member decode_member(const nlohmann::json& value, std::error_code& error);

/// @return the CBOR value of entries
[[nodiscard]] nlohmann::json encode_entries(const std::vector<membership::member_entry>& entries);

/// @return the entries; `error` receives the first error
[[nodiscard]] std::vector<membership::member_entry> decode_entries(const nlohmann::json& value, std::error_code& error);

} // namespace poplarport::wire::detail
