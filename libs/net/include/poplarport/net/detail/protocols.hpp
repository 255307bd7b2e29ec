#pragma once

namespace poplarport::net::detail
{

/// @brief Name of the libwebsockets protocol that handles raw stream sockets.
inline constexpr const char* stream_protocol = "poplarport-stream";

/// @brief Name of the libwebsockets protocol that handles watched descriptors.
inline constexpr const char* descriptor_protocol = "poplarport-descriptor";

} // namespace poplarport::net::detail
