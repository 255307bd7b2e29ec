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

/// @brief Result of checking the credential of a request.
enum class verdict
{
    valid,       ///< the credential is correct and the service admits the tenant
    missing,     ///< no bearer credential: 401
    invalid,     ///< the credential is wrong: 401
    not_admitted ///< the credential is correct but the service does not admit the tenant: 403
};

/// @brief Result of authenticating a request: the verdict and, if it is `valid`, the tenant.
struct authentication
{
    verdict result{verdict::missing};
    const tenant_limits* limits{nullptr}; ///< limits of the tenant, owned by the document; null unless valid
};

/// @brief Returns the value of the request header field with a name, or nothing if it is absent.
using header_lookup = std::function<std::optional<std::string_view>(std::string_view name)>;

/// @brief Checks the credential in an `Authorization` field, `Bearer TENANT.SECRET`, for a service.
/// @param[in] document      document of the service
/// @param[in] authorization value of the field, or nothing if it is absent
[[nodiscard]] authentication authenticate(const service_document& document,
                                          std::optional<std::string_view> authorization) noexcept;

/// @return the result code of a verdict; no error for `valid`
[[nodiscard]] std::error_code to_error_code(verdict result) noexcept;

/// @brief Finds the traffic class of a request.
///
/// This is the class of the first matching header field, else that of the longest matching path prefix, else the class
/// named `default`, else a built-in class of that name with weight 1.
/// @param[in] rules  rules of the service
/// @param[in] target request target in origin form
/// @param[in] header returns the header fields of the request
[[nodiscard]] const traffic_class& find_class(const service& rules, std::string_view target,
                                              const header_lookup& header);

/// @brief Returns whether a request may run more than once.
///
/// A target with dot segments, empty segments, a backslash or an encoded form of these is never repeatable, because an
/// upstream may resolve it to a path that no rule covers.
/// @param[in] rules  rules of the service
/// @param[in] method HTTP method, case-sensitive
/// @param[in] target request target in origin form
[[nodiscard]] bool is_repeatable(const service& rules, std::string_view method, std::string_view target) noexcept;

/// @brief The service documents of a node, indexed by service name and host.
class service_directory
{
  public:
    /// @brief Adds a document, or replaces that of the same service. A host listed by several services belongs to the
    /// first one inserted.
    void insert(const std::shared_ptr<const service_document>& document);

    /// @brief Removes the document of a service.
    void erase(const std::string& name);

    /// @brief Finds the service of a request. `Poplar-Service` takes precedence; if its value is unknown, the host is
    /// not used instead.
    /// @param[in] service_field value of `Poplar-Service`, or nothing
    /// @param[in] host          value of `Host`; port and case are ignored
    /// @return the document, or null if there is none
    [[nodiscard]] std::shared_ptr<const service_document> find(std::optional<std::string_view> service_field,
                                                               std::string_view host) const;

  private:
    std::map<std::string, std::shared_ptr<const service_document>, std::less<>> by_name;
    std::map<std::string, std::shared_ptr<const service_document>, std::less<>> by_host;
};

} // namespace poplarport::manifest
