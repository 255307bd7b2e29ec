#include "poplarport/peer/detail/stream.hpp"

#include <algorithm> // min
#include <cstring>   // memcpy
#include <utility>   // exchange, move

#include "poplarport/peer/detail/session.hpp"

namespace poplarport::peer
{

std::string_view to_string(proof value) noexcept
{
    switch (value)
    {
    case proof::not_sent:
        return "not_sent";
    case proof::refused_stream:
        return "refused_stream";
    case proof::goaway_below:
        return "goaway_below";
    case proof::none:
        break;
    }
    return "none";
}

namespace detail
{

stream::stream(std::weak_ptr<session> owner) noexcept : owning_session(std::move(owner))
{
}

stream::~stream()
{
    this->discard_input();
}

std::size_t stream::queued_bytes() const noexcept
{
    return this->output.size() - this->output_offset;
}

void stream::queue_output(std::string_view bytes)
{
    if (this->output_ended || bytes.empty())
    {
        return;
    }
    this->output.append(bytes);
    if (const auto owner = this->owning_session.lock())
    {
        owner->resume_output(*this);
    }
}

void stream::end_output()
{
    if (this->output_ended)
    {
        return;
    }
    this->output_ended = true;
    if (const auto owner = this->owning_session.lock())
    {
        owner->resume_output(*this);
    }
}

std::size_t stream::pull_output(std::uint8_t* target, std::size_t capacity)
{
    constexpr std::size_t compact_threshold_bytes = 65536;
    const auto count = std::min(capacity, this->queued_bytes());
    std::memcpy(target, this->output.data() + this->output_offset, count);
    this->output_offset += count;
    if (this->output_offset == this->output.size())
    {
        this->output.clear();
        this->output_offset = 0;
    }
    else if (this->output_offset > compact_threshold_bytes)
    {
        this->output.erase(0, this->output_offset);
        this->output_offset = 0;
    }
    return count;
}

void stream::set_input_enabled(bool enabled)
{
    this->reading = enabled;
    if (enabled)
    {
        this->deliver();
    }
}

void stream::receive_input(std::string_view bytes)
{
    if (!this->reading || !this->input_buffer.empty() || this->delivering)
    {
        this->input_buffer.append(bytes);
        return;
    }
    const auto keep_alive = this->shared_from_this();
    this->delivering = true;
    this->receive_body(bytes);
    this->delivering = false;
    if (const auto owner = this->owning_session.lock())
    {
        owner->consume(this->id, bytes.size());
    }
}

void stream::receive_input_end()
{
    this->input_ended = true;
    this->deliver();
}

void stream::deliver()
{
    if (this->delivering)
    {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    this->delivering = true;
    while (this->reading && !this->input_buffer.empty())
    {
        const auto bytes = std::exchange(this->input_buffer, {});
        this->receive_body(bytes);
        if (const auto owner = this->owning_session.lock())
        {
            owner->consume(this->id, bytes.size());
        }
    }
    this->delivering = false;
    if (this->reading && this->input_ended && !this->end_delivered)
    {
        this->end_delivered = true;
        this->receive_end();
    }
}

void stream::discard_input()
{
    const auto bytes = std::exchange(this->input_buffer, {}).size();
    const auto owner = this->owning_session.lock();
    if (owner && bytes > 0)
    {
        owner->consume(this->id, bytes);
    }
}

} // namespace detail

} // namespace poplarport::peer
