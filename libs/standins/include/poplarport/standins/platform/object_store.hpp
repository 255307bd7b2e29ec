#pragma once

#include <chrono>      // minutes
#include <cstdint>     // uint64_t
#include <deque>       // deque
#include <functional>  // function
#include <map>         // map
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::standins
{

/// @brief An object of the platform.
struct platform_object
{
    core::version version{0}; ///< version of the last write
    std::string value;        ///< JSON text, as written
};

/// @brief Entry of a list of objects.
struct listed_object
{
    std::string key;
    core::version version{0};
};

/// @brief Precondition of a write or a removal.
struct write_condition
{
    core::version expected_version{0}; ///< current version of the object; zero if it must not exist
};

/// @brief Outcome of a write or a removal.
struct write_result
{
    bool is_applied{false};
    core::version version{0}; ///< the new version, or the current one if the condition does not hold
};

/// @brief In-memory store of versioned objects with conditional updates.
///
/// All versions come from one counter, so that an object that is deleted and created again never reuses a version.
/// `restore` returns to an earlier state; versions that were given out since are then given out again.
class object_store
{
  public:
    /// @return the object, or null if there is none
    [[nodiscard]] const platform_object* find(const std::string& key) const noexcept;

    /// @brief Writes an object if the condition holds.
    [[nodiscard]] write_result put(const std::string& key, std::string value, write_condition condition,
                                   core::time_point now);

    /// @brief Removes an object if the condition holds.
    [[nodiscard]] write_result erase(const std::string& key, write_condition condition, core::time_point now);

    /// @brief Returns to the state at a time, at most `copy_retention` ago.
    void restore(core::time_point copied_at);

    /// @return the newest version that has been given out
    [[nodiscard]] core::version last_version() const noexcept
    {
        return this->latest_version;
    }

    /// @return the objects whose keys have the prefix, sorted by key
    [[nodiscard]] std::vector<listed_object> list(std::string_view prefix) const;

    /// Maximum age of a copy.
    static constexpr std::chrono::minutes copy_retention{5};

  private:
    /// @brief What a write replaced.
    struct replaced_object
    {
        core::time_point time;
        std::string key;
        std::optional<platform_object> before; ///< nothing if there was no object
    };

    void record(const std::string& key, core::time_point now);

    std::map<std::string, platform_object, std::less<>> objects;
    std::deque<replaced_object> replaced; ///< oldest first
    core::version latest_version{0};
};

} // namespace poplarport::standins
