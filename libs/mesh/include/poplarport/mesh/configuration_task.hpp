#pragma once

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <map>         // map
#include <memory>      // shared_ptr
#include <optional>    // optional
#include <random>      // mt19937_64
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/configuration/pull_fallback.hpp"
#include "poplarport/configuration/pulls_in_progress.hpp"
#include "poplarport/configuration/watch_schedule.hpp"
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

/// @brief Rank of a node among those that watch the store.
struct watch_rank
{
    bool has_rank{false};
    std::size_t position{0}; ///< watchers that rank higher
};

/// @brief Keeps the configuration up to date.
///
/// A few nodes watch the object store, as decided by configuration::watch_schedule; the remaining nodes pull new
/// versions from other members. An older version never replaces a newer one.
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
    /// @param[in] is_first_start   whether the installation starts for the first time
    /// @param[in] platform_adapter adapter of the installation; must outlive the task
    /// @param[in] random           random engine of the node
    /// @param[in] events           callbacks into the other parts of the node
    configuration_task(net::event_loop& loop, core::node_id self, std::string zone, std::string cluster_key,
                       bool is_first_start, const adapter& platform_adapter, std::mt19937_64& random, hooks events);
    ~configuration_task();
    configuration_task(const configuration_task&) = delete;
    configuration_task& operator=(const configuration_task&) = delete;

    /// @brief Adds a live member, or replaces its data; the local one is ignored.
    void update_member(const membership::member& member);

    /// @brief Removes a member; an unknown one is ignored.
    void remove_member(const core::node_id& id);

    /// @return the members that may watch the store instead of this node, which decide whether it has to watch
    [[nodiscard]] std::vector<core::node_id> higher_ranked_members() const;

    /// @return the active version, zero for none
    [[nodiscard]] core::version version() const noexcept
    {
        return this->document.version;
    }

    /// @return the rank of this node among those that watch the store, by the members known now
    [[nodiscard]] watch_rank current_rank();

    /// @return whether this node is one of those that watch the store
    [[nodiscard]] bool is_watcher() const noexcept
    {
        return this->has_watch_rank;
    }

    /// @brief Responds to a member's pull.
    /// @param[in] target path and query of the pull; only a newer version than the one stated there is returned
    [[nodiscard]] node::peer_document respond_to_pull(std::string_view target);

  private:
    struct peer_state
    {
        std::uint64_t weight{0}; ///< rendezvous weight, which ranks the members
        std::string availability_zone;
        core::version version{0};
        bool reaches_store{true};
        bool is_suspect{false};
    };

    /// @return whether this node is one of those that watch the store, by the members known now
    [[nodiscard]] bool update_watch_rank();
    void run_step();
    void announce_watch();
    void schedule();
    void list(store::consistency wanted);
    void watch();
    void handle_list(const store::outcome<store::listing>& result);
    void handle_changes(const store::outcome<store::change_list>& result);
    void handle_failure(std::error_code error);
    void count_failure(std::error_code error);
    void handle_success();
    void handle_restored();
    void accept_objects(const store::listing& listed);
    /// @return whether the version is newer than the one held, and now in force
    bool accept_document(const std::string& text, std::string_view source);
    void expect_version(const core::node_id& announced_by, core::version version);
    void pull();
    void read_instead_of_pull();
    void end_pull(bool has_newer_version);
    [[nodiscard]] std::vector<core::node_id> newer_members() const;
    void pull_from(const core::node_id& id);
    void handle_pulled(const core::node_id& id, core::time_point started_at, const node::detail::pull_result& result);

    net::event_loop* loop;
    core::node_id self;
    std::uint64_t local_weight;
    std::string availability_zone;
    std::string cluster_key;
    const adapter* platform_adapter;
    std::mt19937_64* random;
    hooks events;
    std::map<core::node_id, peer_state> peers{};
    configuration::watch_schedule watching;
    configuration::document document{};
    std::map<bool, node::peer_document> encoded_documents{}; ///< response to pulls, by whether it is compressed
    core::version newest_known{0};                           ///< newest version that a member has announced
    store::position listed_at{};
    core::time_point step_started_at{}; ///< start of the last step of the watch schedule
    bool has_watch_rank{false};
    std::size_t watch_position{0}; ///< watchers that rank higher
    std::uint64_t last_watch{0};   ///< number of the watch in progress; results of earlier ones are discarded
    bool may_watch{false};         ///< other members may count on the watch of this node if it has the rank
    int failures{0};               ///< consecutive store calls without a response
    configuration::pulls_in_progress pulls{};
    bool is_reading_instead_of_pull{false};
    configuration::pull_fallback fallback{};
    net::timer store_wakeup;
    net::timer pull_wakeup;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::mesh
