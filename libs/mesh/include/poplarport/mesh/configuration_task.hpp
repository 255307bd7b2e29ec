#pragma once

#include <functional>  // function
#include <memory>      // shared_ptr
#include <optional>    // optional
#include <random>      // mt19937_64
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/membership/member.hpp"
#include "poplarport/mesh/adapter.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/detail/document_pull.hpp"
#include "poplarport/node/peer_listener.hpp"
#include "poplarport/peer/link.hpp"
#include "poplarport/routes/route_table.hpp"

namespace poplarport::mesh
{

/// @brief Keeps the configuration up to date.
///
/// A few nodes watch the object store; the remaining nodes pull new versions from other members. An older version never
/// replaces a newer one.
class configuration_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        std::function<void(const std::shared_ptr<const routes::route_table>&)>
            on_route_table;                                       ///< a new version is active
        std::function<peer::link*(const core::node_id&)> link_of; ///< returns the link to a member, or nullptr
        std::function<void(bool)> on_store_reached; ///< the store became unreachable (false) or reachable again (true)
    };

    /// @param[in] loop             event loop of the node
    /// @param[in] self             id of this node
    /// @param[in] zone             availability zone of this node
    /// @param[in] cluster_key      key that authenticates this node to members
    /// @param[in] platform_adapter adapter of the installation; must outlive the task
    /// @param[in] random           random engine of the node
    /// @param[in] events           callbacks into the other parts of the node
    configuration_task(net::event_loop& loop, core::node_id self, std::string zone, std::string cluster_key,
                       const adapter& platform_adapter, std::mt19937_64& random, hooks events);
    ~configuration_task();
    configuration_task(const configuration_task&) = delete;
    configuration_task& operator=(const configuration_task&) = delete;

    /// @brief Starts the task with a first read of the configuration from the store.
    void start();

    /// @brief Replaces the list of live members and the configuration versions that they hold.
    void set_members(const std::vector<membership::member>& members);

    /// @return the active version, zero for none
    [[nodiscard]] core::version version() const noexcept
    {
        return this->document.version;
    }

    /// @brief Responds to a member's pull.
    /// @param[in] above version that the member holds; only a newer one is returned
    [[nodiscard]] node::peer_document respond_to_pull(core::version above) const;

  private:
    [[nodiscard]] bool watches() const;
    void list();
    void watch();
    void handle_list(const store::outcome<store::listing>& result);
    void handle_changes(const store::outcome<store::change_list>& result);
    void handle_failure(std::error_code error);
    void handle_success();
    void accept_document(const std::string& text, std::string_view source);
    void pull();
    [[nodiscard]] std::vector<core::node_id> newer_members() const;
    void pull_from(const core::node_id& id);

    core::node_id self;
    std::string availability_zone;
    std::string cluster_key;
    const adapter* platform_adapter;
    std::mt19937_64* random;
    hooks events;
    std::vector<membership::member> members{};
    configuration::document document{};
    std::optional<store::revision> listed_at{};
    bool store_call_in_progress{false};
    int failures{0}; ///< consecutive store calls without a response
    int pulls{0};    ///< pulls from members in progress
    core::duration backoff;
    net::timer store_wakeup;
    net::timer pull_wakeup;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::mesh
