#include "poplarport/attempts/attempt.hpp"

#include <cassert> // assert

namespace poplarport::attempts
{

std::optional<attempt_result> attempt::handle(const attempt_event& event)
{
    if (this->current_state == state::ended)
    {
        ++this->late_event_count;
        return std::nullopt;
    }
    const auto result = std::visit([this](const auto& typed_event) { return this->apply(typed_event); }, event);
    if (result)
    {
        assert(!this->final_result);
        this->final_result = result;
        this->current_state = state::ended;
    }
    return result;
}

std::optional<attempt_result> attempt::apply(const request_bytes_sent& event)
{
    this->sent_bytes += event.bytes;
    if (this->current_state == state::unsent && this->sent_bytes > 0)
    {
        this->current_state = state::sent;
    }
    return std::nullopt;
}

std::optional<attempt_result> attempt::apply(const refused& /*event*/)
{
    return this->not_run_result(error::refused_by_receiver);
}

std::optional<attempt_result> attempt::apply(const refused_stream& /*event*/)
{
    return this->not_run_result(error::refused_stream);
}

std::optional<attempt_result> attempt::apply(const goaway& event)
{
    // The peer may still respond on a stream up to the last one, so the attempt continues.
    if (event.stream <= event.last_stream)
    {
        return std::nullopt;
    }
    return this->not_run_result(error::goaway_below_stream);
}

std::optional<attempt_result> attempt::apply(const connection_lost& /*event*/)
{
    return this->unknown_result(error::connection_lost);
}

std::optional<attempt_result> attempt::apply(const response_started& /*event*/)
{
    // A response before any byte of the request was sent belongs to another request, so the stream is unusable.
    if (this->current_state != state::sent)
    {
        return attempt_result{core::outcome::unknown, error::protocol_violation};
    }
    this->current_state = state::responding;
    return std::nullopt;
}

std::optional<attempt_result> attempt::apply(const response_completed& /*event*/)
{
    if (this->current_state != state::responding)
    {
        return attempt_result{core::outcome::unknown, error::protocol_violation};
    }
    return attempt_result{core::outcome::answered, {}};
}

std::optional<attempt_result> attempt::apply(const unknown_reported& /*event*/)
{
    if (this->current_state == state::responding)
    {
        return attempt_result{core::outcome::unknown, error::answer_interrupted};
    }
    return attempt_result{core::outcome::unknown, error::reported_unknown};
}

std::optional<attempt_result> attempt::apply(const local_timeout& /*event*/)
{
    return this->unknown_result(error::timed_out);
}

std::optional<attempt_result> attempt::apply(const cancelled& /*event*/)
{
    const auto unsent = this->current_state == state::unsent;
    return attempt_result{unsent ? core::outcome::not_run : core::outcome::unknown, error::cancelled_by_caller};
}

std::optional<attempt_result> attempt::apply(const hedge_lost& /*event*/)
{
    const auto unsent = this->current_state == state::unsent;
    return attempt_result{unsent ? core::outcome::not_run : core::outcome::unknown, error::hedge_lost};
}

std::optional<attempt_result> attempt::apply(const no_endpoint& /*event*/)
{
    if (this->current_state != state::unsent)
    {
        return attempt_result{core::outcome::unknown, error::protocol_violation};
    }
    return attempt_result{core::outcome::not_run, error::no_endpoint};
}

attempt_result attempt::not_run_result(error code) const
{
    if (this->current_state == state::responding)
    {
        return {core::outcome::unknown, error::answer_interrupted};
    }
    return {core::outcome::not_run, code};
}

attempt_result attempt::unknown_result(error code) const
{
    switch (this->current_state)
    {
    case state::unsent:
        return {core::outcome::not_run, error::nothing_sent};
    case state::responding:
        return {core::outcome::unknown, error::answer_interrupted};
    case state::sent:
    case state::ended:
        break;
    }
    return {core::outcome::unknown, code};
}

} // namespace poplarport::attempts
