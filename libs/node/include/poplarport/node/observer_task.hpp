#pragma once

#include <functional> // function
#include <memory>     // shared_ptr
#include <random>     // mt19937_64
#include <string>     // string
#include <vector>     // vector

#include "poplarport/membership/observer.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/platform_client.hpp"
#include "poplarport/node/service_router.hpp"

namespace poplarport::node
{

/// @brief Keeps the member list of a service that this node's upstream calls up to date.
class observer_task
{
  public:
    using members_hook = std::function<void(const std::vector<membership::member>&)>;

    /// @param[in] loop       event loop of the node
    /// @param[in] identity   identity of the node; must outlive the task
    /// @param[in] service    name of the called service
    /// @param[in] router     router of that service, whose links carry the pulls; must outlive the task
    /// @param[in] platform   client of the platform; must outlive the task
    /// @param[in] random     random engine of the node
    /// @param[in] on_members called when the list of live members has changed
    observer_task(net::event_loop& loop, const node_identity& identity, std::string service, service_router& router,
                  platform_client& platform, std::mt19937_64& random, members_hook on_members);
    ~observer_task();
    observer_task(const observer_task&) = delete;
    observer_task& operator=(const observer_task&) = delete;

    /// @return the live members from the last pull
    [[nodiscard]] std::vector<membership::member> members() const;

  private:
    void read_seeds();
    void tick();
    void pull(const membership::list_pull& request);
    void schedule();

    net::event_loop* loop;
    const node_identity* identity;
    std::string service;
    service_router* router;
    platform_client* platform;
    std::mt19937_64* random;
    members_hook on_members;
    membership::observer observer;
    net::timer wakeup;
    net::timer seeds_wakeup;
    core::duration seeds_backoff;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::node
