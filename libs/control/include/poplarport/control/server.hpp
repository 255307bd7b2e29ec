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

/// @brief Names of the header fields that handlers receive in `request::headers`.
inline constexpr std::array<std::string_view, 4> captured_headers{"if-match", "if-none-match", "content-type",
                                                                  "authorization"};

/// @brief Handles a request; the response may be sent later.
using handler = std::function<void(const request& message, const responder& to)>;

/// @brief A path of a server, a method that it accepts and their handler.
struct route
{
    std::string method; ///< HTTP method; a GET route also handles HEAD
    std::string path;   ///< exact path; if it ends with `/`, also all paths below it
    handler handle;
};

/// @brief HTTP/1.1 server with buffered bodies for administration and the platform's object API. Pipelined requests are
/// handled one after the other.
///
/// Request bodies up to `max_body_bytes` are accepted. The response to an unknown path has status 404, that to a
/// method that the path does not accept 405.
class server
{
  public:
    class builder;

    /// @brief Closes all connections at once; pending requests receive no response.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// @return the local address, with the port in use
    [[nodiscard]] const core::socket_address& address() const noexcept;

    /// @return the number of open connections
    [[nodiscard]] std::size_t connections() const noexcept;

    struct state;

  private:
    explicit server(std::unique_ptr<state> built) noexcept;

    std::unique_ptr<state> data;
    core::socket_address bound_address;
};

/// @brief Builds a server.
class server::builder
{
  public:
    /// @param[in] shared event loop of the connections; must outlive the server
    explicit builder(net::event_loop& shared) noexcept;

    /// @brief Sets the address to listen on; port 0 selects a free port. The default is 127.0.0.1 with port 0.
    builder& listen(core::socket_address address);

    /// @brief Adds a route. If several paths match a request, the longest one applies.
    builder& route(std::string method, std::string path, handler handle);

    /// @return the listening server
    /// @throw std::system_error with errc::listen_failed
    [[nodiscard]] std::unique_ptr<server> build();

  private:
    net::event_loop* loop;
    core::socket_address address{"127.0.0.1", 0};
    std::vector<control::route> routes{};
};

} // namespace poplarport::control
