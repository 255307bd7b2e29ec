#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::standins
{

/// @brief Header field with the key of a request; the upstream stand-in returns it in its response.
inline constexpr const char* request_key_field = "X-Request-Key";

/// @brief Header field with the requested size of the response body, in bytes.
inline constexpr const char* response_bytes_field = "X-Answer-Bytes";

/// @brief Incremental xxHash64 of a body that is received in pieces.
class body_hash
{
  public:
    body_hash();
    ~body_hash();
    body_hash(const body_hash&) = delete;
    body_hash& operator=(const body_hash&) = delete;

    /// @brief Appends the next bytes of the body.
    void append(std::string_view bytes);

    /// @return the hash of all bytes appended so far
    [[nodiscard]] std::uint64_t value() const;

  private:
    struct state;
    std::unique_ptr<state> data;
};

/// @return the xxHash64 of a whole body
[[nodiscard]] std::uint64_t hash_of_body(std::string_view body);

/// @brief Generates the response body of a request.
///
/// It depends on the key and body of the request, so that bytes of a response to another request are detected.
/// @param[in] key          key of the request
/// @param[in] request_hash hash of the request body
/// @param[in] size         size of the response body, in bytes
/// @return a sequence of xxHash64 values seeded with the key and the hash
[[nodiscard]] std::string response_body(std::string_view key, std::uint64_t request_hash, std::size_t size);

} // namespace poplarport::standins
