#pragma once

#include <cstddef> // size_t
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "child_process.hpp"

namespace poplarport::bench
{

/// @brief A node with its addresses.
struct running_node
{
    std::string id;
    std::string caller_address;
    std::string administration_address;
    std::unique_ptr<test::child_process> process;
};

/// @brief The services of a generated manifest.
struct manifest_shape
{
    std::size_t services{0};     ///< further services that `entry` calls
    std::size_t tenants{1};      ///< tenants of each service
    unsigned change{0};          ///< a different number for each change of `leaf`
    std::size_t leaf_slots{512}; ///< slots of an endpoint
};

/// @brief A platform stand-in with upstreams and nodes on loopback.
class fleet
{
  public:
    /// @param[in] first_port first of the ports that the processes listen on
    explicit fleet(int first_port);

    /// @brief Writes a manifest and applies it with poplarctl.
    void apply(const manifest_shape& shape);

    /// @brief Starts an upstream.
    /// @return its address
    std::string start_upstream(double service_ms);

    /// @brief Starts a node without waiting until it is ready.
    running_node& start_node(const std::string& service, const std::string& upstream);

    /// @brief Waits until all nodes are ready and have a number of members in their membership.
    [[nodiscard]] bool wait_ready(std::size_t members = 1);

    /// @brief Generates load on an address.
    /// @return the report of poplar-load in JSON
    std::string load(const std::string& target, double rate, int seconds);

    /// @return the nodes
    [[nodiscard]] std::vector<running_node>& nodes() noexcept
    {
        return this->running_nodes;
    }

    /// @return the folder with the output of the processes
    [[nodiscard]] const test::scratch_folder& scratch() const noexcept
    {
        return this->output_folder;
    }

    /// @return the number of occurrences of a string in the log of a node
    [[nodiscard]] static std::size_t count_in_log(const running_node& node, const std::string& text);

  private:
    [[nodiscard]] std::string next_address();

    test::scratch_folder output_folder;
    int next_port;
    int runs{0};
    std::string platform_address;
    std::unique_ptr<test::child_process> platform;
    std::vector<std::unique_ptr<test::child_process>> upstreams;
    std::vector<running_node> running_nodes;
};

} // namespace poplarport::bench
