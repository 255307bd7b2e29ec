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

std::error_code refuse_faulty(const document& offered)
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
    std::size_t longest_watch_count{0};
    std::size_t platform_reads{0};
    std::size_t faults{0};

    fleet(std::size_t size, std::uint64_t seed) : random(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            this->subjects.push_back(follower::builder{}.self(id_of(index)).check(refuse_faulty).build());
            this->subjects.back().follow(service, this->now, this->random);
        }
        this->versions.resize(size);
    }

    void restart(std::size_t index)
    {
        this->subjects[index] = follower::builder{}.self(id_of(index)).check(refuse_faulty).build();
        this->subjects[index].follow(service, this->now, this->random);
        this->versions[index] = 0;
        this->watches.erase(index);
    }

    void offer(std::size_t index, const document& offered, const core::node_id& peer)
    {
        this->subjects[index].offer(offered, {peer}, this->now);
        this->check(index);
    }

    [[nodiscard]] core::version version(std::size_t index) const
    {
        return this->versions[index];
    }

    /// Lets virtual time pass in steps; gossip of versions takes one step.
    void run(core::duration time)
    {
        for (const auto end = this->now + time; this->now < end; this->now += 100ms)
        {
            std::vector<peer_version> members;
            for (std::size_t index = 0; index < this->subjects.size(); ++index)
            {
                members.push_back({id_of(index), this->subjects[index].version_of(service)});
            }
            for (std::size_t index = 0; index < this->subjects.size(); ++index)
            {
                this->subjects[index].on_members(service, members, this->now, this->random);
                for (const follower_action& each : this->subjects[index].tick(this->now, this->random))
                {
                    std::visit([this, index](const auto& action) { this->answer(index, action); }, each);
                }
                this->check(index);
            }
            this->answer_watches();
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

    /// Counts a version that went back, or a content that is not that of the version.
    void check(std::size_t index)
    {
        const auto version = this->subjects[index].version_of(service);
        const auto* held = this->subjects[index].find(service);
        const bool right_content = held == nullptr || *held == document_of(version);
        this->faults += version >= this->versions[index] && right_content ? 0 : 1;
        this->versions[index] = version;
    }

    [[nodiscard]] bool lost()
    {
        return this->random() % 100 < this->loss_percent;
    }

    void deliver(std::size_t index, const document_source& source, core::version version, bool success)
    {
        if (success && version > 0)
        {
            this->subjects[index].offer(document_of(version), source, this->now);
        }
        this->subjects[index].on_response(service, source, success, this->now, this->random);
    }

    void answer(std::size_t index, const read_platform& /*action*/)
    {
        ++this->platform_reads;
        if (!this->lost())
        {
            this->deliver(index, {}, this->newest, this->platform_up);
        }
    }

    void answer(std::size_t index, const watch_platform& action)
    {
        this->watches[index] = action.after;
        this->longest_watch_count = std::max(this->longest_watch_count, this->watches.size());
    }

    void answer(std::size_t index, const stop_watch& /*action*/)
    {
        this->watches.erase(index);
    }

    void answer(std::size_t index, const pull_peer& action)
    {
        const auto peer = static_cast<std::size_t>(std::stoul(action.peer.substr(5)));
        if (!this->lost())
        {
            this->deliver(index, {action.peer}, this->subjects[peer].version_of(service), true);
        }
    }

    void answer_watches()
    {
        for (auto place = this->watches.begin(); place != this->watches.end();)
        {
            const auto [index, after] = *place;
            const bool done = !this->platform_up || this->newest > after;
            place = done ? this->watches.erase(place) : std::next(place);
            if (done && !this->lost())
            {
                this->deliver(index, {}, this->newest, this->platform_up);
            }
        }
    }

    std::mt19937_64 random;
    core::time_point now{1h};
    std::vector<follower> subjects;
    std::vector<core::version> versions;
    std::map<std::size_t, core::version> watches;
};

} // namespace

TEST_GROUP(follower_property){};

// Invariants: versions never go back on any follower whatever is delivered in whatever order, same versions with other
// content and refused documents change nothing, and all followers reach the newest version after the faults stop.
TEST(follower_property, versions_never_go_back_and_followers_catch_up)
{
    check_property(
        23, 2000,
        [](std::uint8_t size_number, std::uint64_t seed, const std::vector<std::array<std::uint8_t, 3>>& script)
        {
            const std::size_t size = 1 + size_number % 7;
            fleet subject{size, seed};
            for (const auto& [kind, index, detail] : script)
            {
                const auto version = detail % (subject.newest + 1);
                switch (kind % 9)
                {
                case 0:
                    ++subject.newest;
                    break;
                case 1:
                    subject.platform_up = detail % 2 == 0;
                    break;
                case 2:
                    subject.loss_percent = detail % 70;
                    break;
                case 3:
                    subject.restart(index % size);
                    break;
                case 4:
                    subject.offer(index % size, document_of(version), "node-0");
                    break;
                case 5:
                    subject.offer(index % size, {service, version + 5, "faulty"}, "node-1");
                    break;
                case 6:
                    subject.offer(index % size, {service, subject.newest, "faulty"}, "");
                    break;
                case 7:
                    subject.offer(index % size, {service, subject.version(index % size), "other"}, "node-2");
                    break;
                default:
                    subject.run(std::chrono::milliseconds{detail * 20});
                    break;
                }
            }
            subject.platform_up = true;
            subject.loss_percent = 0;
            ++subject.newest;
            for (int second = 0; second < 75 && !subject.converged(); ++second)
            {
                subject.run(1s);
            }
            RC_ASSERT(subject.faults == 0U);
            RC_ASSERT(subject.converged());
        });
}

// Guards against more waiting watches than three per service, and against members that all ask the platform at start.
TEST(follower_property, a_fleet_that_starts_at_once_spares_the_platform)
{
    fleet subject{14, 3};
    subject.newest = 1;
    subject.run(2s);
    subject.newest = 2;
    subject.run(3s);
    CHECK(subject.converged());
    LONGS_EQUAL(3, subject.longest_watch_count);
    const auto reads = subject.platform_reads;
    subject.restart(4);
    subject.platform_up = false;
    subject.run(5s);
    CHECK(subject.converged());
    LONGS_EQUAL(reads, subject.platform_reads);
}
