#include <algorithm> // max, ranges::all_of
#include <array>     // array
#include <map>       // map
#include <vector>    // vector

#include "poplarport/configuration/follower.hpp"
#include "property.hpp"

using namespace poplarport;
using namespace poplarport::configuration;
using namespace std::chrono_literals;

namespace
{

constexpr auto service = "orders";

document document_of(core::version version)
{
    return {service, version, "content " + std::to_string(version)};
}

std::error_code reject_faulty(const document& offered)
{
    return offered.content == "faulty" ? make_error_code(error::check_failed) : std::error_code{};
}

/// Followers of one service, a platform and the requests between them, in virtual time.
class fleet
{
  public:
    bool platform_up{true};
    unsigned loss_percent{0};
    core::version newest{0};
    std::size_t max_watch_count{0};
    std::size_t platform_reads{0};
    std::size_t violations{0};

    fleet(std::size_t size, std::uint64_t seed) : random_engine(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            this->followers.push_back(follower::builder{}.self(id_of(index)).check(reject_faulty).build());
            this->followers.back().follow(service, this->now, this->random_engine);
        }
        this->versions.resize(size);
    }

    void restart(std::size_t index)
    {
        this->followers[index] = follower::builder{}.self(id_of(index)).check(reject_faulty).build();
        this->followers[index].follow(service, this->now, this->random_engine);
        this->versions[index] = 0;
        this->watches.erase(index);
    }

    void offer(std::size_t index, const document& offered, const core::node_id& peer)
    {
        this->followers[index].offer(offered, {peer}, this->now);
        this->check(index);
    }

    [[nodiscard]] core::version version(std::size_t index) const
    {
        return this->versions[index];
    }

    /// Advances the virtual time in steps; the gossip of versions takes one step.
    void run(core::duration time)
    {
        for (const auto end = this->now + time; this->now < end; this->now += 100ms)
        {
            std::vector<peer_version> members;
            for (std::size_t index = 0; index < this->followers.size(); ++index)
            {
                members.push_back({id_of(index), this->followers[index].version_of(service)});
            }
            for (std::size_t index = 0; index < this->followers.size(); ++index)
            {
                this->followers[index].on_members(service, members, this->now, this->random_engine);
                for (const follower_action& each : this->followers[index].tick(this->now, this->random_engine))
                {
                    std::visit([this, index](const auto& action) { this->respond(index, action); }, each);
                }
                this->check(index);
            }
            this->respond_to_watches();
        }
    }

    [[nodiscard]] bool converged() const
    {
        return std::ranges::all_of(this->versions, [this](core::version each) { return each == this->newest; });
    }

  private:
    static core::node_id id_of(std::size_t index)
    {
        return "node-" + std::to_string(index);
    }

    /// Counts a decreased version, or content that does not belong to the version, as a violation.
    void check(std::size_t index)
    {
        const auto version = this->followers[index].version_of(service);
        const auto* held_document = this->followers[index].find(service);
        const bool has_matching_content = held_document == nullptr || *held_document == document_of(version);
        this->violations += version >= this->versions[index] && has_matching_content ? 0 : 1;
        this->versions[index] = version;
    }

    [[nodiscard]] bool is_lost()
    {
        return this->random_engine() % 100 < this->loss_percent;
    }

    void deliver(std::size_t index, const document_source& source, core::version version, bool success)
    {
        if (success && version > 0)
        {
            this->followers[index].offer(document_of(version), source, this->now);
        }
        this->followers[index].on_response(service, source, success, this->now, this->random_engine);
    }

    void respond(std::size_t index, const read_platform& /*action*/)
    {
        ++this->platform_reads;
        if (!this->is_lost())
        {
            this->deliver(index, {}, this->newest, this->platform_up);
        }
    }

    void respond(std::size_t index, const watch_platform& action)
    {
        this->watches[index] = action.after;
        this->max_watch_count = std::max(this->max_watch_count, this->watches.size());
    }

    void respond(std::size_t index, const stop_watch& /*action*/)
    {
        this->watches.erase(index);
    }

    void respond(std::size_t index, const pull_peer& action)
    {
        const auto peer = static_cast<std::size_t>(std::stoul(action.peer.substr(5)));
        if (!this->is_lost())
        {
            this->deliver(index, {action.peer}, this->followers[peer].version_of(service), true);
        }
    }

    void respond_to_watches()
    {
        for (auto position = this->watches.begin(); position != this->watches.end();)
        {
            const auto [index, after] = *position;
            const bool done = !this->platform_up || this->newest > after;
            position = done ? this->watches.erase(position) : std::next(position);
            if (done && !this->is_lost())
            {
                this->deliver(index, {}, this->newest, this->platform_up);
            }
        }
    }

    std::mt19937_64 random_engine;
    core::time_point now{1h};
    std::vector<follower> followers;
    std::vector<core::version> versions;
    std::map<std::size_t, core::version> watches;
};

} // namespace

TEST_GROUP(follower_property){};

// Invariants: the version of a follower never decreases, whatever documents arrive in whatever order; a document with
// the same version but different content and a rejected document change nothing; and all followers reach the newest
// version after the faults have ended.
TEST(follower_property, versions_never_decrease_and_followers_converge)
{
    check_property(
        23, 2000,
        [](std::uint8_t size_number, std::uint64_t seed, const std::vector<std::array<std::uint8_t, 3>>& script)
        {
            const std::size_t size = 1 + size_number % 7;
            fleet tested_fleet{size, seed};
            for (const auto& [kind, index, detail] : script)
            {
                const auto version = detail % (tested_fleet.newest + 1);
                switch (kind % 9)
                {
                case 0:
                    ++tested_fleet.newest;
                    break;
                case 1:
                    tested_fleet.platform_up = detail % 2 == 0;
                    break;
                case 2:
                    tested_fleet.loss_percent = detail % 70;
                    break;
                case 3:
                    tested_fleet.restart(index % size);
                    break;
                case 4:
                    tested_fleet.offer(index % size, document_of(version), "node-0");
                    break;
                case 5:
                    tested_fleet.offer(index % size, {service, version + 5, "faulty"}, "node-1");
                    break;
                case 6:
                    tested_fleet.offer(index % size, {service, tested_fleet.newest, "faulty"}, "");
                    break;
                case 7:
                    tested_fleet.offer(index % size, {service, tested_fleet.version(index % size), "other"}, "node-2");
                    break;
                default:
                    tested_fleet.run(std::chrono::milliseconds{detail * 20});
                    break;
                }
            }
            tested_fleet.platform_up = true;
            tested_fleet.loss_percent = 0;
            ++tested_fleet.newest;
            for (int second = 0; second < 75 && !tested_fleet.converged(); ++second)
            {
                tested_fleet.run(1s);
            }
            RC_ASSERT(tested_fleet.violations == 0U);
            RC_ASSERT(tested_fleet.converged());
        });
}

// When all members of a service start at once, at most three may watch the platform. A restarted member must get its
// document from its peers instead of the platform.
TEST(follower_property, simultaneous_start_limits_platform_requests)
{
    fleet tested_fleet{14, 3};
    tested_fleet.newest = 1;
    tested_fleet.run(2s);
    tested_fleet.newest = 2;
    tested_fleet.run(3s);
    CHECK(tested_fleet.converged());
    LONGS_EQUAL(3, tested_fleet.max_watch_count);
    const auto reads = tested_fleet.platform_reads;
    tested_fleet.restart(4);
    tested_fleet.platform_up = false;
    tested_fleet.run(5s);
    CHECK(tested_fleet.converged());
    LONGS_EQUAL(reads, tested_fleet.platform_reads);
}
