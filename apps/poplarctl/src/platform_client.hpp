#pragma once

#include <optional> // optional
#include <string>   // string

#include "poplarport/control/client.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::poplarctl
{

/// @brief Result of reading an object.
struct object_read
{
    bool is_known{false};               ///< whether the platform answered
    core::version version{0};           ///< zero when the object does not exist
    std::optional<std::string> value{}; ///< JSON text
    std::string fault{};                ///< why the object is not known
};

/// @brief Result of a conditional write.
struct object_write
{
    enum class kind
    {
        written, ///< the platform confirmed the write
        refused, ///< the condition does not hold
        lost     ///< no answer tells whether the write took effect
    };

    kind result{kind::lost};
    core::version version{0};
};

/// @brief Blocking calls of the platform's object API and of nodes, for a command that does one thing at a time.
class platform_client
{
  public:
    /// @param[in] address address of the object API
    explicit platform_client(core::socket_address address);

    /// @brief Reads an object.
    [[nodiscard]] object_read read(const std::string& key);

    /// @brief Writes an object when it still has a version; zero means that it must not exist.
    [[nodiscard]] object_write write(const std::string& key, std::string value, core::version expected);

    /// @brief Sends one request to any server and waits for its end.
    [[nodiscard]] control::reply call(const core::socket_address& server, control::request message);

    /// @brief Waits.
    void wait_until(core::time_point time);

  private:
    net::event_loop loop{};
    control::client client;
    core::socket_address platform;
};

} // namespace poplarport::poplarctl
