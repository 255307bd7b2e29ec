#pragma once

#include <cstddef> // size_t

#include <libwebsockets.h>

namespace poplarport::net::detail
{

/// @brief libwebsockets callback for raw stream sockets.
int handle_stream_event(lws* connection, lws_callback_reasons reason, void* user, void* in, std::size_t length);

} // namespace poplarport::net::detail
