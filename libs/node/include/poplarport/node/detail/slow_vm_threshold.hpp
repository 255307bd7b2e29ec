#pragma once

#include <cstdint> // uint32_t

namespace poplarport::node::detail
{

/// @brief Slowdown from which a request is better served on another VM: duration of work in percent of the usual
/// duration.
inline constexpr std::uint32_t slow_vm_threshold_percent = 200;

} // namespace poplarport::node::detail
