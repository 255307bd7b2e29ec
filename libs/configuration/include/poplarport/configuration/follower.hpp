#pragma once

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <functional>   // function
#include <map>          // map
#include <optional>     // optional
#include <random>       // mt19937_64
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code
#include <variant>      // variant
#include <vector>       // vector

#include "poplarport/configuration/document.hpp"
#include "poplarport/configuration/errors.hpp"
#include "poplarport/configuration/follower_settings.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::configuration
{

/// @brief Watch the object of a service on the platform for a version above `after`.
struct watch_platform
{
    std::string service;
    core::version after{0};
};

/// @brief Cancel the watch of a service.
struct stop_watch
{
    std::string service;
};

/// @brief Read the object of a service from the platform.
struct read_platform
{
    std::string service;
};

/// @brief Pull the document of a service from a peer.
struct pull_peer
{
    std::string service;
    core::node_id peer;
    core::version above{0}; ///< held version; the peer need not send an equal or lower one
};

/// @brief An action that the owner of a follower must perform.
using follower_action = std::variant<watch_platform, stop_watch, read_platform, pull_peer>;

/// @brief Counters of the documents offered by one source, by result.
struct source_counters
{
    std::uint64_t accepted{0};
    std::uint64_t older{0};         ///< code 700
    std::uint64_t equal{0};         ///< code 701
    std::uint64_t conflicts{0};     ///< code 702
    std::uint64_t failed_checks{0}; ///< code 703
};

/// @brief Orders sources by peer id, the platform first.
struct source_order
{
    [[nodiscard]] bool operator()(const document_source& first, const document_source& second) const noexcept
    {
        return first.peer.compare(second.peer) < 0;
    }
};

/// @brief Holds the newest accepted document of each followed service and decides where to fetch newer ones.
///
/// A few members of each service watch the platform; the remaining members pull from a peer that has announced a higher
/// version. A starting node queries several peers before the platform. While the platform or the peers fail, the held
/// documents remain in effect.
class follower
{
  public:
    /// Validates a document before it is accepted; returns an empty code if it is valid.
    using check_function = std::function<std::error_code(const document&)>;

    /// Returns whether a document that the platform offers after a restore is an older copy of the held one.
    using copy_function = std::function<bool(const document& held, const document& offered)>;

    class builder;

    /// @brief Adds a service whose newest document is fetched and held.
    void follow(const std::string& service, core::time_point now, std::mt19937_64& random_engine);

    /// @brief Stops following a service and drops its document.
    /// @return the cancellation of the watch, if there was one
    [[nodiscard]] std::vector<follower_action> unfollow(const std::string& service);

    /// @brief Offers a document, which is accepted if its version is above the held one and its check passes.
    /// @param[in] offered the document
    /// @param[in] source  source of the document
    /// @param[in] now     current time
    /// @return an empty code if it was accepted; `older_version`, `same_version`, `same_version_differs`,
    ///         `check_failed`, `older_copy` or `not_followed` otherwise
    std::error_code offer(const document& offered, const document_source& source, core::time_point now);

    /// @brief Replaces the live members of a service, which include this node if it is a member.
    void on_members(const std::string& service, std::vector<peer_version> members, core::time_point now,
                    std::mt19937_64& random_engine);

    /// @brief Records the version that a peer holds, as announced by gossip or in a response.
    void on_version_seen(const std::string& service, const core::node_id& peer, core::version version,
                         core::time_point now, std::mt19937_64& random_engine);

    /// @brief Processes the end of a read, watch or pull, after its document, if any, was offered.
    /// @param[in]     service       name of the service
    /// @param[in]     source        receiver of the request
    /// @param[in]     success       whether a response arrived; a watch that ended without a change, and a peer or
    ///                              platform without a document, also count as a response
    /// @param[in]     now           current time
    /// @param[in,out] random_engine source of jitter
    void on_response(const std::string& service, const document_source& source, bool success, core::time_point now,
                     std::mt19937_64& random_engine);

    /// @return the requests to send now
    [[nodiscard]] std::vector<follower_action> tick(core::time_point now, std::mt19937_64& random_engine);

    /// @return when `tick` must be called next, or nothing if no timer is pending; any other non-const call may change
    ///         it
    [[nodiscard]] std::optional<core::time_point> next_wakeup() const;

    /// @return the held document of a service, or nullptr; valid until the next call of a non-const function
    [[nodiscard]] const document* find(const std::string& service) const;

    /// @return the held version of a service, zero for none
    [[nodiscard]] core::version version_of(const std::string& service) const;

    /// @return the counters by source; sources above the maximum are counted under `other_sources`
    [[nodiscard]] const std::map<document_source, source_counters, source_order>& counters() const noexcept
    {
        return this->by_source;
    }

    /// Key of the counters that are shared by sources above the maximum.
    static constexpr std::string_view other_sources = "*";

  private:
    enum class phase
    {
        querying_peers,
        querying_platform,
        following
    };

    struct request_state
    {
        std::optional<core::time_point> timeout; ///< set while a request is in progress
        core::time_point next_start;             ///< earliest start of the next request
        std::size_t failures{0};
    };

    struct service_state
    {
        std::optional<document> held_document;
        core::version rejected_version{0}; ///< newest version from the platform that was rejected
        std::vector<peer_version> members;
        phase current_phase{phase::querying_peers};
        core::time_point startup_deadline; ///< when a node that has found no peers queries the platform
        /// Peers queried at start, with the timeouts of the requests.
        std::map<core::node_id, core::time_point> queried_peers;
        request_state platform; ///< state of the read or watch
        bool watching{false};
        request_state pull;
        core::node_id pulled_peer;
        std::map<core::node_id, core::time_point> avoided_until; ///< peers that served a rejected document
    };

    follower(core::node_id self, check_function check_document, copy_function copy_check,
             const follower_settings& settings);

    void reject(service_state& state, const document& offered, const document_source& source,
                core::time_point now) const;
    [[nodiscard]] source_counters& counters_of(const document_source& source);
    void expire_requests(const std::string& service, service_state& state, core::time_point now,
                         std::mt19937_64& random_engine);
    void query_peers(const std::string& service, service_state& state, core::time_point now,
                     std::mt19937_64& random_engine, std::vector<follower_action>& actions);
    void query_platform(const std::string& service, service_state& state, core::time_point now,
                        std::vector<follower_action>& actions);
    void update_watch(const std::string& service, service_state& state, core::time_point now,
                      std::vector<follower_action>& actions);
    void pull_when_behind(const std::string& service, service_state& state, core::time_point now,
                          std::mt19937_64& random_engine, std::vector<follower_action>& actions);
    [[nodiscard]] std::vector<core::node_id> peers_ahead(const service_state& state, core::time_point now) const;
    void finish_request(request_state& request, bool success, core::duration limit, core::time_point now,
                        std::mt19937_64& random_engine) const;
    [[nodiscard]] core::duration platform_backoff_limit(const std::string& service, const service_state& state) const;
    void finish_startup(service_state& state, core::time_point now, std::mt19937_64& random_engine) const;
    void delay_pull(service_state& state, bool was_behind, core::time_point now, std::mt19937_64& random_engine) const;
    [[nodiscard]] bool is_behind(const service_state& state) const;
    [[nodiscard]] std::optional<core::time_point> wakeup_of(const std::string& service,
                                                            const service_state& state) const;
    [[nodiscard]] std::optional<core::time_point> pull_wakeup(const service_state& state) const;

    core::node_id local_id;
    check_function check;
    copy_function is_older_copy;
    follower_settings active_settings;
    std::map<std::string, service_state> services;
    std::map<document_source, source_counters, source_order> by_source;
};

/// @brief Returns whether a node must watch the platform for a service.
/// @param[in] service  name of the service
/// @param[in] self     id of the node
/// @param[in] members  live members of the service
/// @param[in] watchers number of watchers per service
/// @return whether the node is among the `watchers` first-ranked members by rendezvous hash
[[nodiscard]] bool must_watch(std::string_view service, const core::node_id& self,
                              const std::vector<peer_version>& members, std::size_t watchers);

/// @brief Builder of a follower.
class follower::builder
{
  public:
    /// @param[in] id id of this node
    builder& self(core::node_id id);

    /// @param[in] function validates a document; the default accepts every document
    builder& check(check_function function);

    /// @param[in] function recognises a document from an older copy of the platform; the default recognises none
    builder& older_copy(copy_function function);

    builder& settings(const follower_settings& new_settings);

    [[nodiscard]] follower build() const;

  private:
    core::node_id local_id;
    check_function check_document{[](const document&)
                                  {
                                      return std::error_code{};
                                  }};
    copy_function copy_check{};
    follower_settings active_settings;
};

} // namespace poplarport::configuration
