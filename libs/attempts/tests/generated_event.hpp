#pragma once

#include <cstdint> // int32_t, uint8_t

#include "poplarport/attempts/attempt.hpp"

/// @brief Makes an event from a generated number.
[[nodiscard]] inline poplarport::attempts::attempt_event event_from(std::uint8_t number)
{
    using namespace poplarport::attempts;
    switch (number % 16)
    {
    case 0:
        return request_bytes_sent{0};
    case 1:
        return refused{refusal_proof::admission_refused, {"peer-1", "peer-2", "peer-3"}};
    case 2:
        return refused{refusal_proof::upstream_shed, {}};
    case 3:
        return refused_stream{};
    case 4:
        return goaway{5, 3};
    case 5:
        return goaway{5, 5};
    case 6:
        return connection_lost{};
    case 7:
        return response_started{};
    case 8:
        return response_completed{};
    case 9:
        return unknown_reported{};
    case 10:
        return local_timeout{};
    case 11:
        return cancelled{};
    case 12:
        return hedge_lost{};
    case 13:
        return no_endpoint{};
    default:
        return request_bytes_sent{10};
    }
}

/// @brief Independent account of whether an attempt may have run, kept from the events alone.
class run_account
{
  public:
    /// @brief Notes an event. After the first event that ends the attempt nothing is sent any more.
    void note(const poplarport::attempts::attempt_event& event)
    {
        using namespace poplarport::attempts;
        if (this->closed)
        {
            return;
        }
        const auto* bytes = std::get_if<request_bytes_sent>(&event);
        const auto* away = std::get_if<goaway>(&event);
        const bool head = std::holds_alternative<response_started>(event);
        const bool refusal = std::holds_alternative<refused>(event) || std::holds_alternative<refused_stream>(event) ||
                             (away != nullptr && away->stream > away->last_stream);
        this->sent = this->sent || (bytes != nullptr && bytes->bytes > 0);
        this->answering = this->answering || head;
        this->proved = refusal && !this->answering;
        this->closed = bytes == nullptr && !head && (away == nullptr || refusal);
    }

    /// @return whether the request may have run
    [[nodiscard]] bool may_have_run() const
    {
        return this->answering || (this->sent && !this->proved);
    }

  private:
    bool sent{false};
    bool answering{false};
    bool proved{false};
    bool closed{false};
};
