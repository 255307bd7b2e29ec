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

/// @brief A folder for one test, removed with its content when the object is destroyed.
class scratch_folder
{
  public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    /// @return the path of a file in the folder
    [[nodiscard]] std::filesystem::path file(const std::string& name) const;

    /// @return the folder
    [[nodiscard]] const std::filesystem::path& path() const noexcept;

  private:
    std::filesystem::path folder;
};

/// @brief How a process ended.
struct exit_status
{
    int code{-1};  ///< exit code, -1 when a signal ended the process
    int signal{0}; ///< the signal, or zero

    bool operator==(const exit_status&) const = default;
};

/// @brief One of the project's programs, started by a test.
///
/// Its output goes to `NAME.out` and `NAME.err` in the scratch folder. The destructor kills the process if it still
/// runs, and waits for it; the kernel kills it when the test program itself ends early. Signals go only to the id of
/// this child, and only before it has been waited for.
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

    /// @brief Waits for a line `listening NAME HOST:PORT` on the output.
    /// @return HOST:PORT
    /// @throw std::runtime_error with the output, when the process ends or the limit passes first
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

    /// @brief Waits for the end of the process.
    /// @return how it ended, or nothing when the limit passes first
    [[nodiscard]] std::optional<exit_status> wait(std::chrono::milliseconds limit = std::chrono::seconds{30});

    /// @return whether the process has not ended
    [[nodiscard]] bool is_running();

    /// @return the process id
    [[nodiscard]] pid_t id() const noexcept;

    /// @return standard output so far
    [[nodiscard]] std::string output() const;

    /// @return standard error so far
    [[nodiscard]] std::string errors() const;

  private:
    void send_signal(int number);

    std::filesystem::path output_file;
    std::filesystem::path error_file;
    pid_t child{-1};
    std::optional<exit_status> ended{};
};

/// @brief Runs a program to its end.
/// @return how it ended, or nothing when it was killed after the limit
[[nodiscard]] std::optional<exit_status> run_program(const scratch_folder& scratch, const std::string& name,
                                                     const std::string& program,
                                                     const std::vector<std::string>& arguments,
                                                     std::chrono::milliseconds limit = std::chrono::seconds{60});

/// @return the content of a file, empty when there is none
[[nodiscard]] std::string read_file(const std::filesystem::path& file);

/// @brief Sends one HTTP request and reads the whole answer, for control addresses.
/// @param[in] address HOST:PORT
/// @param[in] limit   time for each step
/// @param[in] fields  further fields, each as `Name: value`
/// @return status line, fields and body; empty when there was no answer
[[nodiscard]] std::string http_request(const std::string& address, const std::string& method, const std::string& target,
                                       const std::string& body = {},
                                       std::chrono::milliseconds limit = std::chrono::seconds{5},
                                       const std::vector<std::string>& fields = {});

/// @return free loopback ports, all different; another process may take one before it is used
[[nodiscard]] std::vector<std::uint16_t> free_ports(std::size_t count);

/// @brief Calls a condition until it holds.
/// @return whether it held before the limit passed
template <typename Condition>
[[nodiscard]] bool wait_until(const Condition& condition, std::chrono::milliseconds limit = std::chrono::seconds{10});

/// @brief Suspends the test for a step of its schedule.
void pause(std::chrono::milliseconds time);

/// @return the value of a key in the verdict's line of `poplar-load join`, or -1
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
