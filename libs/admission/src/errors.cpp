#include "poplarport/admission/errors.hpp"

#include <array> // array

namespace poplarport::admission
{

namespace
{

constexpr std::array<result::code_entry, 7> rows{{
    {400, "queue_full", "The endpoint's queue is full.",
     "The upstream is overloaded; another endpoint may run the request."},
    {401, "tenant_over_share", "The queue is full and the tenant holds more than its share of it.",
     "The tenant sends more than its weight allows under overload; reduce its rate or raise its weight."},
    {402, "deadline_unreachable", "The estimated wait and service time exceed the time left.",
     "The upstream is slow or overloaded, or the deadline is too short."},
    {403, "deadline_passed", "The deadline passed before the request was dispatched.",
     "The request was delayed on its way or in the queue."},
    {404, "draining", "The endpoint is draining and takes no new work.",
     "A planned stop; another endpoint runs the request."},
    {405, "better_peer", "Another endpoint is expected to start the request sooner.",
     "All slots are in use here; the refusal names a better placed peer."},
    {406, "duplicate_request", "A request with the same id is already queued or running here.",
     "The request arrived twice; it runs at most once at this endpoint."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"admission", rows};
    return instance;
}

std::error_code make_error_code(errors reason) noexcept
{
    return {static_cast<int>(reason), category()};
}

} // namespace poplarport::admission
