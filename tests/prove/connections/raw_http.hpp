#pragma once

#include <atomic>      // atomic
#include <chrono>      // milliseconds
#include <cstdint>     // uint16_t
#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view
#include <thread>      // jthread
#include <vector>      // vector

namespace poplarport::test
{

/// @brief A blocking loopback socket for requests and responses that a conforming client or server does not send.
class raw_socket
{
  public:
    /// @param[in] address HOST:PORT to connect to
    /// @param[in] receive_buffer size of the kernel's receive buffer in bytes, zero for its default
    explicit raw_socket(const std::string& address, int receive_buffer = 0);
    /// @param[in] connected descriptor of a connected socket, owned by the object
    explicit raw_socket(int connected);
    ~raw_socket();
    raw_socket(raw_socket&& other) noexcept;
    raw_socket& operator=(raw_socket&&) = delete;
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;

    /// @brief Sends all bytes.
    /// @return whether the kernel accepted them for the connection
    bool send(std::string_view bytes) const;

    /// @brief Reads the available bytes, waiting up to a limit for the first.
    /// @return the bytes; empty at the end of the connection or after the limit
    [[nodiscard]] std::string receive(std::chrono::milliseconds limit = std::chrono::seconds{5}) const;

    /// @brief Reads until the text occurs, the connection ends or nothing arrives for the limit.
    [[nodiscard]] std::string receive_until(std::string_view text,
                                            std::chrono::milliseconds limit = std::chrono::seconds{5}) const;

    /// @brief Reads until the connection ends or nothing arrives for the limit.
    [[nodiscard]] std::string receive_all(std::chrono::milliseconds limit = std::chrono::seconds{2}) const;

  private:
    int descriptor{-1};
};

/// @brief An upstream for tests: accepts loopback connections and passes each to a handler in a separate thread.
class raw_upstream
{
  public:
    using handler = std::function<void(raw_socket&)>;

    explicit raw_upstream(handler on_connection);
    ~raw_upstream();
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;

    /// @return HOST:PORT
    [[nodiscard]] std::string address() const;

  private:
    void accept();

    handler connection_handler;
    int listening_descriptor{-1};
    std::uint16_t port{0};
    std::atomic<bool> stopping{false};
    std::vector<std::jthread> connections{};
    std::jthread acceptor{};
};

} // namespace poplarport::test
