#include "poplarport/attempts/errors.hpp"

#include <array> // array

namespace poplarport::attempts
{

namespace
{

constexpr std::array<result::code_entry, 19> rows{{
    {500, "refused_by_receiver", "The receiving node refused the request before dispatch.",
     "The endpoint is full, draining or cannot meet the deadline; another endpoint may be tried."},
    {501, "refused_stream", "The peer reset the stream with REFUSED_STREAM.",
     "The peer's stream limit was reached; HTTP/2 guarantees that the request was not processed."},
    {502, "goaway_below_stream", "The peer sent GOAWAY with a last stream below this one.",
     "The peer is shutting down; HTTP/2 guarantees that the request was not processed."},
    {503, "nothing_sent", "The attempt ended before any byte of the request was passed to the connection.",
     "The connection could not be opened, or the attempt was ended while it waited for one."},
    {504, "no_endpoint", "No endpoint was available for the attempt.",
     "All endpoints are excluded, draining or failed; check the members of the service."},
    {505, "connection_lost", "The connection was lost after at least one byte of the request was sent.",
     "The peer's process or host failed; it is unknown whether the request ran."},
    {506, "timed_out", "No response arrived in time after at least one byte of the request was sent.",
     "The endpoint is slow or unresponsive; it is unknown whether the request ran."},
    {507, "cancelled_by_caller", "The caller cancelled the request.", "The caller closed its connection."},
    {508, "hedge_lost", "Another attempt of the same call received a response first.", "Normal for a hedged call."},
    {509, "answer_interrupted", "The response ended early, after its header section had arrived.",
     "The peer or its upstream failed while sending the response."},
    {510, "reported_unknown", "The receiving node reported that the outcome is unknown.",
     "The upstream closed its connection or timed out after it was sent the request."},
    {511, "protocol_violation", "The peer sent events in an order that the protocol does not allow.",
     "The peer is faulty; it is unknown whether the request ran."},
    {520, "deadline_passed", "Too little time was left before the deadline for another attempt.",
     "The caller's deadline is short or the service is overloaded."},
    {521, "budget_exhausted", "The retry budget of the service is exhausted.",
     "Many calls to the service fail at the same time; retries would add to its load."},
    {522, "attempt_limit", "The call, together with its enclosing calls, reached the attempt limit.",
     "Several successive attempts failed on the path of the request."},
    {523, "depth_limit", "The call is nested too deeply to be retried.",
     "Retries of nested calls would multiply with those of the enclosing calls."},
    {524, "body_not_replayable", "The request body is no longer completely buffered and cannot be sent again.",
     "The body is larger than the replay buffer."},
    {525, "not_repeatable", "The request may have run, and the manifest does not declare it repeatable.",
     "Check the state of the service before sending the request again."},
    {526, "head_already_forwarded", "A response header was already forwarded to the caller.",
     "The response was interrupted; the caller receives an incomplete body."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"attempts", rows};
    return instance;
}

std::error_code make_error_code(error code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::attempts
