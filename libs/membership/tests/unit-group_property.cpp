#include <array>  // array
#include <vector> // vector

#include "detector_simulation.hpp"
#include "property.hpp"

using namespace poplarport::membership;
using namespace std::chrono_literals;

namespace
{

/// Lists are exchanged more often than in production to shorten the virtual time until convergence. A message holds
/// only two or three entries, so that lists and gossip updates need several messages.
detector_settings fast_settings()
{
    detector_settings settings;
    settings.sync_interval = 3s;
    settings.join_backoff_limit = 4s;
    settings.message_bytes = 700;
    return settings;
}

using step = std::array<std::uint8_t, 3>;

/// Applies one generated step to a simulation.
void apply(detector_simulation& simulation, const step& action, std::size_t size)
{
    const auto index = action[1] % size;
    switch (action[0] % 10)
    {
    case 0:
        simulation.network.loss = action[1] % 60;
        break;
    case 1:
        simulation.network.duplication = action[1] % 60;
        simulation.network.replay = action[2] % 40;
        break;
    case 2:
        simulation.network.delay = std::chrono::milliseconds{action[1] * 8};
        break;
    case 3:
    case 4:
        for (std::size_t member = 0; member < size; ++member)
        {
            simulation.network.partition[member] = (action[1] >> member) & 1U;
        }
        break;
    case 5:
        simulation.kill(index);
        break;
    case 6:
        simulation.start(index);
        break;
    case 7:
        simulation.drain(index);
        break;
    case 8:
        simulation.leave(index);
        break;
    default:
        simulation.freeze(index, std::chrono::milliseconds{action[2] * 100});
        break;
    }
    simulation.run(std::chrono::milliseconds{action[2] * 40});
}

} // namespace

TEST_GROUP(group_property){};

// Invariants: no member is revived by stale gossip, draining is never reset within an incarnation, no message
// exceeds the maximum size, and all detectors agree after loss, reordering, duplication and partitions stop.
TEST(group_property, groups_converge_after_faults_stop)
{
    check_property(11, 2000,
                   [](std::uint8_t size_number, std::uint64_t seed, std::vector<step> script)
                   {
                       const std::size_t size = 2 + size_number % 5;
                       script.resize(std::min<std::size_t>(script.size(), 12));
                       detector_simulation simulation{size, seed, fast_settings()};
                       simulation.run(2s);
                       for (const step& each : script)
                       {
                           apply(simulation, each, size);
                       }
                       simulation.network = {};
                       simulation.refresh_seeds();
                       for (int second = 0; second < 90 && !simulation.converged(); ++second)
                       {
                           simulation.run(1s);
                       }
                       RC_ASSERT(simulation.violations == std::vector<std::string>{});
                       RC_ASSERT(simulation.converged());
                   });
}
