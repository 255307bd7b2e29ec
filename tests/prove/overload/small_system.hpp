#pragma once

#include <chrono>   // milliseconds
#include <cstddef>  // size_t
#include <cstdint>  // uint16_t, uint32_t
#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "child_process.hpp"

namespace poplarport::prove
{

/// @brief What a test chooses of a system.
struct system_options
{
    std::size_t orders{3};                     ///< upstreams of `orders`, each with its node
    std::size_t stock{0};                      ///< upstreams of `stock`, each with its node
    std::uint32_t slots{4};                    ///< slots of each upstream
    std::uint32_t queue_length{64};            ///< queue of each node
    double service_ms{4.0};                    ///< constant service time
    std::uint32_t deadline_ms{1000};           ///< default deadline of both services
    std::uint32_t retry_budget_per_mille{100}; ///< retries for each 1000 calls
    std::uint32_t hedge_delay_ms{0};           ///< zero: no hedges
    std::uint32_t measuring_bytes{2048};       ///< measuring budget in bytes per second
    bool has_forwarders{false};                ///< poplar-forwarder between each node and its upstream
};

/// @brief A platform, upstreams and nodes as processes on loopback. Index 0 is the first of `orders`; those of `stock`
/// follow.
class small_system
{
  public:
    explicit small_system(const system_options& chosen);

    /// @brief Starts or restarts the node, or the upstream, of an index and waits until it listens.
    void start_node(std::size_t index);
    void start_upstream(std::size_t index);

    /// @brief Applies the manifest; a changed revision changes a field that no call depends on.
    void apply_manifest(std::uint32_t revision = 0);

    /// @return whether all nodes became ready and know each other
    [[nodiscard]] bool is_ready() const;

    /// @brief Sets faults of an upstream, of its forwarder or of the platform by their control addresses.
    void fault_upstream(std::size_t index, const std::string& faults) const;
    void silence_forwarder(std::size_t index) const;
    void fault_platform(const std::string& faults) const;
    void clear_platform_faults() const;

    [[nodiscard]] test::child_process& node(std::size_t index);
    [[nodiscard]] test::child_process& upstream(std::size_t index);

    /// @return HOST:PORT of the callers' listener, or of the upstream itself
    [[nodiscard]] std::string callers(std::size_t index) const;
    [[nodiscard]] std::string upstream_address(std::size_t index) const;

    /// @return the sum of all samples of a metric, or -1 when the node does not answer
    [[nodiscard]] double metric(std::size_t index, const std::string& name) const;

    /// @return arguments of poplar-load for calls to `targets`, with the ledger and report NAME
    [[nodiscard]] std::vector<std::string> load_arguments(const std::string& name,
                                                          const std::vector<std::string>& targets,
                                                          const std::vector<std::string>& further) const;

    /// @return the verdict's line and the explanations over the ledgers of loads and of all upstreams
    [[nodiscard]] std::string join(const std::vector<std::string>& loads) const;

    /// @return lines of an upstream's ledger that contain a text
    [[nodiscard]] std::size_t runs(std::size_t index, const std::string& text = "\"event\":\"start\"") const;

    [[nodiscard]] const test::scratch_folder& scratch() const noexcept
    {
        return this->folder;
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->members.size();
    }

  private:
    struct member
    {
        std::string name;
        std::string service;
        std::vector<std::uint16_t> ports; // callers, peers, administration, upstream, control, forwarder, its control
        std::unique_ptr<test::child_process> upstream{};
        std::unique_ptr<test::child_process> forwarder{};
        std::unique_ptr<test::child_process> node{};
    };

    [[nodiscard]] std::string address(std::size_t index, std::size_t port) const;
    [[nodiscard]] std::string manifest(std::uint32_t revision) const;

    system_options options;
    test::scratch_folder folder;
    std::vector<std::uint16_t> platform_ports;
    std::unique_ptr<test::child_process> platform;
    std::vector<member> members;
    std::size_t started{0};
};

/// @return whether the four counts of faults in a verdict are zero
[[nodiscard]] bool is_clean(const std::string& verdict);

} // namespace poplarport::prove
