#pragma once

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace poplarport::control
{

/// @brief Maximum size of a request body; equals the maximum size of a value in the platform's object API.
inline constexpr std::size_t max_body_bytes = 1U << 20U;

/// @brief Maximum size of a response that the client accepts: a value with its envelope, or a list of objects.
inline constexpr std::size_t max_response_bytes = 4U << 20U;

/// @brief Content type of JSON.
inline constexpr const char* json_type = "application/json";

/// @brief Content type of plain text.
inline constexpr const char* text_type = "text/plain; charset=utf-8";

/// @brief Content type of metrics in the Prometheus text format.
inline constexpr const char* metrics_type = "text/plain; version=0.0.4; charset=utf-8";

/// @brief HTTP status codes in use.
namespace status
{
inline constexpr unsigned ok = 200;
inline constexpr unsigned no_content = 204;
inline constexpr unsigned bad_request = 400;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned method_not_allowed = 405;
inline constexpr unsigned conflict = 409;
inline constexpr unsigned gone = 410;
inline constexpr unsigned length_required = 411;
inline constexpr unsigned precondition_failed = 412;
inline constexpr unsigned content_too_large = 413;
inline constexpr unsigned precondition_required = 428;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned internal_error = 500;
inline constexpr unsigned unavailable = 503;
} // namespace status

struct header_field
{
    std::string name;  ///< lower case
    std::string value; ///< without line breaks
};

/// @brief One parameter of a query string, percent-decoded.
struct query_parameter
{
    std::string name;
    std::string value;
};

/// @brief A request with a buffered body.
struct request
{
    std::string method{"GET"};
    std::string path{"/"};                ///< server: percent-decoded path; client: request target in origin form
    std::vector<query_parameter> query{}; ///< server: query parameters; client: unused
    std::vector<header_field> headers{};  ///< server: only the fields listed in `captured_headers`
    std::string body{};

    /// @return the value of a query parameter, or nothing if it is absent
    [[nodiscard]] std::optional<std::string_view> parameter(std::string_view name) const noexcept;

    /// @param[in] name field name in lower case
    /// @return the value of the field, or nothing if it is absent
    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const noexcept;
};

/// @brief A response with a buffered body.
struct response
{
    unsigned status{status::ok};         ///< HTTP status code
    std::string content_type{text_type}; ///< media type of the body
    std::string body{};
    std::vector<header_field> headers{}; ///< further fields; client: all fields as they were received

    /// @param[in] name field name, in any case
    /// @return the value of the first field of that name, or nothing if it is absent
    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const noexcept;
};

/// @brief Percent-encodes a string for use in a path or a query. Slashes are not encoded.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// @brief Replaces the percent escapes of a path or a query. A `%` that starts no escape is kept.
[[nodiscard]] std::string percent_decode(std::string_view text);

} // namespace poplarport::control
