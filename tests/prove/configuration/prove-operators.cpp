#include <algorithm>  // max, ranges::sort
#include <chrono>     // milliseconds, seconds, steady_clock
#include <filesystem> // directory_iterator
#include <fstream>    // ofstream
#include <iostream>   // cout
#include <map>        // map
#include <memory>     // make_unique, unique_ptr
#include <random>     // bernoulli_distribution, mt19937_64, uniform_int_distribution
#include <sstream>    // istringstream
#include <string>     // string
#include <vector>     // vector

#include "cluster_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;
using nlohmann::json;
using clock_type = std::chrono::steady_clock;

namespace
{

constexpr std::uint64_t seed = 2026;
constexpr std::size_t node_count = 4;
constexpr int round_count = 100; ///< one change per operator in each
constexpr std::chrono::seconds max_activation_time{5};

/// @brief One run of `poplarctl apply` by an operator.
struct change
{
    std::string id;
    int queue_length{0};
    std::uint64_t version{0}; ///< zero unless the change was accepted
};

/// @brief The configuration versions that a node has reported.
struct node_history
{
    std::uint64_t max_version{0}; ///< reported by /status of the current process
};

class operator_race
{
  public:
    operator_race()
        : names(test::numbered_names("n", node_count)), manifest(test::read_file(system.folder().file("manifest.toml")))
    {
        for (const auto& name : this->names)
        {
            test::prove_endpoint endpoint;
            endpoint.name = name;
            this->system.add(endpoint);
        }
        CHECK(this->system.wait_ready(this->names, node_count));
    }

    void run()
    {
        for (this->round = 0; this->round < round_count; ++this->round)
        {
            this->run_round();
        }
        this->check_document();
        this->check_logs();
        this->print();
    }

  private:
    void run_round()
    {
        if (std::bernoulli_distribution{0.25}(this->random))
        {
            test::start_platform_fault(this->system, {{"kind", "lost_answer"}, {"count", 1}});
        }
        auto changes = std::vector{this->make_change("a"), this->make_change("b")};
        std::vector<std::unique_ptr<test::child_process>> operators;
        for (const auto& each : changes)
        {
            operators.push_back(std::make_unique<test::child_process>(this->system.folder(), each.id, "poplarctl",
                                                                      this->apply_arguments(each.id)));
            test::pause(std::chrono::milliseconds{std::uniform_int_distribution{0, 3}(this->random)});
        }
        const auto version_before = this->newest_version();
        for (std::size_t index = 0; index < changes.size(); ++index)
        {
            this->finish(changes[index], *operators[index]);
        }
        const auto accepted_at = clock_type::now();
        if (this->round % 10 == 5)
        {
            // The restarted node has to activate the change that was accepted while it was down.
            const auto& name = this->names[static_cast<std::size_t>(this->round / 10) % node_count];
            this->system.node(name).kill();
            this->system.restart_node(name);
            this->version_histories[name] = {};
            ++this->restart_count;
            CHECK_TEXT(this->system.wait_ready({name}, 1, max_activation_time), name.c_str());
        }
        if (this->newest_version() > version_before)
        {
            this->wait_active(accepted_at);
        }
    }

    change make_change(const std::string& operator_name)
    {
        change new_change{operator_name + "-" + std::to_string(this->round), ++this->last_queue_length, 0};
        auto text = this->manifest;
        const std::string key = "queue_length = 256";
        text.replace(text.find(key), key.size(), "queue_length = " + std::to_string(new_change.queue_length));
        std::ofstream{this->system.folder().file(new_change.id + ".toml")} << text;
        return new_change;
    }

    [[nodiscard]] test::string_list apply_arguments(const std::string& id) const
    {
        return {"apply",       this->system.folder().file(id + ".toml"),
                "--platform",  this->system.platform_address(),
                "--change-id", id,
                "--output",    "json"};
    }

    void finish(change& tested_change, test::child_process& process)
    {
        const auto status = process.wait();
        CHECK_TEXT(status.has_value(), tested_change.id.c_str());
        const auto result = json::parse(process.output(), nullptr, false);
        CHECK_TEXT(result.is_object(), (tested_change.id + process.output() + process.errors()).c_str());
        const auto& object = result["objects"][0];
        const auto kind = object.value("result", "");
        ++this->results[kind];
        CHECK_EQUAL(kind == "applied" ? 0 : 75, status->code);
        if (kind == "applied")
        {
            tested_change.version = object.value("version", std::uint64_t{0});
            CHECK_TEXT(this->accepted.emplace(tested_change.version, tested_change).second,
                       "two accepted changes have the same version");
        }
        else
        {
            STRCMP_EQUAL("conflict", kind.c_str());
        }
    }

    [[nodiscard]] std::uint64_t newest_version() const
    {
        return this->accepted.empty() ? 0 : this->accepted.rbegin()->first;
    }

    void wait_active(clock_type::time_point accepted_at)
    {
        const auto expected_version = this->newest_version();
        bool is_active_everywhere = false;
        while (!is_active_everywhere && clock_type::now() < accepted_at + max_activation_time)
        {
            is_active_everywhere = true;
            for (const auto& name : this->names)
            {
                const auto version = test::configuration_version(this->system, name);
                auto& history = this->version_histories[name];
                CHECK_TEXT(version >= history.max_version, "the version of a process decreased");
                history.max_version = version;
                is_active_everywhere = is_active_everywhere && version >= expected_version;
            }
        }
        CHECK_TEXT(is_active_everywhere, "a change was not active on all nodes within the limit");
        this->activation_delays.push_back(clock_type::now() - accepted_at);
    }

    /// @brief Checks that the document is that of the last accepted change and lists no change twice.
    void check_document()
    {
        const auto object = test::get_json(this->system.platform_address(), "/v1/objects/services%2Forders");
        CHECK_EQUAL(this->newest_version(), object["version"].get<std::uint64_t>());
        const auto& last = this->accepted.rbegin()->second;
        STRCMP_EQUAL(last.id.c_str(), object["value"]["change_id"].get<std::string>().c_str());
        CHECK_EQUAL(last.queue_length, object["value"]["service"]["upstream"]["queue_length"].get<int>());
        std::map<std::string, int> occurrences;
        for (const auto& each : object["value"]["recent_changes"])
        {
            CHECK_EQUAL(1, ++occurrences[each["id"].get<std::string>()]);
        }
    }

    /// @brief Checks that every process activated only accepted versions, in increasing order.
    void check_logs()
    {
        std::size_t active_record_count = 0;
        for (const auto& entry : std::filesystem::directory_iterator{this->system.folder().path()})
        {
            const auto file = entry.path().filename().string();
            if (!file.starts_with("n") || !file.ends_with(".err"))
            {
                continue;
            }
            std::istringstream lines{test::read_file(entry.path())};
            std::uint64_t previous = 0;
            std::string failure_text;
            for (std::string line; std::getline(lines, line);)
            {
                const auto record = json::parse(line, nullptr, false);
                if (!record.is_object() || record.value("event", "") != "configuration_in_force")
                {
                    continue;
                }
                const auto version = record.value("version", std::uint64_t{0});
                failure_text = file;
                failure_text.append(": ").append(line);
                CHECK_TEXT(version > previous, failure_text.c_str());
                CHECK_TEXT(version == 1 || this->accepted.contains(version), failure_text.c_str());
                previous = version;
                ++active_record_count;
            }
        }
        // Fewer records mean that the logs were not found or not parsed, and that the checks above did not run.
        CHECK(active_record_count >= this->activation_delays.size() * node_count / 2);
    }

    void print()
    {
        std::ranges::sort(this->activation_delays);
        const auto to_ms = [](clock_type::duration delay)
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
        };
        std::cout << "\n" << 2 * round_count << " changes with seed " << seed << ":";
        for (const auto& [kind, count] : this->results)
        {
            std::cout << " " << kind << " " << count;
        }
        std::cout << "; lost answers " << test::platform_counter(this->system, "lost_answers") << ", restarts "
                  << this->restart_count << "; from acceptance to all " << node_count << " nodes: median "
                  << to_ms(this->activation_delays[this->activation_delays.size() / 2]) << " ms, maximum "
                  << to_ms(this->activation_delays.back()) << " ms" << std::flush;
    }

    test::prove_system system;
    test::string_list names;
    std::string manifest;
    std::mt19937_64 random{seed};
    int round{0};
    int restart_count{0};
    int last_queue_length{1000};
    std::map<std::uint64_t, change> accepted;
    std::map<std::string, int> results;
    std::map<std::string, node_history> version_histories;
    std::vector<clock_type::duration> activation_delays;
};

} // namespace

TEST_GROUP(operators){};

// Changes must not be lost, duplicated, reverted or late when two operators race, responses to their writes are lost
// and nodes restart.
TEST(operators, racing_changes_are_in_force_once_and_in_order)
{
    operator_race{}.run();
}

// A node has to stop after `poplarctl drain`, and `poplarctl status` has to show its actual state.
TEST(operators, drain_and_status_of_a_real_node)
{
    test::prove_system system;
    test::prove_endpoint endpoint;
    endpoint.name = "n1";
    system.add(endpoint);
    CHECK(system.wait_ready({"n1"}, 1));
    const auto administration = system.address("n1", "administration");
    const test::string_list status{"status",   "--platform", system.platform_address(), "--node", administration,
                                   "--output", "json"};
    CHECK(test::run_program(system.folder(), "status", "poplarctl", status) == (test::exit_status{0, 0}));
    const auto shown = json::parse(test::read_file(system.folder().file("status.out")), nullptr, false);
    CHECK_TEXT(shown.is_object(), test::read_file(system.folder().file("status.out")).c_str());
    CHECK_EQUAL(1, shown["nodes"].size());
    CHECK_TEXT(shown["nodes"][0].dump().find("\"n1\"") != std::string::npos, shown.dump().c_str());
    CHECK_EQUAL(1, shown["services"].size());

    const auto drain = test::run_program(system.folder(), "drain", "poplarctl", {"drain", administration});
    CHECK(drain == (test::exit_status{0, 0}));
    CHECK(system.node("n1").wait() == (test::exit_status{0, 0}));
    // The node has stopped, so both commands have to fail with the documented exit code.
    CHECK(test::run_program(system.folder(), "again", "poplarctl", {"drain", administration}) ==
          (test::exit_status{69, 0}));
    CHECK(test::run_program(system.folder(), "gone", "poplarctl", status) == (test::exit_status{69, 0}));
}
