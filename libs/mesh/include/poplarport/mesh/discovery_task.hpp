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

/// @brief Finds the other nodes through the object store: each node keeps one object with its peer address.
///
/// The object is written once a start, and the list is read once a start; afterwards membership finds changes. It also
/// holds the departure of the local upstream, which must outlive the process. Objects of nodes that are gone are
/// removed by the first-ranked live member, if the object is still the one that it has read.
class discovery_task
{
  public:
    /// @brief Hooks to the rest of the node.
    struct hooks
    {
        std::function<void(const std::vector<core::socket_address>&)> on_addresses; ///< peers that are listed
        std::function<void(const std::string&)> on_departed; ///< departure that an earlier process has kept
    };

    /// @param[in] loop    loop of the node
    /// @param[in] self    name of this node
    /// @param[in] peers   its peer address
    /// @param[in] objects the object store; must outlive the task
    /// @param[in] random  random engine of the node
    /// @param[in] events  hooks to the rest of the node
    discovery_task(net::event_loop& loop, core::node_id self, core::socket_address peers, store::object_store& objects,
                   std::mt19937_64& random, hooks events);
    ~discovery_task();
    discovery_task(const discovery_task&) = delete;
    discovery_task& operator=(const discovery_task&) = delete;

    /// @brief Replaces the live members.
    void set_members(const std::vector<membership::member>& members);

    /// @brief Keeps a departure of the local upstream in the store.
    /// @param[in] start  names the upstream's start
    /// @param[in] on_end called once, when it is kept or could not be kept
    void keep_departed(const std::string& start, std::function<void(bool kept)> on_end);

    /// @return whether the store has told what an earlier process kept
    [[nodiscard]] bool knows_past() const noexcept
    {
        return this->registered;
    }

  private:
    void run_step();
    void enter();
    void list();
    void handle_entered(const store::outcome<store::object>& result);
    void handle_listed(const store::outcome<store::listing>& result);
    void replace(store::object current);
    void retry(std::error_code error, std::string_view step);
    void remove_gone();
    void remove(const core::node_id& id);
    [[nodiscard]] bool is_on_duty() const;
    [[nodiscard]] std::string spec() const;

    net::event_loop* loop;
    core::node_id self;
    core::socket_address peers;
    store::object_store* objects;
    std::mt19937_64* random;
    hooks events;
    bool registered{false};
    bool listed{false};
    core::duration back_off;
    std::vector<membership::member> members{};
    std::map<core::node_id, core::time_point> gone{};
    net::timer wakeup;
    net::timer removal;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::mesh
