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
constexpr int rounds = 100; ///< each with one change of either operator
constexpr std::chrono::seconds in_force_limit{5};

/// @brief One change of one operator, from the start of `poplarctl apply` until its result is known.
struct change
{
    std::string id;
    int queue_length{0};
    std::uint64_t version{0}; ///< zero unless it was accepted
};

/// @brief The versions that a node reported and put in force, of its present process and its earlier ones.
struct node_history
{
    std::uint64_t reported{0}; ///< by /status of the present process
};

class race
{
  public:
    race() : names(test::numbered("n", node_count)), manifest(test::read_file(system.folder().file("manifest.toml")))
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
        for (this->round = 0; this->round < rounds; ++this->round)
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
        const auto newest_before = this->newest();
        for (std::size_t index = 0; index < changes.size(); ++index)
        {
            this->finish(changes[index], *operators[index]);
        }
        const auto accepted_at = clock_type::now();
        if (this->round % 10 == 5)
        {
            // The node has to come back with the change that was accepted while it was away.
            const auto& name = this->names[static_cast<std::size_t>(this->round / 10) % node_count];
            this->system.node(name).kill();
            this->system.restart_node(name);
            this->histories[name] = {};
            ++this->restarts;
            CHECK_TEXT(this->system.wait_ready({name}, 1, in_force_limit), name.c_str());
        }
        if (this->newest() > newest_before)
        {
            this->wait_in_force(accepted_at);
        }
    }

    change make_change(const std::string& who)
    {
        change made{who + "-" + std::to_string(this->round), ++this->last_queue_length, 0};
        auto text = this->manifest;
        const std::string key = "queue_length = 256";
        text.replace(text.find(key), key.size(), "queue_length = " + std::to_string(made.queue_length));
        std::ofstream{this->system.folder().file(made.id + ".toml")} << text;
        return made;
    }

    [[nodiscard]] test::string_list apply_arguments(const std::string& id) const
    {
        return {"apply",       this->system.folder().file(id + ".toml"),
                "--platform",  this->system.platform_address(),
                "--change-id", id,
                "--output",    "json"};
    }

    void finish(change& tested, test::child_process& process)
    {
        const auto status = process.wait();
        CHECK_TEXT(status.has_value(), tested.id.c_str());
        const auto result = json::parse(process.output(), nullptr, false);
        CHECK_TEXT(result.is_object(), (tested.id + process.output() + process.errors()).c_str());
        const auto& object = result["objects"][0];
        const auto kind = object.value("result", "");
        ++this->results[kind];
        CHECK_EQUAL(kind == "applied" ? 0 : 75, status->code);
        if (kind == "applied")
        {
            tested.version = object.value("version", std::uint64_t{0});
            CHECK_TEXT(this->accepted.emplace(tested.version, tested).second, "two changes got one version");
        }
        else
        {
            STRCMP_EQUAL("conflict", kind.c_str());
        }
    }

    [[nodiscard]] std::uint64_t newest() const
    {
        return this->accepted.empty() ? 0 : this->accepted.rbegin()->first;
    }

    void wait_in_force(clock_type::time_point accepted_at)
    {
        const auto wanted = this->newest();
        bool everywhere = false;
        while (!everywhere && clock_type::now() < accepted_at + in_force_limit)
        {
            everywhere = true;
            for (const auto& name : this->names)
            {
                const auto version = test::version_of(this->system, name);
                auto& history = this->histories[name];
                CHECK_TEXT(version >= history.reported, "the version of a process decreased");
                history.reported = version;
                everywhere = everywhere && version >= wanted;
            }
        }
        CHECK_TEXT(everywhere, "a change was not in force everywhere within its limit");
        this->delays.push_back(clock_type::now() - accepted_at);
    }

    /// @brief The document must be that of the last accepted change and list each accepted change at most once.
    void check_document()
    {
        const auto object = test::get_json(this->system.platform_address(), "/v1/objects/services%2Forders");
        CHECK_EQUAL(this->newest(), object["version"].get<std::uint64_t>());
        const auto& last = this->accepted.rbegin()->second;
        STRCMP_EQUAL(last.id.c_str(), object["value"]["change_id"].get<std::string>().c_str());
        CHECK_EQUAL(last.queue_length, object["value"]["service"]["upstream"]["queue_length"].get<int>());
        std::map<std::string, int> listed;
        for (const auto& each : object["value"]["recent_changes"])
        {
            CHECK_EQUAL(1, ++listed[each["id"].get<std::string>()]);
        }
    }

    /// @brief Every version that a process put in force must be an accepted one and above its predecessor.
    void check_logs()
    {
        std::size_t in_force = 0;
        for (const auto& entry : std::filesystem::directory_iterator{this->system.folder().path()})
        {
            const auto file = entry.path().filename().string();
            if (!file.starts_with("n") || !file.ends_with(".err"))
            {
                continue;
            }
            std::istringstream lines{test::read_file(entry.path())};
            std::uint64_t previous = 0;
            std::string shown;
            for (std::string line; std::getline(lines, line);)
            {
                const auto record = json::parse(line, nullptr, false);
                if (!record.is_object() || record.value("event", "") != "configuration_in_force")
                {
                    continue;
                }
                const auto version = record.value("version", std::uint64_t{0});
                shown = file;
                shown.append(": ").append(line);
                CHECK_TEXT(version > previous, shown.c_str());
                CHECK_TEXT(version == 1 || this->accepted.contains(version), shown.c_str());
                previous = version;
                ++in_force;
            }
        }
        // Fewer would mean that the records were not found, and that nothing was checked.
        CHECK(in_force >= this->delays.size() * node_count / 2);
    }

    void print()
    {
        std::ranges::sort(this->delays);
        const auto in_ms = [](clock_type::duration value)
        {
            return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
        };
        std::cout << "\n" << 2 * rounds << " changes with seed " << seed << ":";
        for (const auto& [kind, count] : this->results)
        {
            std::cout << " " << kind << " " << count;
        }
        std::cout << "; lost answers " << test::platform_counter(this->system, "lost_answers") << ", restarts "
                  << this->restarts << "; from acceptance to all " << node_count << " nodes: median "
                  << in_ms(this->delays[this->delays.size() / 2]) << " ms, greatest " << in_ms(this->delays.back())
                  << " ms" << std::flush;
    }

    test::prove_system system;
    test::string_list names;
    std::string manifest;
    std::mt19937_64 random{seed};
    int round{0};
    int restarts{0};
    int last_queue_length{1000};
    std::map<std::uint64_t, change> accepted;
    std::map<std::string, int> results;
    std::map<std::string, node_history> histories;
    std::vector<clock_type::duration> delays;
};

} // namespace

TEST_GROUP(operators){};

// Guards against changes that are lost, doubled, reverted or late when two operators race, answers to their writes are
// lost and nodes restart.
TEST(operators, racing_changes_are_in_force_once_and_in_order)
{
    race{}.run();
}

// Guards against a node that does not obey `poplarctl drain`, and a `status` that does not show a node as it is.
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
    // The node is gone: both commands have to say so with the documented code.
    CHECK(test::run_program(system.folder(), "again", "poplarctl", {"drain", administration}) ==
          (test::exit_status{69, 0}));
    CHECK(test::run_program(system.folder(), "gone", "poplarctl", status) == (test::exit_status{69, 0}));
}
