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
    bool is_successful{false};          ///< whether the platform sent a valid response
    core::version version{0};           ///< zero if the object does not exist
    std::optional<std::string> value{}; ///< JSON text
    std::string error{};                ///< description of the error, if the read failed
};

/// @brief Result of a conditional write.
struct object_write
{
    enum class kind
    {
        written,             ///< the platform confirmed the write
        precondition_failed, ///< the object does not have the expected version
        undetermined         ///< without a valid response, the write may or may not have taken effect
    };

    kind result{kind::undetermined};
    core::version version{0};
};

/// @brief Blocking client for the platform's object API and for nodes; runs one request at a time. Versions are those
/// of configuration::make_stored_version.
class platform_client
{
  public:
    /// @param[in] address address of the object API
    explicit platform_client(core::socket_address address);

    /// @brief Reads an object.
    [[nodiscard]] object_read read(const std::string& key);

    /// @brief Writes an object if it has the expected version; zero requires that it does not exist.
    [[nodiscard]] object_write write(const std::string& key, std::string value, core::version expected_version);

    /// @brief Sends one request to any server and waits for its result.
    [[nodiscard]] control::reply call(const core::socket_address& server, const control::request& message);

    /// @brief Blocks until a point in time.
    void wait_until(core::time_point deadline);

  private:
    net::event_loop loop{};
    control::client client;
    core::socket_address platform;
};

} // namespace poplarport::poplarctl
