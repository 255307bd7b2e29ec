#pragma once

#include <cstddef>      // size_t
#include <memory>       // unique_ptr
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/message.hpp"

namespace poplarport::http::detail
{

/// @brief What one step of parsing produced.
struct parse_step
{
    bool head_complete{false}; ///< the head became complete in this step
    std::string body{};        ///< bytes of the body, without chunk framing
    bool message_complete{false};
    bool needs_more{false}; ///< nothing more can be done with the bytes at hand
    std::error_code error{};
};

/// @brief Incremental strict HTTP/1.1 parser over Boost.Beast; hooks run outside of it, between steps.
class message_parser
{
  public:
    enum class kind
    {
        request,
        response
    };

    /// @param[in] expected           kind of message
    /// @param[in] header_limit_bytes greatest size of the header section
    message_parser(kind expected, std::size_t header_limit_bytes);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// @brief Starts the next message; bytes that were appended and not used are kept.
    /// @param[in] answer_to_head whether the next message answers a HEAD request and so has no body
    void start(bool answer_to_head = false);

    /// @brief Adds bytes from the connection.
    void append(std::string_view bytes);

    /// @return the number of bytes that were appended and not used
    [[nodiscard]] std::size_t unused_bytes() const noexcept;

    /// @brief Parses on, up to the end of the head, of a part of the body or of the message.
    [[nodiscard]] parse_step step();

    /// @brief Tells the parser that the connection ended.
    /// @return nothing when the message is complete by that, else errc::incomplete_message
    [[nodiscard]] std::error_code finish();

    /// @return whether a byte of the current message was parsed
    [[nodiscard]] bool has_started() const noexcept;

    /// @return the head of the current request; valid once the head is complete
    [[nodiscard]] request_head& request() noexcept;

    /// @return the head of the current answer; valid once the head is complete
    [[nodiscard]] response_head& response() noexcept;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::http::detail
