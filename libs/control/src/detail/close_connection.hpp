#pragma once

#include <libwebsockets.h>
#include <sys/socket.h>

namespace poplarport::control::detail
{

/// @brief Closes a connection outside of its event handlers. Its closing events follow in a later loop iteration.
inline void close_connection(lws* connection) noexcept
{
    ::shutdown(lws_get_socket_fd(connection), SHUT_RDWR);
    lws_set_timeout(connection, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

} // namespace poplarport::control::detail
