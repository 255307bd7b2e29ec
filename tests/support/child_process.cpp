#include "child_process.hpp"

#include <algorithm>    // max, transform
#include <array>        // array
#include <cctype>       // tolower
#include <csignal>      // kill, SIGKILL
#include <cstdlib>      // mkdtemp
#include <cstring>      // strlen
#include <fstream>      // ifstream
#include <sstream>      // istringstream, ostringstream
#include <stdexcept>    // runtime_error
#include <system_error> // generic_category, system_error
#include <thread>       // sleep_for

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarport::test
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{5};

[[noreturn]] void throw_errno(const std::string& what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

exit_status to_exit_status(int status)
{
    if (WIFSIGNALED(status))
    {
        return {-1, WTERMSIG(status)};
    }
    return {WEXITSTATUS(status), 0};
}

// Runs in the child; uses only async-signal-safe calls, as required between fork and exec.
[[noreturn]] void run_child(pid_t parent, const char* output, const char* errors, char* const* arguments)
{
    constexpr int exec_failure_code = 127;
    constexpr mode_t mode = 0600;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t no_signals{};
    sigemptyset(&no_signals);
    ::sigprocmask(SIG_SETMASK, &no_signals, nullptr);
    const int input = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    const int out = ::open(output, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
    const int err = ::open(errors, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
    // PR_SET_PDEATHSIG has no effect when the test program ended before the prctl call.
    if (::getppid() != parent || input < 0 || out < 0 || err < 0)
    {
        ::_exit(exec_failure_code);
    }
    ::dup2(input, STDIN_FILENO);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(err, STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(exec_failure_code);
}

} // namespace

scratch_folder::scratch_folder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "poplarport-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw_errno("mkdtemp");
    }
    this->folder = pattern;
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::filesystem::path scratch_folder::file(const std::string& name) const
{
    return this->folder / name;
}

const std::filesystem::path& scratch_folder::path() const noexcept
{
    return this->folder;
}

child_process::child_process(const scratch_folder& scratch, const std::string& name, const std::string& program,
                             const std::vector<std::string>& arguments)
    : output_file(scratch.file(name + ".out")), error_file(scratch.file(name + ".err"))
{
    std::vector<std::string> command{std::string{POPLARPORT_PROGRAM_FOLDER} + "/" + program};
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(command.size() + 1);
    for (auto& argument : command)
    {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    const pid_t parent = ::getpid();
    this->process_id = ::fork();
    if (this->process_id < 0)
    {
        throw_errno("fork");
    }
    if (this->process_id == 0)
    {
        run_child(parent, this->output_file.c_str(), this->error_file.c_str(), pointers.data());
    }
}

child_process::~child_process()
{
    if (this->is_running())
    {
        // SIGKILL also ends a process that is stopped.
        this->send_signal(SIGKILL);
        int status = 0;
        ::waitpid(this->process_id, &status, 0);
    }
}

std::string child_process::address(const std::string& listener, std::chrono::milliseconds limit) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    do
    {
        std::istringstream lines{this->output()};
        for (std::string line; std::getline(lines, line);)
        {
            std::istringstream words{line};
            std::string first;
            std::string name;
            std::string address;
            // A line without a newline may be incomplete.
            if (!lines.eof() && words >> first >> name >> address && first == "listening" && name == listener)
            {
                return address;
            }
        }
        std::this_thread::sleep_for(poll_interval);
    } while (std::chrono::steady_clock::now() < end);
    throw std::runtime_error("no line \"listening " + listener + "\"; output: " + this->output() + this->errors());
}

void child_process::terminate()
{
    this->send_signal(SIGTERM);
}

void child_process::kill()
{
    this->send_signal(SIGKILL);
}

void child_process::stop()
{
    this->send_signal(SIGSTOP);
    int status = 0;
    if (!this->end_status && ::waitpid(this->process_id, &status, WUNTRACED) == this->process_id && !WIFSTOPPED(status))
    {
        this->end_status = to_exit_status(status);
    }
}

void child_process::resume()
{
    this->send_signal(SIGCONT);
}

std::optional<exit_status> child_process::wait(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (this->is_running() && std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(poll_interval);
    }
    return this->end_status;
}

bool child_process::is_running()
{
    int status = 0;
    if (!this->end_status && ::waitpid(this->process_id, &status, WNOHANG) == this->process_id)
    {
        this->end_status = to_exit_status(status);
    }
    return !this->end_status;
}

pid_t child_process::id() const noexcept
{
    return this->process_id;
}

std::string child_process::output() const
{
    return read_file(this->output_file);
}

std::string child_process::errors() const
{
    return read_file(this->error_file);
}

void child_process::send_signal(int signal_number)
{
    // After the wait the id may belong to another process.
    if (this->is_running())
    {
        ::kill(this->process_id, signal_number);
    }
}

std::optional<exit_status> run_program(const scratch_folder& scratch, const std::string& name,
                                       const std::string& program, const std::vector<std::string>& arguments,
                                       std::chrono::milliseconds limit)
{
    child_process process{scratch, name, program, arguments};
    return process.wait(limit);
}

std::string read_file(const std::filesystem::path& file)
{
    const std::ifstream input{file};
    std::ostringstream text;
    if (input)
    {
        text << input.rdbuf();
    }
    return text.str();
}

namespace
{

class loopback_socket
{
  public:
    loopback_socket() : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }

    ~loopback_socket()
    {
        ::close(this->descriptor);
    }

    loopback_socket(const loopback_socket&) = delete;
    loopback_socket& operator=(const loopback_socket&) = delete;

    [[nodiscard]] int get() const noexcept
    {
        return this->descriptor;
    }

  private:
    int descriptor;
};

sockaddr_in to_socket_address(const std::string& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

// Only a Content-Length marks the end of a response; one without it is read until the connection ends or the time
// limit passes.
bool has_complete_response(const std::string& text)
{
    const std::string length_name = "\r\ncontent-length: ";
    const auto header_end = text.find("\r\n\r\n");
    if (header_end == std::string::npos)
    {
        return false;
    }
    std::string header_section = text.substr(0, header_end);
    std::transform(header_section.begin(), header_section.end(), header_section.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    const auto length = header_section.find(length_name);
    const auto body_begin = header_end + std::strlen("\r\n\r\n");
    return length != std::string::npos &&
           text.size() >= body_begin + std::stoul(header_section.substr(length + length_name.size()));
}

} // namespace

std::string http_request(const std::string& address, const std::string& method, const std::string& target,
                         const std::string& body, std::chrono::milliseconds limit,
                         const std::vector<std::string>& fields)
{
    constexpr std::chrono::milliseconds second{1000};
    const auto colon = address.rfind(':');
    const auto socket_address =
        to_socket_address(address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    const loopback_socket socket;
    const timeval timeout{limit / second, (limit % second).count() * 1000};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n";
    for (const auto& field : fields)
    {
        request.append(field).append("\r\n");
    }
    request.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    std::string response;
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) != 0 ||
        ::send(socket.get(), request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size()))
    {
        return response;
    }
    std::array<char, 4096> buffer{};
    for (ssize_t count = 1; count > 0 && !has_complete_response(response);)
    {
        count = ::recv(socket.get(), buffer.data(), buffer.size(), 0);
        response.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    return response;
}

std::vector<std::uint16_t> free_ports(std::size_t count)
{
    // All sockets stay open until every port is assigned, so that the ports differ.
    const std::vector<loopback_socket> sockets(count);
    std::vector<std::uint16_t> ports;
    for (const auto& socket : sockets)
    {
        auto address = to_socket_address("127.0.0.1", 0);
        socklen_t length = sizeof address;
        if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &length) != 0)
        {
            throw_errno("bind");
        }
        ports.push_back(ntohs(address.sin_port));
    }
    return ports;
}

void pause(std::chrono::milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

double verdict_value(const std::string& verdict, const std::string& key)
{
    std::istringstream words{verdict};
    for (std::string word; words >> word;)
    {
        if (word.starts_with(key + "="))
        {
            return std::stod(word.substr(key.size() + 1));
        }
    }
    return -1.0;
}

} // namespace poplarport::test
