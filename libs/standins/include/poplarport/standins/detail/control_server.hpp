#pragma once

#include <functional> // function
#include <string>     // string

#include "poplarport/core/socket_address.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::standins::detail
{

/// @brief A request to a control address, with its whole body.
struct control_request
{
    std::string method;
    std::string target;
    std::string body;
};

/// @brief The response to a control_request; its body is JSON.
struct control_response
{
    int status{200};
    std::string body{};
};

/// @brief HTTP server of the control address of a stand-in, for short requests and responses with buffered bodies.
class control_server
{
  public:
    using handler = std::function<control_response(const control_request&)>;

    /// @param[in] loop    event loop of the server
    /// @param[in] address address to listen on; port 0 selects a free port
    /// @param[in] handle  returns the response; if it throws std::invalid_argument, the response has status 400
    /// @throw std::system_error if the address cannot be listened on
    control_server(net::event_loop& loop, const core::socket_address& address, handler handle);

    /// @return the local address, with the port in use
    [[nodiscard]] core::socket_address address() const;

  private:
    http::server server;
};

/// @return a JSON object with the single member `error`
[[nodiscard]] std::string error_body(const std::string& text);

} // namespace poplarport::standins::detail
