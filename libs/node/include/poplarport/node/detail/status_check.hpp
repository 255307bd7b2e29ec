#pragma once

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr
#include <string>     // string

#include "poplarport/http/client_connection.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/receiver.hpp"

namespace poplarport::node::detail
{

/// @brief One status check of the local upstream, on a connection of the receiver's pool. The receiver owns it until it
/// ends.
class status_check final : public std::enable_shared_from_this<status_check>
{
  public:
    status_check(receiver& owner, std::function<void(const http::response_header*)> hook);

    void start(const std::string& path, core::duration timeout);

    /// @brief Ends the check without calling its hook.
    void cancel();

  private:
    void end(bool responded);
    void close_connection(bool is_reusable);

    receiver* owner;
    std::function<void(const http::response_header*)> hook;
    std::shared_ptr<http::client_connection> connection{};
    http::response_header response{};
    std::size_t body_bytes{0};
    net::timer timer;
};

} // namespace poplarport::node::detail
