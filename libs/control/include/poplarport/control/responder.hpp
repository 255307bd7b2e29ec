#pragma once

#include <functional> // function
#include <memory>     // shared_ptr

#include "poplarport/control/message.hpp"

namespace poplarport::control
{

namespace detail
{
class server_exchange;
} // namespace detail

/// @brief Sends the response to one request, at once or later. Copies share the request.
///
/// If the last copy is destroyed before a response is sent, the caller receives status 500.
class responder
{
  public:
    /// @param[in] shared the request and its connection
    explicit responder(std::shared_ptr<detail::server_exchange> shared) noexcept;

    /// @brief Sends the response. Further responses, and a response to a caller that has disconnected, are ignored.
    void send(const control::response& response) const;

    /// @brief Closes the connection of the caller without a response.
    void drop() const;

    /// @return whether a response can still be sent
    [[nodiscard]] bool is_open() const noexcept;

    /// @brief Sets a hook that runs when the caller disconnects before a response was sent.
    void on_disconnect(std::function<void()> hook) const;

  private:
    struct guard;
    std::shared_ptr<detail::server_exchange> exchange;
    std::shared_ptr<guard> last_copy;
};

} // namespace poplarport::control
