#pragma once

#include <cstdint> // int32_t, uint8_t

#include "poplarport/attempts/attempt.hpp"

/// @return the event for a generated number
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

/// @brief Independent model of whether an attempt may have run, derived from its events alone.
class execution_model
{
  public:
    /// @brief Records an event. Events after the one that ended the attempt are ignored.
    void record_event(const poplarport::attempts::attempt_event& event)
    {
        using namespace poplarport::attempts;
        if (this->ended)
        {
            return;
        }
        const auto* bytes = std::get_if<request_bytes_sent>(&event);
        const auto* goaway_event = std::get_if<goaway>(&event);
        const bool has_header = std::holds_alternative<response_started>(event);
        const bool is_refusal = std::holds_alternative<refused>(event) ||
                                std::holds_alternative<refused_stream>(event) ||
                                (goaway_event != nullptr && goaway_event->stream > goaway_event->last_stream);
        this->sent = this->sent || (bytes != nullptr && bytes->bytes > 0);
        this->responding = this->responding || has_header;
        this->not_run_proved = is_refusal && !this->responding;
        this->ended = bytes == nullptr && !has_header && (goaway_event == nullptr || is_refusal);
    }

    /// @return whether the request may have run
    [[nodiscard]] bool may_have_run() const
    {
        return this->responding || (this->sent && !this->not_run_proved);
    }

  private:
    bool sent{false};
    bool responding{false};
    bool not_run_proved{false};
    bool ended{false};
};
