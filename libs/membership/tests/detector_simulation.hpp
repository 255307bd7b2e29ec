#pragma once

#include <algorithm> // ranges::sort
#include <cstdint>   // uint8_t, uint32_t
#include <map>       // map, multimap
#include <memory>    // make_unique, unique_ptr
#include <optional>  // optional
#include <random>    // mt19937_64
#include <string>    // to_string
#include <utility>   // pair
#include <vector>    // vector

#include "poplarport/membership/detector.hpp"

/// @brief Simulates detectors in virtual time over a network that loses, delays, duplicates and partitions messages.
///
/// Each event or message that violates an invariant is recorded in `violations`.
class detector_simulation
{
  public:
    using time_point = poplarport::core::time_point;
    using duration = poplarport::core::duration;

    /// @brief Faults of the network; probabilities are in percent.
    struct network_conditions
    {
        unsigned loss{0};
        unsigned duplication{0};
        unsigned replay{0};                 ///< probability that an earlier message is delivered again
        std::chrono::milliseconds delay{2}; ///< maximum delay
        /// Partition of each member; members of different partitions cannot communicate.
        std::vector<std::uint8_t> partition = std::vector<std::uint8_t>(16);
    };

    network_conditions network;
    std::vector<std::string> violations;
    std::size_t messages{0};
    std::size_t bytes{0};
    std::size_t removals{0}; ///< events that report a member as dead or left

    detector_simulation(std::size_t size, std::uint64_t seed, const poplarport::membership::detector_settings& settings)
        : random(seed), limits(settings), nodes(size)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            this->start(index);
        }
    }

    /// @brief Starts or restarts a member with a later incarnation.
    void start(std::size_t index)
    {
        node& each = this->nodes[index];
        poplarport::membership::member self;
        self.id = "node-" + std::to_string(index);
        self.incarnation = ++this->last_incarnation * 1000;
        self.availability_zone = "zone-a";
        self.peer_address = address_of(index);
        self.http_address = {self.peer_address.host, 8080};
        auto builder = poplarport::membership::detector::builder{};
        builder.service("orders").self(self).settings(this->limits).seeds({address_of(0), address_of(1)});
        each.instance = std::make_unique<poplarport::membership::detector>(builder.build(this->now, this->random));
        each.frozen_until = this->now;
        each.ended.clear();
        each.drained.clear();
    }

    void kill(std::size_t index)
    {
        this->nodes[index].instance.reset();
    }

    void leave(std::size_t index)
    {
        if (this->running(index))
        {
            this->process(index, this->nodes[index].instance->leave(this->now, this->random));
            this->kill(index);
        }
    }

    void drain(std::size_t index)
    {
        if (this->running(index))
        {
            this->nodes[index].instance->drain(this->now);
        }
    }

    void freeze(std::size_t index, duration time)
    {
        this->nodes[index].frozen_until = this->now + time;
    }

    /// @brief Sets the seeds of all members to two running members, as maintenance of the seeds object would.
    void refresh_seeds()
    {
        std::vector<poplarport::core::socket_address> addresses;
        for (std::size_t index = 0; index < this->nodes.size() && addresses.size() < 2; ++index)
        {
            if (this->running(index))
            {
                addresses.push_back(address_of(index));
            }
        }
        this->set_seeds(addresses);
    }

    void clear_seeds()
    {
        this->set_seeds({});
    }

    [[nodiscard]] bool running(std::size_t index) const
    {
        return this->nodes[index].instance != nullptr;
    }

    [[nodiscard]] const poplarport::membership::detector& detector(std::size_t index) const
    {
        return *this->nodes[index].instance;
    }

    void run(duration time)
    {
        const auto end = this->now + time;
        while (true)
        {
            const auto [due, index] = this->next_tick();
            const bool deliver = !this->in_flight.empty() && this->in_flight.begin()->first <= due;
            const auto next = deliver ? this->in_flight.begin()->first : due;
            if (next > end)
            {
                break;
            }
            this->now = std::max(this->now, next);
            deliver ? this->deliver_first() : this->tick(index);
        }
        this->now = end;
    }

    /// @return whether every running member lists exactly the running members, all alive and with their current flags
    [[nodiscard]] bool converged() const
    {
        std::vector<poplarport::membership::member> expected;
        for (const node& each : this->nodes)
        {
            if (each.instance)
            {
                expected.push_back(each.instance->self());
            }
        }
        std::ranges::sort(expected, {}, &poplarport::membership::member::id);
        const auto agrees = [&expected](const node& each)
        {
            return !each.instance || each.instance->members() == expected;
        };
        return std::ranges::all_of(this->nodes, agrees);
    }

  private:
    using rank = std::pair<poplarport::core::incarnation, std::uint32_t>;

    struct node
    {
        std::unique_ptr<poplarport::membership::detector> instance;
        time_point frozen_until;
        std::map<std::string, rank> ended; ///< version at which the member was last reported dead or left
        std::map<std::pair<std::string, poplarport::core::incarnation>, bool> drained; ///< last reported `draining`
    };

    struct delivery
    {
        std::size_t from;
        std::size_t to;
        poplarport::membership::message content;
    };

    static poplarport::core::socket_address address_of(std::size_t index)
    {
        return {"10.0.0." + std::to_string(index + 1), 7000};
    }

    void set_seeds(const std::vector<poplarport::core::socket_address>& addresses)
    {
        for (const node& each : this->nodes)
        {
            if (each.instance)
            {
                each.instance->set_seeds(addresses);
            }
        }
    }

    [[nodiscard]] bool with_probability(unsigned percent)
    {
        return this->random() % 100 < percent;
    }

    [[nodiscard]] std::pair<time_point, std::size_t> next_tick() const
    {
        std::pair<time_point, std::size_t> next{time_point::max(), 0};
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            const node& each = this->nodes[index];
            if (each.instance)
            {
                next = std::min(next, {std::max(each.instance->next_wakeup(), each.frozen_until), index});
            }
        }
        return next;
    }

    void tick(std::size_t index)
    {
        this->process(index, this->nodes[index].instance->tick(this->now, this->random));
    }

    void deliver_first()
    {
        const delivery first = std::move(this->in_flight.begin()->second);
        this->in_flight.erase(this->in_flight.begin());
        node& receiver = this->nodes[first.to];
        if (!receiver.instance || this->network.partition[first.from] != this->network.partition[first.to])
        {
            return;
        }
        if (receiver.frozen_until > this->now)
        {
            // The datagram stays in the socket buffer; the first tick after the freeze may run before or after its
            // delivery.
            this->in_flight.emplace(receiver.frozen_until + std::chrono::microseconds{this->random() % 2}, first);
            return;
        }
        const auto output = receiver.instance->receive(address_of(first.from), first.content, this->now, this->random);
        this->process(first.to, output);
    }

    void process(std::size_t index, const poplarport::membership::detector_output& output)
    {
        for (const auto& each : output.messages)
        {
            this->send(index, each);
        }
        for (const auto& each : output.events)
        {
            this->check_event(index, each);
        }
    }

    void send(std::size_t from, const poplarport::membership::outgoing& sent)
    {
        const auto size = estimated_size(sent.message);
        ++this->messages;
        this->bytes += size;
        if (size > this->limits.message_bytes)
        {
            this->violations.emplace_back("message exceeds the maximum size");
        }
        std::size_t to = 0;
        while (to < this->nodes.size() && address_of(to) != sent.to)
        {
            ++to;
        }
        if (to == this->nodes.size())
        {
            return;
        }
        delivery content{from, to, sent.message};
        this->sent_messages.push_back(content);
        if (this->with_probability(this->network.replay))
        {
            this->schedule(this->sent_messages[this->random() % this->sent_messages.size()]);
        }
        const std::size_t copies = this->with_probability(this->network.duplication) ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy)
        {
            if (!this->with_probability(this->network.loss))
            {
                this->schedule(content);
            }
        }
    }

    void schedule(delivery content)
    {
        const auto max_delay_us = static_cast<std::uint64_t>(std::chrono::microseconds{this->network.delay}.count());
        const std::chrono::microseconds delay{this->random() % (max_delay_us + 1)};
        this->in_flight.emplace(this->now + delay, std::move(content));
    }

    void check_event(std::size_t index, const poplarport::membership::member_event& event)
    {
        using enum poplarport::membership::member_change;
        node& reporter = this->nodes[index];
        const auto& reported = event.member;
        const rank current{reported.incarnation, reported.revision};
        if (event.change == failed || event.change == left)
        {
            ++this->removals;
            reporter.ended[reported.id] = current;
        }
        else if (reporter.ended.contains(reported.id) && current <= reporter.ended[reported.id])
        {
            this->violations.push_back("revived by stale gossip: " + reported.id);
        }
        bool& drained = reporter.drained[{reported.id, reported.incarnation}];
        if (drained && !reported.draining)
        {
            this->violations.push_back("draining was reset: " + reported.id);
        }
        drained = reported.draining;
    }

    std::mt19937_64 random;
    poplarport::membership::detector_settings limits;
    std::vector<node> nodes;
    std::multimap<time_point, delivery> in_flight;
    std::vector<delivery> sent_messages;
    time_point now{std::chrono::hours{1}};
    poplarport::core::incarnation last_incarnation{0};
};
