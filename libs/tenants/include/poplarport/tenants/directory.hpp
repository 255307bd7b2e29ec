#pragma once

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <string>        // string
#include <string_view>   // string_view
#include <system_error>  // error_code
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/tenants/tenant.hpp"

namespace poplarport::tenants
{

/// @brief Maximum length of a key; bounds the processor time that a caller can cause.
inline constexpr std::size_t max_key_bytes = 256;

/// @brief Result of looking up a key.
struct identification
{
    std::error_code error{};           ///< empty if the tenant is known
    const tenant* identified{nullptr}; ///< owned by the directory
};

/// @brief The tenants of one version of the configuration, by key.
///
/// Keys are held and compared as digests, so that the time of a lookup depends neither on the number of tenants nor on
/// how much of a key is right.
class directory
{
  public:
    directory() = default;

    /// @param[in] tenants the tenants
    explicit directory(std::vector<tenant> tenants);

    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;
    directory(directory&&) = default;
    directory& operator=(directory&&) = default;
    ~directory() = default;

    /// @brief Finds the tenant of a request, in constant time on average.
    /// @param[in] keys values of the header field that contains the key, one for each time that it occurs
    [[nodiscard]] identification identify(const std::vector<std::string_view>& keys) const;

    /// @return the tenant of that name, or nullptr
    [[nodiscard]] const tenant* find(std::string_view name) const;

  private:
    std::vector<tenant> entries{};
    std::unordered_multimap<std::uint64_t, std::size_t> by_digest{}; ///< first bytes of a digest to index of tenant
    std::unordered_map<std::string, std::size_t> by_name{};
};

/// @brief Checks that names and keys are unique.
/// @return a description of the first fault, empty if there is none; contains no key
[[nodiscard]] std::string find_fault(const std::vector<tenant>& tenants);

} // namespace poplarport::tenants
