#pragma once

#include <functional> // function
#include <string>     // string

#include "poplarport/core/socket_address.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::standins::detail
{

/// @brief A request to a control address, whole.
struct control_request
{
    std::string method;
    std::string target;
    std::string body;
};

/// @brief The answer to it; the body is JSON.
struct control_answer
{
    int status{200};
    std::string body{};
};

/// @brief HTTP server of a stand-in's control address, for short requests with whole answers.
class control_server
{
  public:
    using handler = std::function<control_answer(const control_request&)>;

    /// @param[in] loop    loop of the server
    /// @param[in] address address to listen on; port 0 takes a free port
    /// @param[in] handle  returns the answer; a std::invalid_argument that it throws becomes status 400
    /// @throw std::system_error when the address cannot be listened on
    control_server(net::event_loop& loop, const core::socket_address& address, handler handle);

    /// @return the address with the port in use
    [[nodiscard]] core::socket_address address() const;

  private:
    http::server server;
};

/// @return a JSON object with the one member `error`
[[nodiscard]] std::string error_body(const std::string& text);

} // namespace poplarport::standins::detail
