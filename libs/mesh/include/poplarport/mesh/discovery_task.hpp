#pragma once

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <map>         // map
#include <memory>      // shared_ptr
#include <optional>    // optional
#include <random>      // mt19937_64
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/membership/join_schedule.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/store/object_store.hpp"

namespace poplarport::mesh
{

/// @brief Discovers the other nodes through the object store, where a few nodes are registered with their peer address.
///
/// When a node reads the list or registers itself is decided by membership::join_schedule; later changes come from the
/// membership protocol. A node's object also stores the deregistration of the local upstream, which must outlive the
/// process; it is created for that purpose if the node is not registered. The first-ranked live member removes the
/// objects of nodes that no longer exist, provided that an object is unchanged since that member read it. When the
/// store comes back from an older copy, each node writes its object again if the copy has another one.
class discovery_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        std::function<void(const std::vector<core::socket_address>&)> on_addresses; ///< peer addresses in the list
        std::function<void(const std::string&)> on_deregistered; ///< deregistration stored by an earlier process
    };

    /// @param[in] loop           event loop of the node
    /// @param[in] self           id of this node
    /// @param[in] peer_address   peer address of this node
    /// @param[in] is_first_start whether the installation starts for the first time, so that nothing is stored yet
    /// @param[in] objects        the object store; must outlive the task
    /// @param[in] random         random engine of the node
    /// @param[in] events         callbacks into the other parts of the node
    discovery_task(net::event_loop& loop, core::node_id self, core::socket_address peer_address, bool is_first_start,
                   store::object_store& objects, std::mt19937_64& random, hooks events);
    ~discovery_task();
    discovery_task(const discovery_task&) = delete;
    discovery_task& operator=(const discovery_task&) = delete;

    /// @brief Records a live member; the local one is ignored.
    void add_member(const core::node_id& id);

    /// @brief Records that a member is no longer live.
    void remove_member(const core::node_id& id);

    /// @brief Writes a deregistration of the local upstream to the store.
    /// @param[in] instance identity of the upstream instance
    /// @param[in] on_end   called once with whether the deregistration was stored
    void store_deregistration(const std::string& instance, std::function<void(bool is_stored)> on_end);

    /// @return whether the data that an earlier process stored has been read
    [[nodiscard]] bool deregistrations_loaded() const noexcept
    {
        return this->own_object_read;
    }

  private:
    void run_step();
    void schedule();
    void read_own_object();
    void handle_own_object(const store::outcome<store::object>& result);
    void list();
    void handle_listed(const store::outcome<store::listing>& result);
    void register_node();
    void write_own_object(int tries, std::function<void(std::error_code)> on_end);
    void handle_written(const store::outcome<store::object>& result, int tries,
                        const std::function<void(std::error_code)>& on_end);
    void restore_own_object();
    void handle_restored_object(const store::outcome<store::object>& result);
    void log_failure(std::error_code error, std::string_view step) const;
    void list_dead_nodes();
    void remove_dead_nodes(const store::listing& listed);
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] std::string spec() const;

    net::event_loop* loop;
    core::node_id self;
    core::socket_address peer_address;
    store::object_store* objects;
    std::mt19937_64* random;
    hooks events;
    membership::join_schedule joining;
    std::optional<store::object> own_object{}; ///< as last read from the store or written
    bool own_object_read;
    bool registers{false};                            ///< the object contains the peer address, or is to contain it
    std::string deregistered_instance{};              ///< stored, or to be stored, in the object
    std::map<core::node_id, std::uint64_t> members{}; ///< rendezvous weights of the other live members
    std::set<core::node_id> missing_nodes{};          ///< owners of objects that were not live at the last check
    core::duration read_backoff;
    net::timer read_wakeup;
    net::timer wakeup;
    net::timer removal;
    net::timer restore_wakeup;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::mesh
