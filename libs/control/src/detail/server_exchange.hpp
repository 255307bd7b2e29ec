#pragma once

#include <cstddef>    // size_t
#include <functional> // function

#include "poplarport/control/message.hpp"

struct lws;

namespace poplarport::control::detail
{

/// @brief One request of a connection and its answer.
class server_exchange
{
  public:
    explicit server_exchange(lws* accepted) noexcept : connection(accepted)
    {
    }

    /// @brief Sets the answer and asks for the event that writes it.
    void answer_with(answer result);

    /// @brief Makes the answer end the connection, because the rest of the request is not read.
    void close_after_answer() noexcept
    {
        this->is_closing = true;
    }

    /// @brief Closes the connection without an answer.
    void drop() noexcept;

    /// @brief Writes the next part of the answer.
    /// @return a negative number when the connection must be closed
    [[nodiscard]] int write();

    /// @brief Tells that the connection is gone.
    void detach();

    /// @return whether an answer can still be set
    [[nodiscard]] bool is_open() const noexcept
    {
        return this->connection != nullptr && !this->is_answered;
    }

    request message{};
    std::function<void()> on_disconnect{};
    bool is_body_too_large{false};

  private:
    [[nodiscard]] int write_header();
    [[nodiscard]] int write_body();

    lws* connection;
    answer result{};
    std::size_t body_sent{0};
    bool is_answered{false};
    bool is_header_sent{false};
    bool is_closing{false};
};

} // namespace poplarport::control::detail
