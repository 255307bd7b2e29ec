#include "poplarport/standins/forwarder/forwarder.hpp"

#include <set>       // set
#include <stdexcept> // invalid_argument

#include <nlohmann/json.hpp>

#include "forwarder_link.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/standins/detail/control_server.hpp"

namespace poplarport::standins
{

using nlohmann::json;

// nlohmann/json finds this by the namespace of the enumeration.
NLOHMANN_JSON_SERIALIZE_ENUM(forward_direction, {{forward_direction::none, "none"},
                                                 {forward_direction::to_target, "to_target"},
                                                 {forward_direction::to_caller, "to_caller"},
                                                 {forward_direction::both, "both"}})

namespace
{

constexpr const char* allowed_keys = "delay_ms, bytes_per_second, new_connections, refuse_new";

[[noreturn]] void refuse_value(const std::string& key, const json& found, const char* allowed)
{
    throw std::invalid_argument(key + ": found " + found.dump() + ", allowed: " + allowed);
}

json parse_object(std::string_view text)
{
    auto object = json::parse(text, nullptr, false);
    if (!object.is_object())
    {
        throw std::invalid_argument("the body is not a JSON object");
    }
    return object;
}

forward_direction read_direction(const std::string& key, const json& value)
{
    const auto direction = value.get<forward_direction>();
    // The library maps unknown text to the first enumerator.
    if (json(direction) != value)
    {
        refuse_value(key, value, "none, to_target, to_caller, both");
    }
    return direction;
}

std::uint64_t read_count(const std::string& key, const json& value)
{
    constexpr std::uint64_t greatest = 3'600'000'000;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > greatest)
    {
        refuse_value(key, value, "a whole number from 0 to 3600000000");
    }
    return value.get<std::uint64_t>();
}

json to_object(const forwarder_faults& values)
{
    return {{"delay_ms", values.delay.count()},
            {"bytes_per_second", values.bytes_per_second},
            {"new_connections", values.new_connections},
            {"refuse_new", values.refuse_new}};
}

} // namespace

forwarder_faults merge_forwarder_faults(const forwarder_faults& current, std::string_view text)
{
    const auto object = parse_object(text);
    forwarder_faults result = current;
    for (const auto& [key, value] : object.items())
    {
        if (key == "delay_ms")
        {
            result.delay = std::chrono::milliseconds{read_count(key, value)};
        }
        else if (key == "bytes_per_second")
        {
            result.bytes_per_second = read_count(key, value);
        }
        else if (key == "new_connections")
        {
            result.new_connections = read_direction(key, value);
        }
        else if (key == "refuse_new")
        {
            if (!value.is_boolean())
            {
                refuse_value(key, value, "true, false");
            }
            result.refuse_new = value.get<bool>();
        }
        else
        {
            throw std::invalid_argument("unknown key " + key + ", allowed: " + allowed_keys);
        }
    }
    return result;
}

class forwarder::state
{
  public:
    state(net::event_loop& owner, const settings& values)
        : loop(&owner), target(values.target), faults(values.initial_faults),
          accepting(owner, values.listen,
                    [this](std::unique_ptr<net::stream_socket> socket) { this->accept(std::move(socket)); })
    {
        if (values.control)
        {
            this->control = std::make_unique<detail::control_server>(owner, *values.control,
                                                                     [this](const detail::control_request& request)
                                                                     { return this->handle_control(request); });
        }
    }

    ~state()
    {
        // Ends every link, so that none calls back later.
        this->cut();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void set_faults(const forwarder_faults& values)
    {
        this->faults = values;
        const auto open = this->links;
        for (const auto& link : open)
        {
            link->set_faults(values);
        }
    }

    void silence(forward_direction directions)
    {
        const auto open = this->links;
        for (const auto& link : open)
        {
            link->silence(directions);
        }
    }

    void cut()
    {
        const auto open = this->links;
        for (const auto& link : open)
        {
            link->cut();
        }
    }

    [[nodiscard]] forwarder_counts counts() const
    {
        forwarder_counts result = this->ended;
        result.open = this->links.size();
        for (const auto& link : this->links)
        {
            result.silent += link->is_silent() ? 1 : 0;
            result.bytes_to_target += link->bytes_to_target();
            result.bytes_to_caller += link->bytes_to_caller();
        }
        return result;
    }

    net::event_loop* loop;
    core::socket_address target;
    forwarder_faults faults;
    net::listener accepting;
    std::unique_ptr<detail::control_server> control{};

  private:
    void accept(std::unique_ptr<net::stream_socket> socket)
    {
        ++this->ended.accepted;
        if (this->faults.refuse_new)
        {
            socket->reset();
            return;
        }
        const auto link = std::make_shared<forwarder_link>(*this->loop, std::move(socket),
                                                           [this](const std::shared_ptr<forwarder_link>& ended_link)
                                                           { this->remove(ended_link); });
        this->links.insert(link);
        link->start(this->target, this->faults);
    }

    void remove(const std::shared_ptr<forwarder_link>& link)
    {
        this->ended.bytes_to_target += link->bytes_to_target();
        this->ended.bytes_to_caller += link->bytes_to_caller();
        this->links.erase(link);
    }

    detail::control_response handle_control(const detail::control_request& request)
    {
        const bool is_post = request.method == "POST";
        if (is_post && request.target == "/faults")
        {
            this->set_faults(merge_forwarder_faults(this->faults, request.body));
        }
        else if (is_post && request.target == "/silence")
        {
            const auto object = parse_object(request.body);
            this->silence(read_direction("direction", object.value("direction", json(nullptr))));
        }
        else if (is_post && request.target == "/cut")
        {
            this->cut();
        }
        else if (request.method != "GET" || request.target != "/status")
        {
            constexpr int not_found = 404;
            return {not_found, detail::error_body("known: POST /faults, /silence, /cut, GET /status")};
        }
        constexpr int ok = 200;
        return {ok, this->status_body()};
    }

    [[nodiscard]] std::string status_body() const
    {
        const auto shown = this->counts();
        const json object{{"faults", to_object(this->faults)},
                          {"accepted", shown.accepted},
                          {"open", shown.open},
                          {"silent", shown.silent},
                          {"bytes_to_target", shown.bytes_to_target},
                          {"bytes_to_caller", shown.bytes_to_caller}};
        return object.dump();
    }

    std::set<std::shared_ptr<forwarder_link>> links{};
    forwarder_counts ended{};
};

forwarder::forwarder(net::event_loop& loop, const settings& values) : data(std::make_unique<state>(loop, values))
{
}

forwarder::~forwarder() = default;

core::socket_address forwarder::address() const
{
    return this->data->accepting.address();
}

std::optional<core::socket_address> forwarder::control_address() const
{
    if (!this->data->control)
    {
        return std::nullopt;
    }
    return this->data->control->address();
}

void forwarder::set_faults(const forwarder_faults& values)
{
    this->data->set_faults(values);
}

void forwarder::silence(forward_direction directions)
{
    this->data->silence(directions);
}

void forwarder::cut()
{
    this->data->cut();
}

forwarder_counts forwarder::counts() const
{
    return this->data->counts();
}

} // namespace poplarport::standins
