#pragma once

#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include "poplarport/configuration/document.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/node/peer_listener.hpp"
#include "poplarport/peer/link.hpp"

namespace poplarport::node::detail
{

/// @brief A document that another node sent.
struct pulled_document
{
    core::version version{0};
    std::string content{};
};

/// @brief Result of a pull.
struct pull_result
{
    bool answered{false};                      ///< the other node answered
    std::optional<pulled_document> document{}; ///< nothing when it has nothing newer
};

/// @brief Result of a request of this node to another one that is no call.
struct document_reply
{
    int status{0}; ///< zero without an answer
    std::string body{};
};

/// @brief Requests a document below `/.poplar/` from another node.
/// @param[in] link        link to the node
/// @param[in] cluster_key key to show
/// @param[in] target      path and query
/// @param[in] hook        called once; never inside this function
void request_document(peer::link& link, const std::string& cluster_key, const std::string& target,
                      std::function<void(const document_reply&)> hook);

/// @brief Pulls a configuration document from another node.
void pull_document(peer::link& link, const std::string& cluster_key, const std::string& target,
                   std::function<void(const pull_result&)> hook);

/// @brief Answers another node's pull.
/// @param[in] held  document that is held, or nullptr
/// @param[in] above version that the other node holds
[[nodiscard]] peer_document make_document_answer(const configuration::document* held, core::version above);

/// @brief Returns the number in a parameter of a query, or zero.
[[nodiscard]] std::uint64_t query_number(std::string_view target, std::string_view name);

} // namespace poplarport::node::detail
