#pragma once

#include <cstdint> // uint32_t

namespace poplarport::node::detail
{

/// @brief From this duration of work, in percent of the usual one, a request is better served on another VM.
inline constexpr std::uint32_t slow_percent = 200;

} // namespace poplarport::node::detail
