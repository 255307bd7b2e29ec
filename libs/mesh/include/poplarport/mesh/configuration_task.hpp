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

/// @brief Keeps the newest configuration: a few nodes watch the store, the others fetch new versions from members.
///
/// A version is never replaced by an older one.
class configuration_task
{
  public:
    /// @brief Hooks to the rest of the node.
    struct hooks
    {
        std::function<void(const std::shared_ptr<const routes::route_table>&)> on_table; ///< a newer version holds
        std::function<peer::link*(const core::node_id&)> link_of; ///< link to a member, or nullptr
        std::function<void(bool)> on_store_reached; ///< the store has stopped, or begun again, to answer this node
    };

    /// @param[in] loop        loop of the node
    /// @param[in] self        name of this node
    /// @param[in] zone        availability zone of this node
    /// @param[in] cluster_key key to show to members
    /// @param[in] site        the installation; must outlive the task
    /// @param[in] random      random engine of the node
    /// @param[in] events      hooks to the rest of the node
    configuration_task(net::event_loop& loop, core::node_id self, std::string zone, std::string cluster_key,
                       const adapter& site, std::mt19937_64& random, hooks events);
    ~configuration_task();
    configuration_task(const configuration_task&) = delete;
    configuration_task& operator=(const configuration_task&) = delete;

    /// @brief Reads the configuration from the store for the first time.
    void start();

    /// @brief Replaces the live members, with the versions that they hold.
    void set_members(const std::vector<membership::member>& members);

    /// @return the version in force, zero for none
    [[nodiscard]] core::version version() const noexcept
    {
        return this->held.version;
    }

    /// @brief Answers a member that asks for a version above the one that it holds.
    [[nodiscard]] node::peer_document answer_pull(core::version above) const;

  private:
    [[nodiscard]] bool watches() const;
    void list();
    void watch();
    void handle_list(const store::outcome<store::listing>& result);
    void handle_changes(const store::outcome<store::change_list>& result);
    void handle_failure(std::error_code error);
    void handle_success();
    void take(const std::string& text, std::string_view source);
    void pull();
    [[nodiscard]] std::vector<core::node_id> newer_members() const;
    void pull_from(const core::node_id& id);

    core::node_id self;
    std::string availability_zone;
    std::string cluster_key;
    const adapter* site;
    std::mt19937_64* random;
    hooks events;
    std::vector<membership::member> members{};
    configuration::document held{};
    std::optional<store::revision> listed_at{};
    bool calling{false};
    int failures{0}; ///< calls in a row that the store did not answer
    int pulls{0};    ///< requests to members that are in progress
    core::duration back_off;
    net::timer store_wakeup;
    net::timer pull_wakeup;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::mesh
