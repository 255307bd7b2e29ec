#pragma once

#include <cstddef>      // size_t
#include <memory>       // unique_ptr
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/message.hpp"

namespace poplarport::http::detail
{

/// @brief Result of one parsing step.
struct parse_step
{
    bool header_complete{false}; ///< the header section became complete in this step
    std::string body{};          ///< bytes of the body, without chunked framing
    bool message_complete{false};
    bool needs_more{false}; ///< the appended bytes are used up; more input is needed
    std::error_code error{};
};

/// @brief Strict incremental HTTP/1.1 parser on Boost.Beast. It calls no hooks; they run between its steps.
class message_parser
{
  public:
    enum class kind
    {
        request,
        response
    };

    /// @param[in] expected           kind of message
    /// @param[in] header_limit_bytes maximum size of the header section, of the line before a chunk and of the trailer
    ///                               section; bounds the bytes that the parser buffers
    message_parser(kind expected, std::size_t header_limit_bytes);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// @brief Starts the next message; appended bytes that are not yet parsed are kept.
    /// @param[in] request_was_head whether the next message is the response to a HEAD request and so has no body
    void start(bool request_was_head = false);

    /// @brief Appends bytes received on the connection.
    void append(std::string_view bytes);

    /// @return the number of appended bytes that are not yet parsed
    [[nodiscard]] std::size_t unparsed_bytes() const noexcept;

    /// @brief Parses up to the end of the header section, of a piece of the body or of the message.
    [[nodiscard]] parse_step step();

    /// @brief Notifies the parser of the end of the connection.
    /// @return no error when that completes the message, else errc::incomplete_message
    [[nodiscard]] std::error_code finish();

    /// @return whether a byte of the current message was parsed
    [[nodiscard]] bool has_started() const noexcept;

    /// @return the header section of the current request; valid once it is complete
    [[nodiscard]] request_header& request() noexcept;

    /// @return the header section of the current response; valid once it is complete
    [[nodiscard]] response_header& response() noexcept;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::http::detail
