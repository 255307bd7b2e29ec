#pragma once

#include <functional>  // function
#include <memory>      // shared_ptr
#include <random>      // mt19937_64
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/configuration/follower.hpp"
#include "poplarport/manifest/service_document.hpp"
#include "poplarport/membership/member.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/peer_listener.hpp"
#include "poplarport/node/platform_client.hpp"
#include "poplarport/node/service_router.hpp"

namespace poplarport::node
{

/// @brief Keeps the configuration of the node's services up to date by executing the actions of
/// `configuration::follower`.
class configuration_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        /// Called when a new version of a service's configuration is active.
        std::function<void(const std::shared_ptr<const manifest::service_document>&, core::version)> on_document;
        /// Returns the router of a service, or nullptr.
        std::function<service_router*(const std::string&)> router_of;
    };

    /// @param[in] loop     event loop of the node
    /// @param[in] identity identity of the node; must outlive the task
    /// @param[in] platform client of the platform; must outlive the task
    /// @param[in] random   random engine of the node
    /// @param[in] events   callbacks into the other parts of the node
    configuration_task(net::event_loop& loop, const node_identity& identity, platform_client& platform,
                       std::mt19937_64& random, hooks events);
    ~configuration_task();
    configuration_task(const configuration_task&) = delete;
    configuration_task& operator=(const configuration_task&) = delete;

    /// @brief Starts to keep the configuration of a service up to date.
    void follow(const std::string& service);

    /// @brief Replaces the list of live members of a service and the versions that they announced.
    void set_members(const std::string& service, const std::vector<membership::member>& members);

    /// @brief Processes a configuration version seen at a peer, with a call or a membership announcement.
    void on_version_seen(const std::string& service, const core::node_id& peer, core::version version);

    /// @brief Responds to another node's pull.
    /// @param[in] service name of the service
    /// @param[in] target  path and query of the pull
    [[nodiscard]] peer_document respond_to_pull(const std::string& service, std::string_view target) const;

    /// @return the active version, zero for none
    [[nodiscard]] core::version version_of(const std::string& service) const;

    /// @return number of offered documents that were rejected because they were older than the active version
    [[nodiscard]] std::uint64_t rejected_older_documents() const;

  private:
    void run();
    void execute(const configuration::follower_action& action);
    void pull(const configuration::pull_peer& request);
    void handle_platform(const std::string& service, const platform_read& result);
    void offer(const configuration::document& document, const configuration::document_source& source);
    void schedule();

    net::event_loop* loop;
    const node_identity* identity;
    platform_client* platform;
    std::mt19937_64* random;
    hooks events;
    configuration::follower follower;
    net::timer wakeup;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::node
