#include "poplarport/control/responder.hpp"

#include <utility> // move

#include "detail/server_exchange.hpp"
#include "poplarport/control/errors.hpp"

namespace poplarport::control
{

/// @brief Responds with status 500 when the last copy of a responder is destroyed before a response was sent.
struct responder::guard
{
    explicit guard(std::shared_ptr<detail::server_exchange> shared) noexcept : exchange(std::move(shared))
    {
    }

    ~guard()
    {
        this->exchange->on_disconnect = nullptr;
        this->exchange->set_response(
            {status::internal_error, text_type, make_error_code(errc::no_answer).message() + "\n"});
    }

    guard(const guard&) = delete;
    guard& operator=(const guard&) = delete;

    std::shared_ptr<detail::server_exchange> exchange;
};

responder::responder(std::shared_ptr<detail::server_exchange> shared) noexcept
    : exchange(std::move(shared)), last_copy(std::make_shared<guard>(this->exchange))
{
}

void responder::send(const control::response& response) const
{
    this->exchange->set_response(response);
}

void responder::drop() const
{
    this->exchange->drop();
}

bool responder::is_open() const noexcept
{
    return this->exchange->is_open();
}

void responder::on_disconnect(std::function<void()> hook) const
{
    this->exchange->on_disconnect = std::move(hook);
}

} // namespace poplarport::control
