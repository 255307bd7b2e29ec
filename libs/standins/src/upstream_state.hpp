#pragma once

#include <list>   // list
#include <memory> // shared_ptr, unique_ptr
#include <vector> // vector

#include "poplarport/http/server.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/detail/control_server.hpp"
#include "poplarport/standins/upstream/request_ledger.hpp"
#include "poplarport/standins/upstream/response_body.hpp"
#include "poplarport/standins/upstream/upstream_server.hpp"
#include "upstream_load_history.hpp"

namespace poplarport::standins
{

/// @brief A request to the stand-in.
struct upstream_request
{
    enum class phase
    {
        receiving, ///< its body is being received
        suspended, ///< received while the stand-in is frozen
        queued,    ///< waits for a slot
        running,
        ended
    };

    std::shared_ptr<http::server_exchange> exchange{};
    std::string key{};
    std::size_t response_bytes{0};
    std::optional<core::time_point> deadline{};
    body_hash hash{};
    phase current_phase{phase::receiving};
    std::uint64_t run{0};
    core::time_point start_time{};
    bool service_ended{false}; ///< the service time ended while the stand-in was frozen
    std::unique_ptr<net::timer> timer{};
};

/// @brief State of an upstream stand-in.
class upstream_server::state
{
  public:
    state(net::event_loop& shared_loop, const upstream_settings& settings);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    [[nodiscard]] core::load_report load() const;
    void set_faults(const faults& new_faults);
    void stop(std::function<void()> on_stopped);

    net::event_loop* loop;
    upstream_settings fixed_settings;
    faults active_faults;
    upstream_counts counts{};
    std::optional<http::server> server{};
    std::unique_ptr<detail::control_server> control{};

  private:
    using request_pointer = std::shared_ptr<upstream_request>;

    void accept(const std::shared_ptr<http::server_exchange>& exchange);
    void dispatch(const request_pointer& request);
    void start(const request_pointer& request);
    void finish(const request_pointer& request);
    void fail_fast(const request_pointer& request);
    void cancel(const request_pointer& request);
    void refuse(const request_pointer& request, const std::string& reason);
    void respond(const request_pointer& request, int status);
    void start_queued();
    void record_load();
    void check_stopped();
    [[nodiscard]] core::duration next_service_time();
    [[nodiscard]] bool is_expired(const upstream_request& request) const;

    void report(const std::shared_ptr<http::server_exchange>& exchange);
    void send_report(http::server_exchange& exchange) const;
    [[nodiscard]] core::load_report reported_load() const;
    [[nodiscard]] detail::control_response handle_control(const detail::control_request& request);
    [[nodiscard]] std::string status_body() const;

    service_times service_time_generator;
    request_ledger ledger;
    load_history history{};
    core::time_point start_time;
    std::list<request_pointer> running_requests{};
    std::list<request_pointer> queued_requests{};
    std::vector<request_pointer> suspended_requests{};
    std::vector<std::shared_ptr<http::server_exchange>> suspended_reports{};
    std::list<std::unique_ptr<net::timer>> report_timers{};
    std::chrono::duration<double, std::micro> average_service_time{0.0};
    bool stopping{false};
    bool stop_grace_over{false};
    std::function<void()> stopped_hook{};
    std::unique_ptr<net::timer> stop_grace_timer{};
};

} // namespace poplarport::standins
