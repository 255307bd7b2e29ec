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

/// @brief A configuration document received from another node.
struct pulled_document
{
    core::version version{0};
    std::string content{};
};

/// @brief Result of a configuration pull.
struct pull_result
{
    bool responded{false};                     ///< whether the other node responded
    std::optional<pulled_document> document{}; ///< empty when the other node has no newer document
    bool is_too_large{false};                  ///< the response was refused for its size
};

/// @brief Response of another node to a document request, which is not a call.
struct document_reply
{
    int status{0}; ///< HTTP status, zero without a response
    std::string content_type{};
    std::string body{};
    bool is_too_large{false}; ///< the response was larger than any document; nothing of it is returned
};

/// @brief Requests a document below `/.poplar/` from another node.
/// @param[in] link        link to the node
/// @param[in] cluster_key key that authenticates this node
/// @param[in] target      path and query
/// @param[in] hook        called once, never before this function has returned
void request_document(peer::link& link, const std::string& cluster_key, const std::string& target,
                      std::function<void(const document_reply&)> hook);

/// @brief Pulls a configuration document from another node.
/// @param[in] link        link to the node
/// @param[in] cluster_key key that authenticates this node
/// @param[in] target      path and query, which states the version that this node holds
/// @param[in] hook        called once, never before this function has returned
void pull_document(peer::link& link, const std::string& cluster_key, const std::string& target,
                   std::function<void(const pull_result&)> hook);

/// @return whether the node that sent a pull accepts a compressed document; earlier versions of the program do not
[[nodiscard]] bool accepts_compression(std::string_view target);

/// @brief Creates a response that contains a document.
/// @param[in] document   the document
/// @param[in] compressed whether it is compressed
[[nodiscard]] peer_document encode_document(const configuration::document& document, bool compressed);

/// @brief Creates the response to another node's pull.
/// @param[in] current active document of this node, or nullptr
/// @param[in] target  path and query of the pull
[[nodiscard]] peer_document make_document_response(const configuration::document* current, std::string_view target);

/// @brief Reads the response to a pull.
[[nodiscard]] pull_result read_document_response(const document_reply& reply);

/// @return the numeric value of a query parameter, or zero
[[nodiscard]] std::uint64_t query_number(std::string_view target, std::string_view name);

} // namespace poplarport::node::detail
