#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <nghttp2/nghttp2.h>

#include "poplarport/http/message.hpp"

namespace poplarport::peer::detail
{

/// @brief A header block that is received field by field.
class header_block
{
  public:
    /// @brief Adds a field.
    /// @return false when the block exceeds the limit
    [[nodiscard]] bool add(std::string_view name, std::string_view value, std::size_t limit_bytes);

    /// @param[in] has_body whether the stream continues after the block
    /// @return the header section of a request, or nothing when a pseudo-header field is missing or invalid
    [[nodiscard]] std::optional<http::request_header> to_request(bool has_body) const;

    /// @param[in] has_body       whether the stream continues after the block
    /// @param[in] request_was_head whether the request method was HEAD
    /// @return the header section of a response, or nothing when its status is missing or invalid
    [[nodiscard]] std::optional<http::response_header> to_response(bool has_body, bool request_was_head) const;

  private:
    std::string method{};
    std::string path{};
    std::string authority{};
    std::string status{};
    std::optional<std::uint64_t> content_length{};
    bool malformed{false};
    http::header_fields fields{};
    std::size_t size{0};
};

/// @return the header list of a request, pseudo-header fields first, names in lower case
[[nodiscard]] std::vector<http::header_field> encode(const http::request_header& header);

/// @return the header list of a response, pseudo-header fields first, names in lower case
[[nodiscard]] std::vector<http::header_field> encode(const http::response_header& header);

/// @return a header list as nghttp2 structures that refer to `fields`; valid only as long as `fields`
[[nodiscard]] std::vector<nghttp2_nv> to_native(const std::vector<http::header_field>& fields);

} // namespace poplarport::peer::detail
