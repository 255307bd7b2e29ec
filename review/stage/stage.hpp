#pragma once

// Stand-ins for the platform, its store, upstreams and callers, which follow the platform's published protocol. Each
// runs on threads of the test process; only the nodes under test are processes of their own.

#include <algorithm>          // ranges::transform
#include <atomic>             // atomic
#include <cctype>             // tolower
#include <chrono>             // milliseconds, steady_clock, system_clock
#include <condition_variable> // condition_variable
#include <csignal>            // SIGKILL
#include <cstdint>            // uint16_t, uint64_t
#include <cstdlib>            // mkdtemp
#include <filesystem>         // path, remove_all
#include <fstream>            // ifstream, ofstream
#include <functional>         // function
#include <map>                // map
#include <memory>             // shared_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <set>                // set
#include <sstream>            // ostringstream
#include <stdexcept>          // runtime_error
#include <string>             // string
#include <string_view>        // string_view
#include <thread>             // thread
#include <utility>            // move, pair
#include <vector>             // vector

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace stage
{

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using nlohmann::json;

// Ports are the same on all machines of a deployment; each machine has a loopback address of its own.
inline constexpr std::uint16_t store_port = 8142;
inline constexpr std::uint16_t caller_port = 8141;
inline constexpr std::uint16_t readiness_port = 8140;
inline constexpr std::uint16_t registration_port = 8146;
inline constexpr std::uint16_t upstream_port = 8147;
inline constexpr std::uint16_t first_internal_port = 7660;

inline steady::time_point& start_time()
{
    static steady::time_point value = steady::now();
    return value;
}

inline std::int64_t elapsed_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - start_time()).count();
}

inline void pause_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// @brief Writes what was sent, answered and run.
class recorder
{
  public:
    explicit recorder(const std::string& path) : file(path)
    {
    }

    void write(const std::string& text)
    {
        const std::lock_guard guard{this->mutex};
        this->file << elapsed_ms() << " " << text << "\n" << std::flush;
    }

  private:
    std::mutex mutex{};
    std::ofstream file;
};

// ---------------------------------------------------------------------------------------------------------- sockets

inline sockaddr_in address_of(const std::string& host, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &result.sin_addr);
    return result;
}

inline int listen_on(const std::string& host, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const auto address = address_of(host, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, 512) != 0)
    {
        ::close(descriptor);
        throw std::runtime_error("cannot listen on " + host + ":" + std::to_string(port));
    }
    return descriptor;
}

inline int connect_to(const std::string& host, std::uint16_t port, milliseconds limit = milliseconds{1000})
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto address = address_of(host, port);
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        pollfd state{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (::poll(&state, 1, static_cast<int>(limit.count())) != 1 ||
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
        {
            ::close(descriptor);
            return -1;
        }
    }
    ::fcntl(descriptor, F_SETFL, 0);
    return descriptor;
}

inline bool send_all(int descriptor, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto count = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// @brief HTTP/1.1 message; the names of its fields are in lower case.
struct message
{
    std::string first_line{};
    std::vector<std::pair<std::string, std::string>> fields{};
    std::string body{};

    [[nodiscard]] std::string field(std::string_view name) const
    {
        for (const auto& [key, value] : this->fields)
        {
            if (key == name)
            {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream stream{this->first_line};
        std::string result;
        for (int count = 0; count <= index; ++count)
        {
            result.clear();
            stream >> result;
        }
        return result;
    }

    [[nodiscard]] int status() const
    {
        const auto text = this->word(1);
        return text.empty() ? 0 : std::atoi(text.c_str());
    }
};

enum class read_result
{
    complete,
    closed,   ///< before the first byte
    broken,   ///< within the message
    timed_out ///< before the message was complete
};

/// @brief Reads HTTP/1.1 messages from a connection.
class message_reader
{
  public:
    explicit message_reader(int connected) : descriptor(connected)
    {
    }

    read_result read(message& result, steady::time_point limit, bool is_response)
    {
        result = {};
        for (;;)
        {
            const auto end = this->buffer.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                parse_head(this->buffer.substr(0, end), result);
                this->buffer.erase(0, end + 4);
                if (is_response && result.status() / 100 == 1)
                {
                    result = {};
                    continue;
                }
                break;
            }
            const auto state = this->fill(limit);
            if (state != read_result::complete)
            {
                return state == read_result::closed && !this->buffer.empty() ? read_result::broken : state;
            }
        }
        return this->read_body(result, limit, is_response);
    }

    [[nodiscard]] bool has_bytes() const
    {
        return !this->buffer.empty();
    }

  private:
    static void parse_head(const std::string& head, message& result)
    {
        std::istringstream stream{head};
        std::string line;
        std::getline(stream, line);
        result.first_line = line.substr(0, line.find('\r'));
        while (std::getline(stream, line))
        {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
            {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(),
                                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            value.erase(value.find_last_not_of(" \t\r") + 1);
            result.fields.emplace_back(std::move(name), std::move(value));
        }
    }

    read_result read_body(message& result, steady::time_point limit, bool is_response)
    {
        if (result.field("transfer-encoding") == "chunked")
        {
            return this->read_chunks(result, limit);
        }
        const auto length = result.field("content-length");
        if (!length.empty())
        {
            return this->take(result.body, static_cast<std::size_t>(std::atoll(length.c_str())), limit);
        }
        if (!is_response || result.status() == 204 || result.status() == 304)
        {
            return read_result::complete;
        }
        for (;;)
        {
            const auto state = this->fill(limit);
            if (state != read_result::complete)
            {
                result.body = std::exchange(this->buffer, {});
                return state == read_result::closed ? read_result::complete : state;
            }
        }
    }

    read_result read_chunks(message& result, steady::time_point limit)
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos)
            {
                if (const auto state = this->fill(limit); state != read_result::complete)
                {
                    return state == read_result::closed ? read_result::broken : state;
                }
            }
            const auto size = std::strtoull(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, end + 2);
            std::string part;
            const auto state = this->take(part, size + 2, limit);
            if (state != read_result::complete)
            {
                return state;
            }
            if (size == 0)
            {
                return read_result::complete;
            }
            result.body.append(part, 0, size);
        }
    }

    read_result take(std::string& target, std::size_t size, steady::time_point limit)
    {
        while (this->buffer.size() < size)
        {
            if (const auto state = this->fill(limit); state != read_result::complete)
            {
                return state == read_result::closed ? read_result::broken : state;
            }
        }
        target = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return read_result::complete;
    }

    read_result fill(steady::time_point limit)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(limit - steady::now()).count();
        pollfd state{this->descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) != 1)
        {
            return read_result::timed_out;
        }
        char bytes[16384];
        const auto count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            return read_result::closed;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return read_result::complete;
    }

    int descriptor;
    std::string buffer{};
};

inline std::string response_text(int status, const std::string& extra_fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + extra_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Accepts connections and serves each on a thread of its own until the process ends.
inline void serve(int listening, std::function<void(int)> handle, const std::atomic<bool>* stopped = nullptr)
{
    std::thread{[listening, handle = std::move(handle), stopped]
                {
                    for (;;)
                    {
                        const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                        if (stopped != nullptr && *stopped)
                        {
                            return;
                        }
                        if (accepted < 0)
                        {
                            pause_for(milliseconds{5});
                            continue;
                        }
                        const int enabled = 1;
                        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
                        std::thread{[handle, accepted]
                                    {
                                        handle(accepted);
                                        ::close(accepted);
                                    }}
                            .detach();
                    }
                }}
        .detach();
}

// ------------------------------------------------------------------------------------------------------------ store

/// @brief The platform's metadata store.
class store
{
  public:
    explicit store(const std::string& host)
    {
        serve(listen_on(host, store_port), [this](int connection) { this->handle(connection); });
    }

    /// @brief Writes an object as the operator or another writer does.
    void put(const std::string& kind, const std::string& name, json spec)
    {
        const std::lock_guard guard{this->mutex};
        this->change(kind, name, std::move(spec));
    }

    /// @brief Writes an object whose `spec` is a text that is inserted unparsed, as another writer does.
    void put_text(const std::string& kind, const std::string& name, std::string spec)
    {
        const std::lock_guard guard{this->mutex};
        this->change(kind, name, "text of " + name);
        this->texts["\"text of " + name + "\""] = std::move(spec);
    }

    /// @brief Sets whether calls get no answer at all.
    void set_down(bool is_down)
    {
        this->down = is_down;
        this->changed.notify_all();
    }

  private:
    struct event
    {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool deleted;
    };

    json& change(const std::string& kind, const std::string& name, json spec)
    {
        auto& object = this->objects[kind][name];
        if (object.is_null())
        {
            object = {{"metadata",
                       {{"name", name},
                        {"created_at", this->revision + 1},
                        {"finalizers", json::array()},
                        {"deleting", false}}},
                      {"status", nullptr}};
        }
        object["spec"] = std::move(spec);
        object["metadata"]["rev"] = ++this->revision;
        this->events.push_back({this->revision, kind, object, false});
        this->changed.notify_all();
        return object;
    }

    void handle(int connection)
    {
        message_reader reader{connection};
        message request;
        while (reader.read(request, steady::now() + milliseconds{60000}, false) == read_result::complete)
        {
            if (this->down)
            {
                pause_for(milliseconds{5000});
                return;
            }
            const auto [status, body] = this->respond(request);
            const auto text = this->insert_texts(body.dump());
            if (!send_all(connection, response_text(status, "Content-Type: application/json\r\n", text)))
            {
                return;
            }
        }
    }

    std::string insert_texts(std::string body)
    {
        const std::lock_guard guard{this->mutex};
        for (const auto& [marker, text] : this->texts)
        {
            if (const auto position = body.find(marker); position != std::string::npos)
            {
                body.replace(position, marker.size(), text);
            }
        }
        return body;
    }

    static std::map<std::string, std::string> query_of(const std::string& target)
    {
        std::map<std::string, std::string> result;
        const auto start = target.find('?');
        std::istringstream stream{start == std::string::npos ? std::string{} : target.substr(start + 1)};
        std::string part;
        while (std::getline(stream, part, '&'))
        {
            const auto equals = part.find('=');
            result[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return result;
    }

    std::pair<int, json> respond(const message& request)
    {
        const auto method = request.word(0);
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        auto query = query_of(target);
        const std::string prefix = "/-/objects/";
        if (!path.starts_with(prefix))
        {
            return {404, json::object()};
        }
        const auto rest = path.substr(prefix.size());
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
        std::unique_lock guard{this->mutex};
        if (method == "GET" && name.empty())
        {
            return query.contains("watch") ? this->watch(kind, query, guard) : this->list(kind);
        }
        const auto content = json::parse(request.body, nullptr, false);
        auto& all = this->objects[kind];
        if (method == "GET")
        {
            return all.contains(name) ? std::pair{200, all[name]} : std::pair{404, json::object()};
        }
        if (method == "POST")
        {
            const std::string created = content["metadata"]["name"];
            return all.contains(created) ? std::pair{409, all[created]}
                                         : std::pair{200, this->change(kind, created, content["spec"])};
        }
        if (!all.contains(name))
        {
            return {404, json::object()};
        }
        const auto current = all[name]["metadata"]["rev"].get<std::uint64_t>();
        if (method == "DELETE")
        {
            if (query.contains("rev") && std::strtoull(query["rev"].c_str(), nullptr, 10) != current)
            {
                return {409, all[name]};
            }
            const auto removed = all[name];
            all.erase(name);
            this->events.push_back({++this->revision, kind, removed, true});
            this->changed.notify_all();
            return {200, removed};
        }
        const auto expected = content["metadata"].value("rev", current);
        if (expected != current)
        {
            return {409, all[name]};
        }
        return {200, all[name]["spec"] == content["spec"] ? all[name] : this->change(kind, name, content["spec"])};
    }

    std::pair<int, json> list(const std::string& kind)
    {
        json items = json::array();
        for (const auto& [name, object] : this->objects[kind])
        {
            items.push_back(object);
        }
        return {200, {{"items", std::move(items)}, {"has_more", false}, {"at", this->revision}}};
    }

    std::pair<int, json> watch(const std::string& kind, std::map<std::string, std::string>& query,
                               std::unique_lock<std::mutex>& guard)
    {
        const auto after = std::strtoull(query["watch"].c_str(), nullptr, 10);
        const auto limit = steady::now() + milliseconds{std::atoll(query["wait_ms"].c_str())};
        for (;;)
        {
            json found = json::array();
            for (const auto& each : this->events)
            {
                if (each.revision > after && each.kind == kind)
                {
                    found.push_back({{"object", each.object}, {"deleted", each.deleted}});
                }
            }
            if (!found.empty() || this->down || this->changed.wait_until(guard, limit) == std::cv_status::timeout)
            {
                return {200, {{"events", std::move(found)}, {"at", this->revision}}};
            }
        }
    }

    std::mutex mutex{};
    std::condition_variable changed{};
    std::map<std::string, std::map<std::string, json>> objects{};
    std::map<std::string, std::string> texts{}; ///< by the marker that stands for them
    std::vector<event> events{};
    std::uint64_t revision{1};
    std::atomic<bool> down{false};
};

// -------------------------------------------------------------------------------------------------------- upstreams

/// @brief An upstream beside a node. It runs as many requests at once as it has slots, and refuses the others.
class upstream
{
  public:
    /// Handles a request that is being run; returns false to close the connection without another word.
    using run_hook = std::function<bool(upstream&, int connection, const message& request)>;

    /// @param[in] clock_error how far the clock of the machine is ahead at the start of the upstream
    upstream(std::string own_host, std::string own_service, std::string own_zone, std::string own_id, int slot_count,
             recorder& target, run_hook run, milliseconds clock_error = milliseconds{0})
        : host(std::move(own_host)), service(std::move(own_service)), zone(std::move(own_zone)), id(std::move(own_id)),
          slots(slot_count), born(unix_ms() + clock_error.count()), listening(listen_on(this->host, upstream_port)),
          record(&target), hook(std::move(run))
    {
        serve(
            this->listening, [this](int connection) { this->handle(connection); }, &this->crashed);
        std::thread{[this]
                    {
                        this->send_heartbeats();
                    }}
            .detach();
    }

    static std::int64_t unix_ms()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    /// @brief Ends the upstream at once: its port and all its connections are closed, and it sends no more heartbeats.
    void crash()
    {
        this->crashed = true;
        ::shutdown(this->listening, SHUT_RDWR);
        ::close(this->listening);
        const std::lock_guard guard{this->mutex};
        for (const int connection : this->connections)
        {
            ::shutdown(connection, SHUT_RDWR);
        }
    }

    /// @brief Posts a call to the registration address of the machine's node.
    /// @return the status, or 0 without an answer within a second
    int call_node(const std::string& path, const std::string& body)
    {
        const int connection = connect_to(this->host, registration_port);
        if (connection < 0)
        {
            return 0;
        }
        send_all(connection, "POST " + path + " HTTP/1.1\r\nHost: " + this->host +
                                 "\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
        message_reader reader{connection};
        message answer;
        const auto result = reader.read(answer, steady::now() + milliseconds{1000}, true);
        ::close(connection);
        return result == read_result::complete ? answer.status() : 0;
    }

    [[nodiscard]] json heartbeat(const std::string& state)
    {
        return {{"born", this->born},
                {"address", this->host + ":" + std::to_string(upstream_port)},
                {"info", {{"service", this->service}, {"version", "v1"}, {"zone", this->zone}, {"slots", this->slots}}},
                {"status", {{"state", state}, {"sequence", ++this->sequence}, {"cold_remaining", "0ms"}}}};
    }

    [[nodiscard]] std::string load_field() const
    {
        return "Server-Load: " + std::to_string(this->running.load()) + ",0," + std::to_string(this->slots) +
               ",100\r\n";
    }

    /// @return the fields of an answer that ran the request
    [[nodiscard]] std::string answer_fields(const message& request, const std::string& body) const
    {
        const auto request_id = request.field("request-id");
        return "Request-Id: " + request_id + "\r\nResponse-Stamp: " + stamp_of(request_id, body) + "\r\n" +
               this->load_field();
    }

    static std::string stamp_of(const std::string& request_id, const std::string& body)
    {
        return std::to_string(std::hash<std::string>{}(request_id + "/" + body));
    }

    bool answer(int connection, const message& request, const std::string& body) const
    {
        return send_all(connection, response_text(200, this->answer_fields(request, body), body));
    }

    const std::string host;
    const std::string service;
    const std::string zone;
    const std::string id;
    const int slots;
    const std::int64_t born; ///< time of the start, as the clock of the machine shows it
    std::atomic<bool> leaving{false};
    std::atomic<bool> dark{false};    ///< whether it leaves all that it reads without an answer
    std::atomic<bool> has_ack{false}; ///< whether the report that it leaves has been acknowledged

  private:
    void handle(int connection)
    {
        {
            const std::lock_guard guard{this->mutex};
            this->connections.insert(connection);
        }
        message_reader reader{connection};
        message request;
        while (!this->crashed &&
               reader.read(request, steady::now() + milliseconds{10000}, false) == read_result::complete &&
               this->handle_request(connection, request))
        {
        }
        const std::lock_guard guard{this->mutex};
        this->connections.erase(connection);
    }

    bool handle_request(int connection, const message& request)
    {
        while (this->dark)
        {
            pause_for(milliseconds{5});
        }
        if (request.word(1) == "/health")
        {
            const auto fields = "Instance-Id: " + this->id + "\r\n" + this->load_field();
            return send_all(connection, response_text(this->leaving ? 503 : 200, fields, ""));
        }
        const auto request_id = request.field("request-id");
        const auto echoed = "Request-Id: " + request_id + "\r\n" + this->load_field();
        const auto expected = request.field("expect-instance");
        if (!expected.empty() && expected != this->id)
        {
            return send_all(connection,
                            response_text(421, echoed + "Not-Executed: 1\r\nInstance-Id: " + this->id + "\r\n", ""));
        }
        if (request_id.empty() || this->running >= this->slots)
        {
            return send_all(connection,
                            response_text(request_id.empty() ? 400 : 503, echoed + "Not-Executed: 1\r\n", ""));
        }
        ++this->running;
        this->record->write("run " + request_id + " at " + this->id);
        const bool keeps = this->hook(*this, connection, request);
        --this->running;
        return keeps;
    }

    void send_heartbeats()
    {
        while (!this->crashed)
        {
            if (this->dark)
            {
                pause_for(milliseconds{5});
                continue;
            }
            const bool is_leaving = this->leaving;
            const auto body = this->heartbeat(is_leaving ? "draining" : "ready").dump();
            const int status = this->call_node("/-/Instances.Heartbeat/" + this->id, body);
            if (is_leaving && status == 200)
            {
                this->has_ack = true;
            }
            for (int part = 0; part < 15 && this->leaving == is_leaving; ++part)
            {
                pause_for(milliseconds{100});
            }
        }
    }

    int listening;
    recorder* record;
    run_hook hook;
    std::atomic<bool> crashed{false};
    std::mutex mutex{};
    std::set<int> connections{};
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<int> running{0};
};

// ------------------------------------------------------------------------------------------------------------ nodes

/// @brief Places of the test: loopback addresses and a temporary folder of its own.
struct place
{
    std::string network; ///< first three numbers of all addresses
    std::filesystem::path folder;

    [[nodiscard]] std::string host(int number) const
    {
        return this->network + "." + std::to_string(number);
    }
};

inline place make_place()
{
    const auto process = static_cast<unsigned int>(::getpid());
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary folder");
    }
    return {"127." + std::to_string(20 + process / 250 % 200) + "." + std::to_string(1 + process % 250), pattern};
}

inline std::string read_file(const std::filesystem::path& path)
{
    std::ifstream stream{path};
    if (!stream)
    {
        throw std::runtime_error("cannot read " + path.string());
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// @brief Fills the template of the deploy file: plain placeholders, and sections that depend on a true value.
inline std::string fill_template(std::string text, const std::map<std::string, std::string>& values, bool is_first)
{
    const std::string open = "{{#bootstrap}}";
    const std::string close = "{{/bootstrap}}";
    if (const auto start = text.find(open); start != std::string::npos)
    {
        const auto end = text.find(close, start);
        const auto inner = text.substr(start + open.size(), end - start - open.size());
        text.replace(start, end + close.size() - start, is_first ? inner : std::string{});
    }
    for (auto start = text.find("{{"); start != std::string::npos; start = text.find("{{", start))
    {
        const auto end = text.find("}}", start);
        auto name = text.substr(start + 2, end - start - 2);
        const bool is_json = name.ends_with("|json");
        name = name.substr(0, name.find('|'));
        const auto found = values.find(name);
        if (found == values.end())
        {
            throw std::runtime_error("the template needs " + name);
        }
        text.replace(start, end + 2 - start, is_json ? json(found->second).dump() : found->second);
    }
    return text;
}

/// @brief A machine of the deployment with the process of the node; to be used by the main thread only.
class machine
{
  public:
    machine(const place& own_place, int number, std::string own_service, std::string own_zone)
        : host(own_place.host(number)), service(std::move(own_service)), zone(std::move(own_zone)),
          name("sidecar-" + this->zone + "-" + std::to_string(number)), store_host(own_place.host(1)),
          settings(own_place.folder / (this->name + ".conf")), output(own_place.folder / (this->name + ".log"))
    {
    }

    void start(bool is_first)
    {
        const std::map<std::string, std::string> values{
            {"node_name", this->name},
            {"service", this->service},
            {"zone", this->zone},
            {"ip", this->host},
            {"platform_settings.address", this->store_host + ":" + std::to_string(store_port)},
            {"listen.outbound", this->host + ":" + std::to_string(caller_port)},
            {"listen.control", this->host + ":" + std::to_string(registration_port)},
            {"listen.ready", this->host + ":" + std::to_string(readiness_port)},
            {"internal_port_range.0", std::to_string(first_internal_port)},
            {"app_addr", this->host + ":" + std::to_string(upstream_port)},
            {"bounds.drain", "2000ms"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.retry_budget_slack", "64"},
            {"bounds.budget_window", "10s"},
            {"bounds.grace", "6s"},
            {"limits.max_fds", "4100"},
        };
        std::ofstream{this->settings} << fill_template(read_file("deploy/settings.toml"), values, is_first);
        auto command = run_command();
        for (auto& each : command)
        {
            each = each == "/etc/poplarport/local.conf" ? this->settings.string() : each;
        }
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (auto& each : command)
        {
            arguments.push_back(each.data());
        }
        arguments.push_back(nullptr);
        const int log = ::open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        const auto parent = ::getpid();
        this->process = ::fork();
        if (this->process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
            {
                ::_exit(1);
            }
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
        ::close(log);
    }

    /// @return the wait status if the process has ended by itself or by a signal
    std::optional<int> ended()
    {
        int status = 0;
        if (this->process <= 0 || ::waitpid(this->process, &status, WNOHANG) != this->process)
        {
            return std::nullopt;
        }
        this->process = -1;
        return status;
    }

    void kill(int signal) const
    {
        if (this->process > 0)
        {
            ::kill(this->process, signal);
        }
    }

    void kill_and_wait(int signal)
    {
        if (this->process > 0)
        {
            ::kill(this->process, signal);
            ::waitpid(this->process, nullptr, 0);
            this->process = -1;
        }
    }

    [[nodiscard]] bool is_ready() const
    {
        const int connection = connect_to(this->host, readiness_port);
        if (connection < 0)
        {
            return false;
        }
        send_all(connection, "GET /-/readiness HTTP/1.1\r\nHost: " + this->host + "\r\n\r\n");
        message_reader reader{connection};
        message answer;
        const bool has_answer = reader.read(answer, steady::now() + milliseconds{1000}, true) == read_result::complete;
        ::close(connection);
        return has_answer && answer.status() == 200;
    }

    /// @return resident memory in MB
    [[nodiscard]] double memory_mb() const
    {
        std::ifstream stream{"/proc/" + std::to_string(this->process) + "/status"};
        std::string line;
        while (std::getline(stream, line))
        {
            if (line.starts_with("VmRSS:"))
            {
                return std::atof(line.c_str() + 6) / 1024.0;
            }
        }
        return 0.0;
    }

    const std::string host;
    const std::string service;
    const std::string zone;
    const std::string name;

  private:
    /// @return the words of `run` in the deploy file
    static std::vector<std::string> run_command()
    {
        const auto text = read_file("deploy/system.toml");
        const std::string key = "run = \"";
        const auto start = text.find(key) + key.size();
        std::istringstream stream{text.substr(start, text.find('"', start) - start)};
        std::vector<std::string> words;
        for (std::string word; stream >> word;)
        {
            words.push_back(word);
        }
        return words;
    }

    std::string store_host;
    std::filesystem::path settings;
    std::filesystem::path output;
    pid_t process{-1};
};

// ---------------------------------------------------------------------------------------------------------- callers

struct call_result
{
    read_result end{read_result::closed};
    int status{0};
    bool is_whole{false}; ///< a success with the stamp of its body
    std::int64_t took_ms{0};
};

/// @brief A caller's connection, kept open for many requests.
class caller
{
  public:
    explicit caller(std::string node_host) : host(std::move(node_host))
    {
    }

    ~caller()
    {
        this->close();
    }

    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// @return whether a connection is open
    bool open()
    {
        if (this->connection < 0)
        {
            this->connection = connect_to(this->host, caller_port);
            this->reader.emplace(this->connection);
        }
        return this->connection >= 0;
    }

    void close()
    {
        if (this->connection >= 0)
        {
            ::close(this->connection);
            this->connection = -1;
        }
    }

    call_result call(const std::string& method, const std::string& authority, const std::string& path,
                     const std::string& request_id, milliseconds limit, const std::string& body = {})
    {
        const auto started = steady::now();
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + authority + "\r\nRequest-Id: " + request_id +
                           "\r\nDeadline-Ms: " + std::to_string(limit.count()) + "\r\n";
        const bool has_body = method != "GET";
        if (has_body)
        {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        call_result result;
        message answer;
        if (this->open() && send_all(this->connection, text + "\r\n" + (has_body ? body : std::string{})))
        {
            result.end = this->reader->read(answer, started + limit, true);
        }
        result.took_ms = std::chrono::duration_cast<milliseconds>(steady::now() - started).count();
        if (result.end == read_result::complete)
        {
            result.status = answer.status();
            result.is_whole = result.status / 100 == 2 &&
                              answer.field("response-stamp") == upstream::stamp_of(request_id, answer.body);
        }
        if (result.end != read_result::complete || answer.field("connection") == "close")
        {
            this->close();
        }
        return result;
    }

  private:
    std::string host;
    int connection{-1};
    std::optional<message_reader> reader{};
};

inline std::string to_string(const call_result& result)
{
    switch (result.end)
    {
    case read_result::complete:
        return std::to_string(result.status) +
               (result.status / 100 == 2 && !result.is_whole ? " without its stamp" : "");
    case read_result::closed:
        return "closed without an answer";
    case read_result::broken:
        return "closed within the answer";
    case read_result::timed_out:
        break;
    }
    return "no answer in time";
}

// ---------------------------------------------------------------------------------------------------- configuration

struct route
{
    std::string name;
    std::string kind; ///< safe or non_idempotent
    std::string prefix;
    std::string service;
    int timeout_ms;
    int target_ms;
    int priority;
};

inline json make_configuration(int version, const std::string& authority, const std::vector<route>& routes,
                               const std::vector<std::string>& services)
{
    json rules = json::array();
    for (const auto& each : routes)
    {
        rules.push_back(
            {{"name", each.name},
             {"kind", each.kind},
             {"target_latency", std::to_string(each.target_ms) + "ms"},
             {"priority", each.priority},
             {"match", {{"path_prefix", each.prefix}}},
             {"action",
              {{"service", each.service}, {"timeout", std::to_string(each.timeout_ms) + "ms"}, {"max_attempts", 2}}}});
    }
    json clusters = json::array();
    for (const auto& each : services)
    {
        clusters.push_back(
            {{"name", each}, {"health_path", "/health"}, {"max_connections", 260}, {"protocol", "h1"}, {"tls", false}});
    }
    return {{"version", "r" + std::to_string(version)},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout", "3000ms"},
              {"idle_timeout", "15000ms"}}},
            {"listeners", json::array({{{"host", authority}, {"rules", rules}}})},
            {"clusters", clusters}};
}

} // namespace stage
