#pragma once

#include <functional> // function
#include <memory>     // make_shared, shared_ptr
#include <random>     // mt19937_64
#include <string>     // string
#include <vector>     // vector

#include "poplarport/configuration/watch_schedule.hpp"
#include "poplarport/evacuation/replica.hpp"
#include "poplarport/mesh/configuration_task.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/store/object_store.hpp"

namespace poplarport::mesh
{

/// @brief Learns the evacuated availability zones from the store and from other nodes, and passes them on.
///
/// Which nodes watch the store is decided by `configuration::watch_schedule`, as for the configuration.
class evacuation_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        std::function<void(const evacuation::zone_state&)> on_change; ///< other zones are evacuated than before
        /// Sends the state to so many random members.
        std::function<void(const evacuation::zone_state&, std::size_t copies)> send;
        std::function<watch_rank()> rank; ///< returns the rank of this node among those that may watch
    };

    /// @param[in] loop           event loop of the node
    /// @param[in] zones          availability zones of the installation
    /// @param[in] is_first_start whether the installation starts for the first time, so that nothing is evacuated
    /// @param[in] kind           kind of the store's objects, of which each has the name of an evacuated zone
    /// @param[in] objects        the object store; must outlive the task
    /// @param[in] random         random engine of the node
    /// @param[in] events         callbacks into the other parts of the node
    evacuation_task(net::event_loop& loop, std::vector<std::string> zones, bool is_first_start, std::string kind,
                    store::object_store& objects, std::mt19937_64& random, hooks events);
    ~evacuation_task();
    evacuation_task(const evacuation_task&) = delete;
    evacuation_task& operator=(const evacuation_task&) = delete;

    /// @brief Records that a member has joined or ended, or lost or regained the store.
    void on_members_changed(bool has_peers);

    /// @brief Processes the state of another node.
    /// @return whether the node must be told the state that is held here
    [[nodiscard]] bool on_received(const evacuation::zone_state& received, const std::string& sender);

    /// @return the evacuated zones
    [[nodiscard]] const evacuation::zone_state& state() const noexcept
    {
        return this->copy.in_force();
    }

    /// @return the newest state of the store that is known, for other nodes
    [[nodiscard]] const evacuation::zone_state& stored_state() const noexcept
    {
        return this->copy.state();
    }

  private:
    [[nodiscard]] watch_rank rank() const;
    void run_step();
    void list(store::consistency wanted);
    void watch();
    void handle_listed(const store::outcome<store::listing>& result);
    void handle_changes(const store::outcome<store::change_list>& result);
    void handle_failure(std::error_code error);
    void apply_stored();
    [[nodiscard]] bool is_zone(const store::object& entry) const;
    void report_change(std::string_view source) const;
    void send_due();
    void schedule();

    net::event_loop* loop;
    std::vector<std::string> known_zones;
    std::string object_kind;
    store::object_store* objects;
    std::mt19937_64* random;
    hooks events;
    configuration::watch_schedule watching;
    evacuation::replica copy;
    evacuation::zone_state stored{}; ///< as this node has read it from the store
    bool has_read;
    bool had_peers{false};
    std::uint64_t last_watch{0}; ///< number of the watch in progress; results of earlier ones are discarded
    net::timer store_wakeup;
    net::timer send_wakeup;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::mesh
