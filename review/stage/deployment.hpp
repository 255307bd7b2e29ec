#pragma once

// A deployment of the size of klb-mesh: 12 machines in 4 zones, each with an upstream and a node.

#include <iostream> // cerr
#include <set>      // set

#include "stage.hpp"

namespace stage
{

inline constexpr const char* authority = "orders.example";
inline constexpr const char* orders_service = "orders";
inline constexpr const char* stock_service = "stock";
inline constexpr int first_machine = 11;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_cannot_run = 2;

/// @brief The command line of a case: `--trouble 0|1 --record PATH`.
struct options
{
    bool trouble{true};
    std::string record_path{"record.txt"};
};

inline options read_options(int argc, char** argv)
{
    options result;
    for (int index = 1; index + 1 < argc; index += 2)
    {
        const std::string name = argv[index];
        if (name == "--trouble")
        {
            result.trouble = std::string{argv[index + 1]} != "0";
        }
        else if (name == "--record")
        {
            result.record_path = argv[index + 1];
        }
    }
    return result;
}

/// @brief The machines, upstreams and the store of a deployment; to be used by the main thread only.
class deployment
{
  public:
    explicit deployment(const options& command)
        : record(command.record_path), ground(make_place()), objects(ground.host(1))
    {
        this->objects.put(
            "config", "main",
            make_configuration(7, authority,
                               {{"r-quote", "safe", "/quotes/", orders_service, 1200, 500, 2},
                                {"r-confirm", "non_idempotent", "/confirm/", orders_service, 1500, 500, 1},
                                {"r-cutlist", "safe", "/cutlists/", stock_service, 2000, 1000, 2}},
                               {orders_service, stock_service}));
    }

    void add_machine(const std::string& service, const std::string& zone)
    {
        const int number = first_machine + static_cast<int>(this->machines.size());
        this->machines.push_back(std::make_unique<machine>(this->ground, number, service, zone));
    }

    /// @brief Adds the machines of klb-mesh: 7 of orders, 5 of stock.
    void add_machines()
    {
        for (const char* zone :
             {"my-west-a", "my-west-a", "my-west-b", "my-west-b", "my-west-b", "my-west-c", "my-west-d"})
        {
            this->add_machine(orders_service, zone);
        }
        for (const char* zone : {"my-west-a", "my-west-a", "my-west-b", "my-west-c", "my-west-d"})
        {
            this->add_machine(stock_service, zone);
        }
    }

    void start_nodes()
    {
        for (const auto& each : this->machines)
        {
            each->start(true);
        }
    }

    /// @param[in] left_out number of a machine without an upstream
    void start_upstreams(const upstream::run_hook& run, std::optional<std::size_t> left_out = std::nullopt)
    {
        constexpr int slots = 9;
        for (std::size_t index = 0; index < this->machines.size(); ++index)
        {
            const auto& each = this->machines[index];
            if (index == left_out)
            {
                continue;
            }
            this->upstreams.push_back(std::make_unique<upstream>(each->host, each->service, each->zone,
                                                                 "i-" + each->name, slots, this->record, run));
        }
    }

    /// @return whether all nodes became ready within the time that traffic waits for them
    bool wait_until_ready()
    {
        const auto limit = steady::now() + milliseconds{15000};
        for (const auto& each : this->machines)
        {
            while (!each->is_ready())
            {
                if (steady::now() > limit)
                {
                    return false;
                }
                pause_for(milliseconds{50});
            }
        }
        return true;
    }

    /// @brief Ends all nodes and removes the temporary folder.
    void stop()
    {
        for (const auto& each : this->machines)
        {
            each->kill_and_wait(SIGKILL);
        }
        std::error_code ignored;
        std::filesystem::remove_all(this->ground.folder, ignored);
    }

    recorder record;
    place ground;
    store objects;
    std::vector<std::unique_ptr<machine>> machines{};
    std::vector<std::unique_ptr<upstream>> upstreams{};
};

} // namespace stage
