#pragma once

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::standins
{

/// @brief Field that carries the request's key; the upstream stand-in returns it on its answer.
inline constexpr const char* request_key_field = "X-Request-Key";

/// @brief Field that asks for the size of the answer's body, in bytes.
inline constexpr const char* answer_bytes_field = "X-Answer-Bytes";

/// @brief Hash (xxhash64) of a body that arrives in pieces.
class body_hash
{
  public:
    body_hash();
    ~body_hash();
    body_hash(const body_hash&) = delete;
    body_hash& operator=(const body_hash&) = delete;

    /// @brief Adds the next bytes of the body.
    void append(std::string_view bytes);

    /// @return the hash of all bytes so far
    [[nodiscard]] std::uint64_t value() const;

  private:
    struct state;
    std::unique_ptr<state> data;
};

/// @brief Hash (xxhash64) of a whole body.
[[nodiscard]] std::uint64_t hash_of_body(std::string_view body);

/// @brief The answer's body for a request, so that a byte of another request's answer is detected.
/// @param[in] key          key of the request
/// @param[in] request_hash hash of the request's body
/// @param[in] size         size of the answer, in bytes
/// @return a stream of xxhash64 values seeded by key and hash
[[nodiscard]] std::string answer_body(std::string_view key, std::uint64_t request_hash, std::size_t size);

} // namespace poplarport::standins
