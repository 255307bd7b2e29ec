#include "poplarport/admission/errors.hpp"

#include <array> // array

namespace poplarport::admission
{

namespace
{

constexpr std::array<result::code_entry, 7> rows{{
    {400, "queue_full", "The endpoint's queue is full.",
     "The upstream is overloaded; another endpoint may run the request."},
    {401, "tenant_over_share", "The queue is full and the tenant's queued requests exceed its share.",
     "Under overload, the tenant sends more than its weight permits; reduce its rate or raise its weight."},
    {402, "deadline_unreachable", "The estimated wait and service time exceed the remaining time.",
     "The upstream is slow or overloaded, or the deadline is too short."},
    {403, "deadline_passed", "The deadline passed before the request was dispatched.",
     "The request was delayed on the network or in the queue."},
    {404, "draining", "The endpoint is draining and accepts no new requests.",
     "Planned shutdown; another endpoint may run the request."},
    {405, "better_peer", "Another endpoint is expected to start the request sooner.",
     "All slots are in use at this endpoint; the refusal names a peer with a shorter expected wait."},
    {406, "duplicate_request", "A request with the same ID is already queued or running at this endpoint.",
     "The request arrived twice; an endpoint runs it at most once."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"admission", rows};
    return instance;
}

std::error_code make_error_code(errors code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::admission
