#pragma once

#include <cstddef>      // size_t
#include <functional>   // function
#include <memory>       // shared_ptr
#include <optional>     // optional
#include <system_error> // error_code

#include "poplarport/control/message.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::control
{

/// @brief Result of a request: a response or an error.
struct reply
{
    std::optional<control::response> response{}; ///< the whole response; nothing on error
    std::error_code error{};                     ///< the error; cleared if there is a response
    bool may_have_been_sent{false};              ///< on error: whether the server may have received and run the request
};

/// @brief HTTP/1.1 client for short requests with buffered bodies.
///
/// Each request is written at most once, on a separate connection that is closed afterwards. Redirects are returned,
/// not followed. Proxy settings of the environment are ignored. The body of a response has a stated length or is
/// chunked.
class client
{
  public:
    using reply_hook = std::function<void(const reply&)>;

    /// @param[in] loop event loop of the connections; must outlive the client
    explicit client(net::event_loop& loop);

    /// @brief Closes all connections without calling their hooks.
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// @brief Sends one request.
    /// @param[in] server   IP address and port
    /// @param[in] message  request; the client adds `connection`, `content-length` and `host`
    /// @param[in] timeout  limit from now to the end of the response; extended for a body that is still arriving, at
    ///                     most by five seconds or five times the timeout, whichever is less
    /// @param[in] on_reply called once, in a later iteration of the loop
    void send(const core::socket_address& server, const request& message, core::duration timeout, reply_hook on_reply);

    /// @return the number of requests in progress
    [[nodiscard]] std::size_t in_flight() const noexcept;

    struct state;

  private:
    std::shared_ptr<state> data;
};

} // namespace poplarport::control
