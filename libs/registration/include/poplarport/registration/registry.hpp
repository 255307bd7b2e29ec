#pragma once

#include <cstdint>      // uint32_t, uint64_t
#include <deque>        // deque
#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code

#include "poplarport/core/time.hpp"
#include "poplarport/registration/errors.hpp"

namespace poplarport::registration
{

/// @brief Names one start of an upstream.
struct upstream_start
{
    std::string id;
    std::uint64_t born_ms{0}; ///< Unix time of the start in milliseconds; zero when it is not told

    bool operator==(const upstream_start&) const = default;
};

/// @return a text that names the start, for gossip and logs
[[nodiscard]] std::string to_string(const upstream_start& start);

/// @brief What an upstream says of itself.
struct announcement
{
    upstream_start start{};
    std::string service;
    std::string address;
    std::uint32_t slots{0};
    bool draining{false};
    std::uint64_t sequence{0};        ///< raised with each announcement of a start
    core::duration cold_remaining{0}; ///< how much longer the upstream is slow after its start
};

/// @brief How far the local upstream takes work.
enum class upstream_state
{
    unknown,  ///< nothing was announced since the start of the node
    ready,    ///< takes work
    draining, ///< finishes what it has
    left      ///< announced its end
};

/// @brief The upstream beside the node, as far as it has announced itself.
struct local_upstream
{
    upstream_start start{};
    upstream_state state{upstream_state::unknown};
    std::uint32_t slots{0};
    std::uint64_t sequence{0};
    core::time_point heard_at{};
    core::time_point cold_until{};
};

/// @brief Keeps the announcements of the upstream beside a node in order.
///
/// Draining and leaving hold for a start for ever: a late announcement does not bring it back. Of two starts the one
/// that was announced first is over when the other one appears, whatever their clocks say.
class registry
{
  public:
    /// @param[in] service service of the local upstream
    /// @param[in] address its address, as it announces it
    registry(std::string service, std::string address);

    /// @brief Takes an announcement.
    /// @return an error when it changes nothing because it is not the local upstream's newest word
    std::error_code announce(const announcement& value, core::time_point now);

    /// @brief Takes the end of a start.
    /// @return errc::outdated when another start is in place
    std::error_code leave(const upstream_start& start, core::time_point now);

    /// @brief Remembers from another source that a start has announced its departure.
    /// @param[in] start text of the start, as to_string() makes it
    void remember_departed(const std::string& start);

    /// @brief Takes an upstream that answers a status check before it has announced itself to this process.
    /// @return whether it was taken: nothing was announced yet and its departure is not known
    bool adopt(const std::string& id, std::uint32_t slots, core::time_point now);

    /// @return the local upstream
    [[nodiscard]] const local_upstream& current() const noexcept
    {
        return this->upstream;
    }

    /// @return the start whose departure was announced last; empty for none
    [[nodiscard]] const std::string& departed() const noexcept
    {
        return this->last_departed;
    }

  private:
    [[nodiscard]] std::error_code check(const announcement& value, core::time_point now) const;
    [[nodiscard]] bool is_over(const upstream_start& start) const;
    void begin(const announcement& value);
    void end_current();

    std::string service;
    std::string address;
    local_upstream upstream{};
    std::deque<upstream_start> ended{};
    std::string last_departed{};
};

} // namespace poplarport::registration
