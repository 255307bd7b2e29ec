#include "poplarport/store/errors.hpp"

#include <array> // array

namespace poplarport::store
{

namespace
{

constexpr std::array<result::code_entry, 9> rows{{
    {1500, "refused", "The object store refused the call and did not execute it.",
     "The store is busy, or all nodes together exceed its rate."},
    {1501, "unavailable", "The object store could not be reached; the call was not executed.",
     "The store is down, or the network between the node and the store is interrupted."},
    {1502, "outcome_unknown", "The object store sent no usable response; a write may have been applied.",
     "The response was lost or late; the node reads the object back."},
    {1503, "conflict", "The object has another revision than the writer expected, or exists already.",
     "Another node changed the object; the node reads it and decides again."},
    {1504, "not_found", "There is no such object.", "It was never created, or another node removed it."},
    {1505, "history_lost", "The store no longer keeps the changes since the given revision.",
     "The watch was interrupted for longer than the store's history; the node lists the objects again."},
    {1506, "malformed", "The object store's response cannot be parsed.",
     "The response was truncated or is too large, or another program responds at the store's address."},
    {1507, "timed_out", "The object store sent no response in time; a write may have been applied.",
     "The connection became silent, or the store does not respond to this node."},
    {1508, "restored", "The object store came back from an older copy; the position or the response is from before.",
     "A drill or a repair of the store; the node reads the objects again and writes its own."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"store", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::store
