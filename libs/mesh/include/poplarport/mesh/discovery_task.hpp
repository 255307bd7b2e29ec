#pragma once

#include <functional>  // function
#include <map>         // map
#include <memory>      // shared_ptr
#include <random>      // mt19937_64
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/socket_address.hpp"
#include "poplarport/membership/member.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/store/object_store.hpp"

namespace poplarport::mesh
{

/// @brief Discovers the other nodes through the object store, where each node has one object with its peer address.
///
/// A node writes its object once and reads the list once per process start; later changes come from the membership
/// protocol. The object also stores the deregistration of the local upstream, which must outlive the process. The
/// first-ranked live member removes the objects of nodes that no longer exist, provided that an object is unchanged
/// since that member read it.
class discovery_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        std::function<void(const std::vector<core::socket_address>&)> on_addresses; ///< peer addresses in the list
        std::function<void(const std::string&)> on_deregistered; ///< deregistration stored by an earlier process
    };

    /// @param[in] loop         event loop of the node
    /// @param[in] self         id of this node
    /// @param[in] peer_address peer address of this node
    /// @param[in] objects      the object store; must outlive the task
    /// @param[in] random       random engine of the node
    /// @param[in] events       callbacks into the other parts of the node
    discovery_task(net::event_loop& loop, core::node_id self, core::socket_address peer_address,
                   store::object_store& objects, std::mt19937_64& random, hooks events);
    ~discovery_task();
    discovery_task(const discovery_task&) = delete;
    discovery_task& operator=(const discovery_task&) = delete;

    /// @brief Replaces the list of live members.
    void set_members(const std::vector<membership::member>& live_members);

    /// @brief Writes a deregistration of the local upstream to the store.
    /// @param[in] instance identity of the upstream instance
    /// @param[in] on_end   called once with whether the deregistration was stored
    void store_deregistration(const std::string& instance, std::function<void(bool is_stored)> on_end);

    /// @return whether the data that an earlier process stored has been read
    [[nodiscard]] bool deregistrations_loaded() const noexcept
    {
        return this->registered;
    }

  private:
    void run_step();
    void register_node();
    void list();
    void handle_registered(const store::outcome<store::object>& result);
    void handle_listed(const store::outcome<store::listing>& result);
    void replace(store::object current);
    void retry(std::error_code error, std::string_view step);
    void remove_dead_nodes();
    void remove(const core::node_id& id);
    [[nodiscard]] bool removes_dead_nodes() const;
    [[nodiscard]] std::string spec() const;

    net::event_loop* loop;
    core::node_id self;
    core::socket_address peer_address;
    store::object_store* objects;
    std::mt19937_64* random;
    hooks events;
    bool registered{false};
    bool listed{false};
    core::duration backoff;
    std::vector<membership::member> members{};
    std::map<core::node_id, core::time_point> dead_nodes{};
    net::timer wakeup;
    net::timer removal;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::mesh
