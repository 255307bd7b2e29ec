#pragma once

#include <array>       // array
#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/control/message.hpp"
#include "poplarport/control/responder.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::control
{

/// @brief Header fields that handlers receive in `request::headers`.
inline constexpr std::array<std::string_view, 4> captured_headers{"if-match", "if-none-match", "content-type",
                                                                  "authorization"};

/// @brief Handles a request; the answer may be sent later.
using handler = std::function<void(const request& message, const responder& to)>;

/// @brief One path of a server and a method that it accepts.
struct route
{
    std::string method; ///< HTTP method; HEAD is handled by the route of GET
    std::string path;   ///< exact path; when it ends with `/`, all paths below it too
    handler handle;     ///< the handler
};

/// @brief Buffered HTTP/1.1 server by libwebsockets, for administration and the platform's object API.
///
/// Bodies up to `greatest_body_bytes` are accepted. An unknown path is answered with 404, another method with 405.
class server
{
  public:
    class builder;

    /// @brief Closes all connections at once; requests without an answer end without one.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// @return the address with the port in use
    [[nodiscard]] const core::socket_address& address() const noexcept;

    /// @return connections that are open
    [[nodiscard]] std::size_t connections() const noexcept;

    struct state;

  private:
    explicit server(std::unique_ptr<state> built) noexcept;

    std::unique_ptr<state> data;
    core::socket_address bound;
};

/// @brief Builds a server.
class server::builder
{
  public:
    /// @param[in] shared loop of the connections; must outlive the server
    explicit builder(net::event_loop& shared) noexcept;

    /// @brief Sets the address to listen on; port 0 takes a free port.
    builder& listen(core::socket_address address);

    /// @brief Adds a route. Of several paths that match, the longest is taken.
    builder& route(std::string method, std::string path, handler handle);

    /// @return the server, which listens
    /// @throw std::system_error with errc::listen_failed
    [[nodiscard]] std::unique_ptr<server> build();

  private:
    net::event_loop* loop;
    core::socket_address address{"127.0.0.1", 0};
    std::vector<control::route> routes{};
};

} // namespace poplarport::control
