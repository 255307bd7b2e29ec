#pragma once

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace poplarport::control
{

/// @brief Greatest size of a body, the size of a value in the platform's object API.
inline constexpr std::size_t greatest_body_bytes = 1U << 20U;

/// @brief Content type of JSON.
inline constexpr const char* json_type = "application/json";

/// @brief Content type of plain text.
inline constexpr const char* text_type = "text/plain; charset=utf-8";

/// @brief Content type of the text format of metrics.
inline constexpr const char* metrics_type = "text/plain; version=0.0.4; charset=utf-8";

/// @brief Status codes in use here.
namespace status
{
inline constexpr unsigned ok = 200;
inline constexpr unsigned no_content = 204;
inline constexpr unsigned bad_request = 400;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned method_not_allowed = 405;
inline constexpr unsigned length_required = 411;
inline constexpr unsigned precondition_failed = 412;
inline constexpr unsigned content_too_large = 413;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned internal_error = 500;
inline constexpr unsigned unavailable = 503;
} // namespace status

/// @brief A header field.
struct header_field
{
    std::string name;  ///< lower case
    std::string value; ///< value without line breaks
};

/// @brief One parameter of a query, percent-decoded.
struct query_parameter
{
    std::string name;
    std::string value;
};

/// @brief A request with its whole body.
struct request
{
    std::string method{"GET"};            ///< HTTP method
    std::string path{"/"};                ///< server: path, percent-decoded; client: target in origin form
    std::vector<query_parameter> query{}; ///< server: parameters; client: not used
    std::vector<header_field> headers{};  ///< server: the fields of `captured_headers` that are present
    std::string body{};                   ///< the body

    /// @return the value of a parameter of the query, or nothing
    [[nodiscard]] std::optional<std::string_view> parameter(std::string_view name) const noexcept;

    /// @return the value of a header field, or nothing
    /// @param[in] name name in lower case
    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const noexcept;
};

/// @brief An answer with its whole body.
struct answer
{
    unsigned status{status::ok};         ///< HTTP status
    std::string content_type{text_type}; ///< media type of the body
    std::string body{};                  ///< the body
};

/// @brief Percent-encodes a text for use in a path or a query; slashes stay.
[[nodiscard]] std::string percent_encode(std::string_view text);

} // namespace poplarport::control
