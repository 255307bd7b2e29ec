#pragma once

#include <cstddef>    // size_t
#include <functional> // function

#include "poplarport/control/message.hpp"

struct lws;

namespace poplarport::control::detail
{

/// @brief One request of a connection and its response.
class server_exchange
{
  public:
    explicit server_exchange(lws* new_connection) noexcept : connection(new_connection)
    {
    }

    /// @brief Sets the response and requests the event that writes it. Ignored if the exchange is not open.
    void set_response(control::response new_response);

    /// @brief Closes the connection after the response, because the rest of the request is not read.
    void close_after_response() noexcept
    {
        this->closes_after_response = true;
    }

    /// @brief Closes the connection without a response.
    void drop() noexcept;

    /// @brief Writes the header section or the next chunk of the body.
    /// @return a negative number if the connection must be closed
    [[nodiscard]] int write();

    /// @brief Detaches the exchange from its closed connection; runs the hook if no response was set.
    void detach();

    /// @return whether a response can still be set
    [[nodiscard]] bool is_open() const noexcept
    {
        return this->connection != nullptr && !this->is_response_set;
    }

    request message{};
    std::function<void()> on_disconnect{};
    bool is_body_too_large{false};

  private:
    [[nodiscard]] int write_header();
    [[nodiscard]] int write_body();

    lws* connection;
    control::response response{};
    std::size_t body_sent{0};
    bool is_response_set{false};
    bool is_header_sent{false};
    bool closes_after_response{false};
};

} // namespace poplarport::control::detail
