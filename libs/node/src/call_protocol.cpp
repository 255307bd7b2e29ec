#include "poplarport/node/call_protocol.hpp"

#include <utility> // move

#include "poplarport/node/detail/forwarding.hpp"

namespace poplarport::node
{

namespace
{

answer_verdict judge(const http::response_head& answer)
{
    constexpr int service_unavailable = 503;
    const auto* const not_run = answer.fields.find("Poplar-Not-Run");
    const bool is_shed = answer.status == service_unavailable && not_run != nullptr && *not_run == "true";
    return {is_shed ? answer_kind::not_run : answer_kind::own, std::nullopt};
}

own_answer make_own_answer(const call_description& description, const own_answer_reason& reason)
{
    own_answer answer;
    answer.head.status = reason.status;
    answer.head.fields.add("Content-Type", "application/json");
    detail::add_outcome(answer.head, reason.outcome, reason.code, description.id);
    answer.body = detail::make_error_body(reason.outcome, reason.code, description.id);
    return answer;
}

} // namespace

call_protocol own_protocol()
{
    return {.make_request = [](const http::request_head& received, const call_description&, const std::string& caller)
            { return detail::make_upstream_request(received, caller); },
            .address_request = [](http::request_head& head, const received_call& call, const std::string&,
                                  core::duration left) { detail::add_upstream_fields(head, call, left); },
            .judge_answer = [](const http::response_head& answer, const http::request_head&) { return judge(answer); },
            .prepare_answer = detail::prepare_answer,
            .make_answer = make_own_answer};
}

} // namespace poplarport::node
