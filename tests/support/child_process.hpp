#pragma once

#include <chrono>     // milliseconds, steady_clock
#include <cstddef>    // size_t
#include <cstdint>    // uint16_t
#include <filesystem> // path
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include <sys/types.h>

namespace poplarport::test
{

/// @brief A temporary folder, removed with its content by the destructor.
class scratch_folder
{
  public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    /// @return the path of a file in the folder
    [[nodiscard]] std::filesystem::path file(const std::string& name) const;

    /// @return path of the folder
    [[nodiscard]] const std::filesystem::path& path() const noexcept;

  private:
    std::filesystem::path folder;
};

/// @brief Exit status of a process.
struct exit_status
{
    int code{-1};  ///< exit code; -1 when a signal ended the process
    int signal{0}; ///< signal that ended the process, or zero

    bool operator==(const exit_status&) const = default;
};

/// @brief A child process that runs one of the project's programs.
///
/// Its output goes to `NAME.out` and `NAME.err` in the scratch folder. The destructor kills a process that still runs
/// and waits for it; the kernel kills it when the test program ends first. Signals are sent only to this process, and
/// only before it has been waited for.
class child_process
{
  public:
    /// @brief Starts a program.
    /// @param[in] scratch   folder for the output
    /// @param[in] name      name of the output files, unique within the folder
    /// @param[in] program   name of a program of the project, as `poplar-load`
    /// @param[in] arguments its arguments
    /// @throw std::system_error when the process cannot be started
    child_process(const scratch_folder& scratch, const std::string& name, const std::string& program,
                  const std::vector<std::string>& arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// @brief Waits for the line `listening NAME HOST:PORT` on standard output.
    /// @return HOST:PORT
    /// @throw std::runtime_error with the output when the limit passes first
    [[nodiscard]] std::string address(const std::string& listener,
                                      std::chrono::milliseconds limit = std::chrono::seconds{10}) const;

    /// @brief Sends SIGTERM.
    void terminate();

    /// @brief Sends SIGKILL.
    void kill();

    /// @brief Sends SIGSTOP and waits until the process has stopped.
    void stop();

    /// @brief Sends SIGCONT.
    void resume();

    /// @brief Waits until the process ends.
    /// @return its exit status, or nothing when the limit passes first
    [[nodiscard]] std::optional<exit_status> wait(std::chrono::milliseconds limit = std::chrono::seconds{30});

    /// @return whether the process still runs
    [[nodiscard]] bool is_running();

    /// @return the process id
    [[nodiscard]] pid_t id() const noexcept;

    /// @return standard output so far
    [[nodiscard]] std::string output() const;

    /// @return standard error so far
    [[nodiscard]] std::string errors() const;

  private:
    void send_signal(int signal_number);

    std::filesystem::path output_file;
    std::filesystem::path error_file;
    pid_t process_id{-1};
    std::optional<exit_status> end_status{};
};

/// @brief Runs a program and waits until it ends.
/// @return its exit status, or nothing when it was killed after the limit
[[nodiscard]] std::optional<exit_status> run_program(const scratch_folder& scratch, const std::string& name,
                                                     const std::string& program,
                                                     const std::vector<std::string>& arguments,
                                                     std::chrono::milliseconds limit = std::chrono::seconds{60});

/// @return content of a file; empty when it does not exist
[[nodiscard]] std::string read_file(const std::filesystem::path& file);

/// @brief Sends one HTTP request and reads the whole response.
/// @param[in] address HOST:PORT
/// @param[in] limit   timeout of each socket operation
/// @param[in] fields  additional header fields, each as `Name: value`
/// @return status line, header fields and body; empty when there was no response
[[nodiscard]] std::string http_request(const std::string& address, const std::string& method, const std::string& target,
                                       const std::string& body = {},
                                       std::chrono::milliseconds limit = std::chrono::seconds{5},
                                       const std::vector<std::string>& fields = {});

/// @return distinct free loopback ports; another process may take one before it is used
[[nodiscard]] std::vector<std::uint16_t> free_ports(std::size_t count);

/// @brief Polls a condition until it returns true.
/// @return whether that happened before the limit passed
template <typename Condition>
[[nodiscard]] bool wait_until(const Condition& condition, std::chrono::milliseconds limit = std::chrono::seconds{10});

/// @brief Blocks the test for a duration.
void pause(std::chrono::milliseconds duration);

/// @return value of a key in the verdict line of `poplar-load join`, or -1 when it is missing
[[nodiscard]] double verdict_value(const std::string& verdict, const std::string& key);

template <typename Condition>
bool wait_until(const Condition& condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        pause(std::chrono::milliseconds{5});
    }
    return true;
}

} // namespace poplarport::test
