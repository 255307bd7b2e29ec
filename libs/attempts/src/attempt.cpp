#include "poplarport/attempts/attempt.hpp"

#include <cassert> // assert

namespace poplarport::attempts
{

std::optional<attempt_result> attempt::handle(const attempt_event& event)
{
    if (this->position == state::ended)
    {
        ++this->late;
        return std::nullopt;
    }
    const auto result = std::visit([this](const auto& kind) { return this->apply(kind); }, event);
    if (result)
    {
        assert(!this->ending);
        this->ending = result;
        this->position = state::ended;
    }
    return result;
}

std::optional<attempt_result> attempt::apply(const request_bytes_sent& event)
{
    this->sent_bytes += event.bytes;
    if (this->position == state::unsent && this->sent_bytes > 0)
    {
        this->position = state::sent;
    }
    return std::nullopt;
}

std::optional<attempt_result> attempt::apply(const refused& /*event*/)
{
    return this->proved(error::refused_by_receiver);
}

std::optional<attempt_result> attempt::apply(const refused_stream& /*event*/)
{
    return this->proved(error::refused_stream);
}

std::optional<attempt_result> attempt::apply(const goaway& event)
{
    // A stream up to the last one may still be answered, so its attempt goes on.
    if (event.stream <= event.last_stream)
    {
        return std::nullopt;
    }
    return this->proved(error::goaway_below_stream);
}

std::optional<attempt_result> attempt::apply(const connection_lost& /*event*/)
{
    return this->unknown_result(error::connection_lost);
}

std::optional<attempt_result> attempt::apply(const response_started& /*event*/)
{
    // An answer to a request of which nothing was sent belongs to another request, so the stream is unusable.
    if (this->position != state::sent)
    {
        return attempt_result{core::outcome::unknown, error::protocol_violation};
    }
    this->position = state::answering;
    return std::nullopt;
}

std::optional<attempt_result> attempt::apply(const response_completed& /*event*/)
{
    if (this->position != state::answering)
    {
        return attempt_result{core::outcome::unknown, error::protocol_violation};
    }
    return attempt_result{core::outcome::answered, {}};
}

std::optional<attempt_result> attempt::apply(const unknown_reported& /*event*/)
{
    if (this->position == state::answering)
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
    const auto unsent = this->position == state::unsent;
    return attempt_result{unsent ? core::outcome::not_run : core::outcome::unknown, error::cancelled_by_caller};
}

std::optional<attempt_result> attempt::apply(const hedge_lost& /*event*/)
{
    const auto unsent = this->position == state::unsent;
    return attempt_result{unsent ? core::outcome::not_run : core::outcome::unknown, error::hedge_lost};
}

std::optional<attempt_result> attempt::apply(const no_endpoint& /*event*/)
{
    if (this->position != state::unsent)
    {
        return attempt_result{core::outcome::unknown, error::protocol_violation};
    }
    return attempt_result{core::outcome::not_run, error::no_endpoint};
}

attempt_result attempt::proved(error code) const
{
    if (this->position == state::answering)
    {
        return {core::outcome::unknown, error::answer_interrupted};
    }
    return {core::outcome::not_run, code};
}

attempt_result attempt::unknown_result(error code) const
{
    switch (this->position)
    {
    case state::unsent:
        return {core::outcome::not_run, error::nothing_sent};
    case state::answering:
        return {core::outcome::unknown, error::answer_interrupted};
    case state::sent:
    case state::ended:
        break;
    }
    return {core::outcome::unknown, code};
}

} // namespace poplarport::attempts
