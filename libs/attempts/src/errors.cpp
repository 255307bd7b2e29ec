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
     "The peer's limit of streams was reached; HTTP/2 guarantees that the request was not processed."},
    {502, "goaway_below_stream", "The peer sent GOAWAY with a last stream below this one.",
     "The peer is shutting down; HTTP/2 guarantees that the request was not processed."},
    {503, "nothing_sent", "The attempt ended before a byte of the request was handed to the connection.",
     "The connection could not be opened, or the attempt was ended while it waited for one."},
    {504, "no_endpoint", "No endpoint was available for the attempt.",
     "All endpoints are excluded, draining or failed; check the members of the service."},
    {505, "connection_lost", "The connection was lost after a part of the request was sent.",
     "The peer's process or host failed; whether the request ran is not known."},
    {506, "timed_out", "No answer arrived in time after a part of the request was sent.",
     "The endpoint is slow or silent; whether the request ran is not known."},
    {507, "cancelled_by_caller", "The caller cancelled the request.", "The caller closed its connection."},
    {508, "hedge_lost", "Another attempt of the same call answered first.", "Normal for a hedged call."},
    {509, "answer_interrupted", "The answer stopped after its head arrived.",
     "The peer or its upstream failed while it sent the answer."},
    {510, "reported_unknown", "The receiving node reported that the outcome is unknown.",
     "The upstream closed its connection or timed out after it was sent the request."},
    {511, "protocol_violation", "The peer sent events in an order that the protocol does not allow.",
     "Fault in the peer; whether the request ran is not known."},
    {520, "deadline_passed", "The deadline left no time for another attempt.",
     "The caller's deadline is short or the service is overloaded."},
    {521, "budget_exhausted", "The retry budget of the service is used up.",
     "Many calls to the service fail at the same time; retries would add to its load."},
    {522, "attempt_limit", "The call, or the calls above it, reached the limit of attempts.",
     "Several attempts failed one after the other on the path of the request."},
    {523, "depth_limit", "The call is too deep in a series of calls to be retried.",
     "Retries at a deep level would multiply with those of the levels above."},
    {524, "body_not_replayable", "The request's body is no longer held completely and cannot be sent again.",
     "The body is larger than the buffer for replays."},
    {525, "not_repeatable", "The request may have run and the manifest does not call it repeatable.",
     "Check the state at the service before the request is sent again."},
    {526, "head_already_forwarded", "The head of an answer was already forwarded to the caller.",
     "The answer was interrupted; the caller sees an incomplete body."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"attempts", rows};
    return instance;
}

std::error_code make_error_code(error value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::attempts
