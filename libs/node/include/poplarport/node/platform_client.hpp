#pragma once

#include <cstdint>      // uint64_t
#include <functional>   // function
#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code

#include "poplarport/control/client.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/store/restore_detector.hpp"

namespace poplarport::node
{

/// @brief Result of a read or a watch.
struct platform_read
{
    bool responded{false};    ///< the platform responded, also when the object does not exist
    core::version version{0}; ///< zero when the object does not exist, or for a watch, when there is no newer version
    std::optional<std::string> value{}; ///< JSON text
};

/// @brief Result of a conditional write.
enum class platform_write
{
    written,
    refused, ///< the object has another version
    lost     ///< no response, or one that leaves open whether the write took effect
};

/// @brief Client of the platform's object API.
///
/// The versions that it returns and takes are those of configuration::make_stored_version: a watch from a version of
/// before a restore returns the present object at once, and a condition of before a restore is not sent.
class platform_client
{
  public:
    using read_hook = std::function<void(const platform_read&)>;
    using write_hook = std::function<void(platform_write)>;

    /// @param[in] loop    event loop of the node
    /// @param[in] address address of the platform
    platform_client(net::event_loop& loop, core::socket_address address);

    void read(const std::string& key, read_hook hook);

    /// @brief Waits for a version of an object that is newer than a given one.
    /// @param[in] key     key of the object
    /// @param[in] after   version that the caller holds
    /// @param[in] timeout maximum time that the platform waits
    void watch(const std::string& key, core::version after, core::duration timeout, read_hook hook);

    /// @brief Writes an object if it still has the expected version, or, for version zero, if it does not exist.
    void write(const std::string& key, const std::string& value, core::version expected, write_hook hook);

    /// @return number of calls sent since construction
    [[nodiscard]] std::uint64_t calls() const noexcept
    {
        return this->sent_calls;
    }

    /// @return number of calls without a usable response since construction
    [[nodiscard]] std::uint64_t failures() const noexcept
    {
        return this->failed_calls;
    }

  private:
    void get(const std::string& target, core::duration timeout, read_hook hook);
    [[nodiscard]] platform_read parse_read(const control::reply& reply, store::era sent_in);
    [[nodiscard]] platform_write parse_write(const control::reply& reply, store::era sent_in);
    [[nodiscard]] bool accept_era(const control::response& response, store::era sent_in);

    net::event_loop* loop;
    control::client client;
    store::restore_detector restores{};
    bool responds{false}; ///< the last call had a usable response
    core::socket_address platform;
    std::uint64_t sent_calls{0};
    std::uint64_t failed_calls{0};
};

} // namespace poplarport::node
