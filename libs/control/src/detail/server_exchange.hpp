#pragma once

#include <functional>  // function
#include <memory>      // shared_ptr
#include <string_view> // string_view

#include "poplarport/control/message.hpp"
#include "poplarport/http/server.hpp"

namespace poplarport::control::detail
{

/// @brief One request with its buffered body, and its response.
class server_exchange
{
  public:
    /// @param[in] new_carrier exchange of the connection
    /// @param[in] received    the request without its body
    server_exchange(std::shared_ptr<http::server_exchange> new_carrier, request received) noexcept;

    /// @brief Appends bytes of the request body. Responds with status 413 if it becomes larger than the limit.
    void append_body(std::string_view bytes);

    /// @brief Sends the response. Ignored if the exchange is not open.
    void set_response(const control::response& response);

    /// @brief Resets the connection without a response.
    void drop();

    /// @brief Detaches the exchange from its closed connection; runs the hook if no response was set.
    void detach();

    /// @return whether a response can still be set
    [[nodiscard]] bool is_open() const noexcept
    {
        return this->carrier != nullptr;
    }

    request message;
    std::function<void()> on_disconnect{};

  private:
    std::shared_ptr<http::server_exchange> carrier; ///< empty once the response was set or the connection has closed
};

} // namespace poplarport::control::detail
