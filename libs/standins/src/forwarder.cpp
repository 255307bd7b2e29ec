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

// nlohmann/json looks this up in the namespace of the enumeration.
NLOHMANN_JSON_SERIALIZE_ENUM(forward_direction, {{forward_direction::none, "none"},
                                                 {forward_direction::to_target, "to_target"},
                                                 {forward_direction::to_caller, "to_caller"},
                                                 {forward_direction::both, "both"}})

namespace
{

constexpr const char* allowed_keys = "delay_ms, bytes_per_second, new_connections, refuse_new";

[[noreturn]] void reject_value(const std::string& key, const json& found, const char* allowed)
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
    // nlohmann/json maps unknown values to the first enumerator.
    if (json(direction) != value)
    {
        reject_value(key, value, "none, to_target, to_caller, both");
    }
    return direction;
}

std::uint64_t read_count(const std::string& key, const json& value)
{
    constexpr std::uint64_t max_count = 3'600'000'000;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_count)
    {
        reject_value(key, value, "a whole number from 0 to 3600000000");
    }
    return value.get<std::uint64_t>();
}

json to_object(const forwarder_faults& active_faults)
{
    return {{"delay_ms", active_faults.delay.count()},
            {"bytes_per_second", active_faults.bytes_per_second},
            {"new_connections", active_faults.new_connections},
            {"refuse_new", active_faults.refuse_new}};
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
                reject_value(key, value, "true, false");
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
    state(net::event_loop& shared_loop, const settings& configuration)
        : loop(&shared_loop), target(configuration.target), faults(configuration.initial_faults),
          listener(shared_loop, configuration.listen,
                   [this](std::unique_ptr<net::stream_socket> socket) { this->accept(std::move(socket)); })
    {
        if (configuration.control)
        {
            this->control = std::make_unique<detail::control_server>(shared_loop, *configuration.control,
                                                                     [this](const detail::control_request& request)
                                                                     { return this->handle_control(request); });
        }
    }

    ~state()
    {
        // The links hold a callback to this object, so that none may outlive it.
        this->reset_connections();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void set_faults(const forwarder_faults& new_faults)
    {
        this->faults = new_faults;
        const auto open_links = this->links;
        for (const auto& link : open_links)
        {
            link->set_faults(new_faults);
        }
    }

    void silence(forward_direction directions)
    {
        const auto open_links = this->links;
        for (const auto& link : open_links)
        {
            link->silence(directions);
        }
    }

    void reset_connections()
    {
        const auto open_links = this->links;
        for (const auto& link : open_links)
        {
            link->reset_connections();
        }
    }

    [[nodiscard]] forwarder_counts counts() const
    {
        forwarder_counts result = this->totals;
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
    net::listener listener;
    std::unique_ptr<detail::control_server> control{};

  private:
    void accept(std::unique_ptr<net::stream_socket> socket)
    {
        ++this->totals.accepted;
        if (this->faults.refuse_new)
        {
            socket->reset();
            return;
        }
        const auto link = std::make_shared<forwarder_link>(*this->loop, std::move(socket),
                                                           [this](const std::shared_ptr<forwarder_link>& closed_link)
                                                           { this->remove(closed_link); });
        this->links.insert(link);
        link->start(this->target, this->faults);
    }

    void remove(const std::shared_ptr<forwarder_link>& link)
    {
        this->totals.bytes_to_target += link->bytes_to_target();
        this->totals.bytes_to_caller += link->bytes_to_caller();
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
            this->reset_connections();
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
        const auto current_counts = this->counts();
        const json object{{"faults", to_object(this->faults)},
                          {"accepted", current_counts.accepted},
                          {"open", current_counts.open},
                          {"silent", current_counts.silent},
                          {"bytes_to_target", current_counts.bytes_to_target},
                          {"bytes_to_caller", current_counts.bytes_to_caller}};
        return object.dump();
    }

    std::set<std::shared_ptr<forwarder_link>> links{};
    forwarder_counts totals{};
};

forwarder::forwarder(net::event_loop& loop, const settings& configuration)
    : data(std::make_unique<state>(loop, configuration))
{
}

forwarder::~forwarder() = default;

core::socket_address forwarder::address() const
{
    return this->data->listener.address();
}

std::optional<core::socket_address> forwarder::control_address() const
{
    if (!this->data->control)
    {
        return std::nullopt;
    }
    return this->data->control->address();
}

void forwarder::set_faults(const forwarder_faults& new_faults)
{
    this->data->set_faults(new_faults);
}

void forwarder::silence(forward_direction directions)
{
    this->data->silence(directions);
}

void forwarder::reset_connections()
{
    this->data->reset_connections();
}

forwarder_counts forwarder::counts() const
{
    return this->data->counts();
}

} // namespace poplarport::standins
