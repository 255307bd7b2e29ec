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

/// @brief The place for the answer of one request; it may be kept and used later. Copies share the request.
///
/// When the last copy is destroyed without an answer, the caller receives 500.
class responder
{
  public:
    /// @param[in] shared the exchange
    explicit responder(std::shared_ptr<detail::server_exchange> shared) noexcept;

    /// @brief Sends the answer. Only the first answer counts; one for a caller that has gone is dropped.
    void send(answer result) const;

    /// @brief Closes the caller's connection without an answer.
    void drop() const;

    /// @return whether an answer can still be sent
    [[nodiscard]] bool is_open() const noexcept;

    /// @brief Sets a hook that is called when the caller goes away before the answer.
    void on_gone(std::function<void()> hook) const;

  private:
    struct guard;
    std::shared_ptr<detail::server_exchange> exchange;
    std::shared_ptr<guard> last_copy;
};

} // namespace poplarport::control
