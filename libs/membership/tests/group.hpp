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

/// @brief Detectors that exchange messages in virtual time over a network that loses, delays, repeats and cuts.
///
/// Keeps an account of every report that contradicts an invariant, so that the tests only look at `faults`.
class group
{
  public:
    using time_point = poplarport::core::time_point;
    using duration = poplarport::core::duration;

    /// @brief Behaviour of the network, in percent.
    struct network
    {
        unsigned loss{0};
        unsigned duplication{0};
        unsigned replay{0};                                             ///< messages of the past that arrive once more
        std::chrono::milliseconds delay{2};                             ///< upper bound
        std::vector<std::uint8_t> side = std::vector<std::uint8_t>(16); ///< members of unequal sides are cut off
    };

    network net;
    std::vector<std::string> faults;
    std::size_t messages{0};
    std::size_t bytes{0};
    std::size_t removals{0}; ///< reports of the end of a member

    group(std::size_t size, std::uint64_t seed, const poplarport::membership::detector_settings& settings)
        : random(seed), limits(settings), nodes(size)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            this->start(index);
        }
    }

    /// @brief Starts a member, again or for the first time, with a later incarnation.
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
        each.subject = std::make_unique<poplarport::membership::detector>(builder.build(this->now, this->random));
        each.frozen_until = this->now;
        each.ended.clear();
        each.drained.clear();
    }

    void kill(std::size_t index)
    {
        this->nodes[index].subject.reset();
    }

    void leave(std::size_t index)
    {
        if (this->running(index))
        {
            this->process(index, this->nodes[index].subject->leave(this->now, this->random));
            this->kill(index);
        }
    }

    void drain(std::size_t index)
    {
        if (this->running(index))
        {
            this->nodes[index].subject->drain(this->now);
        }
    }

    void freeze(std::size_t index, duration time)
    {
        this->nodes[index].frozen_until = this->now + time;
    }

    /// @brief Gives all members the seeds that the upkeep of the seeds object leads to: two that run.
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
        return this->nodes[index].subject != nullptr;
    }

    [[nodiscard]] const poplarport::membership::detector& detector(std::size_t index) const
    {
        return *this->nodes[index].subject;
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

    /// @return whether every running member lists exactly the running members, all alive and with their own flags
    [[nodiscard]] bool converged() const
    {
        std::vector<poplarport::membership::member> expected;
        for (const node& each : this->nodes)
        {
            if (each.subject)
            {
                expected.push_back(each.subject->self());
            }
        }
        std::ranges::sort(expected, {}, &poplarport::membership::member::id);
        const auto agrees = [&expected](const node& each)
        {
            return !each.subject || each.subject->members() == expected;
        };
        return std::ranges::all_of(this->nodes, agrees);
    }

  private:
    using rank = std::pair<poplarport::core::incarnation, std::uint32_t>;

    struct node
    {
        std::unique_ptr<poplarport::membership::detector> subject;
        time_point frozen_until;
        std::map<std::string, rank> ended;                                             ///< last reported end
        std::map<std::pair<std::string, poplarport::core::incarnation>, bool> drained; ///< draining as reported
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
            if (each.subject)
            {
                each.subject->set_seeds(addresses);
            }
        }
    }

    [[nodiscard]] bool happens(unsigned percent)
    {
        return this->random() % 100 < percent;
    }

    [[nodiscard]] std::pair<time_point, std::size_t> next_tick() const
    {
        std::pair<time_point, std::size_t> next{time_point::max(), 0};
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
        {
            const node& each = this->nodes[index];
            if (each.subject)
            {
                next = std::min(next, {std::max(each.subject->next_wakeup(), each.frozen_until), index});
            }
        }
        return next;
    }

    void tick(std::size_t index)
    {
        this->process(index, this->nodes[index].subject->tick(this->now, this->random));
    }

    void deliver_first()
    {
        const delivery first = std::move(this->in_flight.begin()->second);
        this->in_flight.erase(this->in_flight.begin());
        node& receiver = this->nodes[first.to];
        if (!receiver.subject || this->net.side[first.from] != this->net.side[first.to])
        {
            return;
        }
        if (receiver.frozen_until > this->now)
        {
            // The datagram waits in the socket; the first tick after the freeze may come before or after it.
            this->in_flight.emplace(receiver.frozen_until + std::chrono::microseconds{this->random() % 2}, first);
            return;
        }
        const auto output = receiver.subject->receive(address_of(first.from), first.content, this->now, this->random);
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
            this->note(index, each);
        }
    }

    void send(std::size_t from, const poplarport::membership::outgoing& sent)
    {
        const auto size = estimated_size(sent.message);
        ++this->messages;
        this->bytes += size;
        if (size > this->limits.message_bytes)
        {
            this->faults.emplace_back("message above the bound");
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
        this->past.push_back(content);
        if (this->happens(this->net.replay))
        {
            this->schedule(this->past[this->random() % this->past.size()]);
        }
        const std::size_t copies = this->happens(this->net.duplication) ? 2 : 1;
        for (std::size_t copy = 0; copy < copies; ++copy)
        {
            if (!this->happens(this->net.loss))
            {
                this->schedule(content);
            }
        }
    }

    void schedule(delivery content)
    {
        const auto bound = static_cast<std::uint64_t>(std::chrono::microseconds{this->net.delay}.count());
        const std::chrono::microseconds delay{this->random() % (bound + 1)};
        this->in_flight.emplace(this->now + delay, std::move(content));
    }

    void note(std::size_t index, const poplarport::membership::member_event& event)
    {
        using enum poplarport::membership::member_change;
        node& observer = this->nodes[index];
        const auto& subject = event.member;
        const rank current{subject.incarnation, subject.revision};
        if (event.change == failed || event.change == left)
        {
            ++this->removals;
            observer.ended[subject.id] = current;
        }
        else if (observer.ended.contains(subject.id) && current <= observer.ended[subject.id])
        {
            this->faults.push_back("revived by stale gossip: " + subject.id);
        }
        bool& drained = observer.drained[{subject.id, subject.incarnation}];
        if (drained && !subject.draining)
        {
            this->faults.push_back("draining undone: " + subject.id);
        }
        drained = subject.draining;
    }

    std::mt19937_64 random;
    poplarport::membership::detector_settings limits;
    std::vector<node> nodes;
    std::multimap<time_point, delivery> in_flight;
    std::vector<delivery> past;
    time_point now{std::chrono::hours{1}};
    poplarport::core::incarnation last_incarnation{0};
};
