#include <array>  // array
#include <vector> // vector

#include "group.hpp"
#include "property.hpp"

using namespace poplarport::membership;
using namespace std::chrono_literals;

namespace
{

/// Shorter exchanges of lists than in production, to keep the virtual time until convergence short, and messages that
/// hold two or three entries, so that lists and news do not fit into one.
detector_settings quick_settings()
{
    detector_settings settings;
    settings.sync_interval = 3s;
    settings.join_backoff_limit = 4s;
    settings.message_bytes = 700;
    return settings;
}

using step = std::array<std::uint8_t, 3>;

/// Applies one generated step to a group.
void apply(group& subject, const step& what, std::size_t size)
{
    const auto index = what[1] % size;
    switch (what[0] % 10)
    {
    case 0:
        subject.net.loss = what[1] % 60;
        break;
    case 1:
        subject.net.duplication = what[1] % 60;
        subject.net.replay = what[2] % 40;
        break;
    case 2:
        subject.net.delay = std::chrono::milliseconds{what[1] * 8};
        break;
    case 3:
    case 4:
        for (std::size_t member = 0; member < size; ++member)
        {
            subject.net.side[member] = (what[1] >> member) & 1U;
        }
        break;
    case 5:
        subject.kill(index);
        break;
    case 6:
        subject.start(index);
        break;
    case 7:
        subject.drain(index);
        break;
    case 8:
        subject.leave(index);
        break;
    default:
        subject.freeze(index, std::chrono::milliseconds{what[2] * 100});
        break;
    }
    subject.run(std::chrono::milliseconds{what[2] * 40});
}

} // namespace

TEST_GROUP(group_property){};

// Invariants: no member is revived by stale gossip, draining is never undone within an incarnation, every message is
// within the bound, and all detectors agree after loss, reordering, duplication and partitions stop.
TEST(group_property, groups_converge_after_faults_stop)
{
    check_property(11, 2000,
                   [](std::uint8_t size_number, std::uint64_t seed, std::vector<step> script)
                   {
                       const std::size_t size = 2 + size_number % 5;
                       script.resize(std::min<std::size_t>(script.size(), 12));
                       group subject{size, seed, quick_settings()};
                       subject.run(2s);
                       for (const step& each : script)
                       {
                           apply(subject, each, size);
                       }
                       subject.net = {};
                       subject.refresh_seeds();
                       for (int second = 0; second < 90 && !subject.converged(); ++second)
                       {
                           subject.run(1s);
                       }
                       RC_ASSERT(subject.faults == std::vector<std::string>{});
                       RC_ASSERT(subject.converged());
                   });
}
