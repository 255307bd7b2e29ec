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

/// @brief Configuration of a small_system.
struct system_options
{
    std::size_t orders{3};                          ///< number of upstreams of `orders`, one node each
    std::size_t stock{0};                           ///< number of upstreams of `stock`, one node each
    std::uint32_t slots{4};                         ///< concurrent requests of each upstream
    std::uint32_t queue_length{64};                 ///< queue length of each node
    double service_ms{4.0};                         ///< constant service time
    std::uint32_t deadline_ms{1000};                ///< default deadline of both services
    std::uint32_t retry_budget_per_mille{100};      ///< retries per 1000 calls
    std::uint32_t hedge_delay_ms{0};                ///< zero disables hedging
    std::uint32_t measuring_bytes_per_second{2048}; ///< measuring budget
    bool has_forwarders{false};                     ///< poplar-forwarder between each node and its upstream
};

/// @brief A platform stand-in, upstream stand-ins and nodes as processes on loopback.
///
/// Indexes count the members of `orders` first, then those of `stock`.
class small_system
{
  public:
    explicit small_system(const system_options& initial_options);

    /// @brief Starts or restarts the node or the upstream of an index, and waits until it listens.
    void start_node(std::size_t index);
    void start_upstream(std::size_t index);

    /// @brief Applies the manifest. The revision changes only a field that does not affect calls.
    /// @throw std::runtime_error when revision 0 cannot be applied
    void apply_manifest(std::uint32_t revision = 0);

    /// @brief Waits until all nodes are ready and list all members of their service.
    /// @return whether that happened within 20 s
    [[nodiscard]] bool wait_ready() const;

    /// @brief Set faults of an upstream, its forwarder or the platform through their control addresses.
    void set_upstream_faults(std::size_t index, const std::string& faults) const;
    void silence_forwarder(std::size_t index) const;
    void start_platform_fault(const std::string& faults) const;
    void clear_platform_faults() const;

    [[nodiscard]] test::child_process& node(std::size_t index);
    [[nodiscard]] test::child_process& upstream(std::size_t index);

    /// @return HOST:PORT of the node's caller listener, or of its upstream
    [[nodiscard]] std::string callers_address(std::size_t index) const;
    [[nodiscard]] std::string upstream_address(std::size_t index) const;

    /// @return sum of all samples of a metric, or -1 when there are none or the node does not respond
    [[nodiscard]] double metric(std::size_t index, const std::string& name) const;

    /// @return arguments of poplar-load for calls to `targets`; ledger and report are named after the run
    [[nodiscard]] std::vector<std::string> load_arguments(const std::string& name,
                                                          const std::vector<std::string>& targets,
                                                          const std::vector<std::string>& extra_arguments) const;

    /// @return output of `poplar-load join --explain` for the ledgers of load runs and all upstreams
    [[nodiscard]] std::string join(const std::vector<std::string>& load_names) const;

    /// @return number of lines of an upstream's ledger that contain the text
    [[nodiscard]] std::size_t count_ledger_lines(std::size_t index,
                                                 const std::string& text = "\"event\":\"start\"") const;

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
        std::vector<std::uint16_t> ports; // in the order of the port constants in the source file
        std::unique_ptr<test::child_process> upstream{};
        std::unique_ptr<test::child_process> forwarder{};
        std::unique_ptr<test::child_process> node{};
    };

    [[nodiscard]] std::string address(std::size_t index, std::size_t port) const;
    [[nodiscard]] std::string make_manifest(std::uint32_t revision) const;

    system_options options;
    test::scratch_folder folder;
    std::vector<std::uint16_t> platform_ports;
    std::unique_ptr<test::child_process> platform;
    std::vector<member> members;
    std::size_t start_count{0};
};

/// @return whether the verdict counts no lost, doubled, crossed or wrongly not run calls
[[nodiscard]] bool is_clean(const std::string& verdict);

} // namespace poplarport::prove
