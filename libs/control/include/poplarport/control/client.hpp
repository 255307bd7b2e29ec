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

/// @brief How a request ended: with an answer or with an error.
struct reply
{
    std::optional<answer> received{}; ///< the whole answer; nothing on error
    std::error_code error{};          ///< the error; clear with an answer
    bool may_have_been_sent{false};   ///< on error: whether the server may have the request and may have run it
};

/// @brief HTTP/1.1 client for short buffered exchanges, by libwebsockets.
///
/// Each request is written at most once, on a connection of its own that is closed afterwards. Redirects are returned
/// and not followed. A proxy of the environment is not used.
class client
{
  public:
    using reply_hook = std::function<void(const reply&)>;

    /// @param[in] loop loop of the connections; must outlive the client
    explicit client(net::event_loop& loop);

    /// @brief Closes all connections; their hooks are not called.
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// @brief Sends one request.
    /// @param[in] server   IP number and port
    /// @param[in] message  request; `connection`, `content-length` and `host` are added
    /// @param[in] timeout  limit from now to the end of the answer
    /// @param[in] on_reply hook, called once in a later iteration of the loop
    void send(const core::socket_address& server, request message, core::duration timeout, reply_hook on_reply);

    /// @return requests that have not ended
    [[nodiscard]] std::size_t in_flight() const noexcept;

    struct state;

  private:
    std::shared_ptr<state> data;
};

} // namespace poplarport::control
