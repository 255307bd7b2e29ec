#pragma once

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <map>         // map
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/ids.hpp"

namespace poplarport::standins
{

/// @brief An object of the platform.
struct platform_object
{
    core::version version{0}; ///< version of the latest write
    std::string value;        ///< JSON text, as written
};

/// @brief One entry of a list of objects.
struct listed_object
{
    std::string key;
    core::version version{0};
};

/// @brief Condition of a write.
struct write_condition
{
    core::version expected{0}; ///< version that the object must have; zero: it must not exist
};

/// @brief Outcome of a write or a removal.
struct write_result
{
    bool is_applied{false};
    core::version version{0}; ///< the new version, or the present one when the condition does not hold
};

/// @brief Objects with versions and conditional updates, in memory.
///
/// Versions come from one counter, so that an object that is deleted and created again never repeats one.
class object_store
{
  public:
    /// @return the object, or null
    [[nodiscard]] const platform_object* find(const std::string& key) const noexcept;

    /// @brief Writes an object when the condition holds.
    [[nodiscard]] write_result put(const std::string& key, std::string value, write_condition condition);

    /// @brief Removes an object when the condition holds.
    [[nodiscard]] write_result erase(const std::string& key, write_condition condition);

    /// @return keys with the prefix, in their order
    [[nodiscard]] std::vector<listed_object> list(std::string_view prefix) const;

  private:
    std::map<std::string, platform_object, std::less<>> objects;
    core::version latest{0};
};

} // namespace poplarport::standins
