#pragma once

#include <functional>   // function
#include <map>          // map
#include <memory>       // shared_ptr
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/manifest/service_document.hpp"

namespace poplarport::manifest
{

/// @brief Result of checking a caller's credential.
enum class verdict
{
    valid,       ///< the credential is right and the service admits the tenant
    missing,     ///< no bearer credential: 401
    invalid,     ///< the credential is wrong: 401
    not_admitted ///< the credential is right and the service does not admit the tenant: 403
};

/// @brief A verdict and, when it is `valid`, the tenant.
struct authentication
{
    verdict result{verdict::missing};     ///< the verdict
    const tenant_limits* limits{nullptr}; ///< the tenant with its limits, within the document; null unless valid
};

/// @brief Returns the value of a request's header field by its name, or nothing.
using header_lookup = std::function<std::optional<std::string_view>(std::string_view name)>;

/// @brief Checks the value of the `Authorization` field, `Bearer TENANT.SECRET`, against a service.
/// @param[in] document      document of the service
/// @param[in] authorization value of the field, or nothing when it is absent
[[nodiscard]] authentication authenticate(const service_document& document,
                                          std::optional<std::string_view> authorization) noexcept;

/// @brief Returns the result code of a verdict; no error for `valid`.
[[nodiscard]] std::error_code to_error_code(verdict value) noexcept;

/// @brief Finds the class of a request: the first header rule that matches, else the longest path prefix, else the
/// class named `default`, else a class of that name with weight 1.
/// @param[in] rules  the service
/// @param[in] target request target in origin form
/// @param[in] header lookup of the request's header fields
[[nodiscard]] const traffic_class& find_class(const service& rules, std::string_view target,
                                              const header_lookup& header);

/// @brief Tells whether a request may run more than once.
///
/// A target with dot segments, empty segments, a backslash or an encoded form of these is never repeatable, because
/// an upstream may resolve it to another path than the one that the rule names.
/// @param[in] rules  the service
/// @param[in] method HTTP method, case-sensitive
/// @param[in] target request target in origin form
[[nodiscard]] bool is_repeatable(const service& rules, std::string_view method, std::string_view target) noexcept;

/// @brief The documents that a node holds, found by service name or host.
class service_directory
{
  public:
    /// @brief Adds a document or replaces the one of the same service. A host stays with the service that had it first.
    void insert(const std::shared_ptr<const service_document>& document);

    /// @brief Removes the document of a service.
    void erase(const std::string& name);

    /// @brief Finds the service of a request. `Poplar-Service` takes precedence; a wrong value is not replaced by
    /// the host.
    /// @param[in] service_field value of `Poplar-Service`, or nothing
    /// @param[in] host          value of `Host`; a port is ignored and case does not matter
    /// @return the document, or null
    [[nodiscard]] std::shared_ptr<const service_document> find(std::optional<std::string_view> service_field,
                                                               std::string_view host) const;

  private:
    std::map<std::string, std::shared_ptr<const service_document>, std::less<>> by_name;
    std::map<std::string, std::shared_ptr<const service_document>, std::less<>> by_host;
};

} // namespace poplarport::manifest
