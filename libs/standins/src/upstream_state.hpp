#pragma once

#include <list>   // list
#include <memory> // enable_shared_from_this, shared_ptr, unique_ptr
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

/// @brief One request at the stand-in.
struct upstream_request
{
    enum class phase
    {
        receiving, ///< its body arrives
        parked,    ///< arrived while the stand-in is frozen
        waiting,   ///< waits for a slot
        running,
        ended
    };

    std::shared_ptr<http::server_exchange> exchange{};
    std::string key{};
    std::size_t response_bytes{0};
    std::optional<core::time_point> deadline{};
    body_hash hash{};
    phase current{phase::receiving};
    std::uint64_t run{0};
    core::time_point started{};
    bool due{false}; ///< its service time ended while the stand-in was frozen
    std::unique_ptr<net::timer> timer{};
};

/// @brief State of an upstream stand-in.
class upstream_server::state
{
  public:
    state(net::event_loop& owner, const upstream_settings& settings);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    [[nodiscard]] core::load_report load() const;
    void set_faults(const faults& values);
    void stop(std::function<void()> on_stopped);

    net::event_loop* loop;
    upstream_settings chosen;
    faults active;
    upstream_counts counts{};
    std::optional<http::server> server{};
    std::unique_ptr<detail::control_server> control{};

  private:
    using request_pointer = std::shared_ptr<upstream_request>;

    void accept(const std::shared_ptr<http::server_exchange>& exchange);
    void offer(const request_pointer& offered);
    void start(const request_pointer& started);
    void finish(const request_pointer& finished);
    void fail_fast(const request_pointer& failed);
    void cancel(const request_pointer& cancelled);
    void refuse(const request_pointer& refused, const std::string& reason);
    void answer(const request_pointer& answered, int status);
    void start_waiting();
    void record_load();
    void check_stopped();
    [[nodiscard]] core::duration next_service_time();
    [[nodiscard]] bool is_expired(const upstream_request& request) const;

    void report(const std::shared_ptr<http::server_exchange>& exchange);
    void send_report(http::server_exchange& exchange) const;
    [[nodiscard]] core::load_report reported_load() const;
    [[nodiscard]] detail::control_response handle_control(const detail::control_request& request);
    [[nodiscard]] std::string status_body() const;

    service_times times;
    request_ledger ledger;
    load_history history{};
    core::time_point created;
    std::list<request_pointer> running{};
    std::list<request_pointer> waiting{};
    std::vector<request_pointer> parked{};
    std::vector<std::shared_ptr<http::server_exchange>> parked_reports{};
    std::list<std::unique_ptr<net::timer>> report_timers{};
    std::chrono::duration<double, std::micro> average_service_time{0.0};
    bool stopping{false};
    bool stop_grace_over{false};
    std::function<void()> stopped_hook{};
    std::unique_ptr<net::timer> stop_grace_timer{};
};

} // namespace poplarport::standins
