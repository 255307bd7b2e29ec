#pragma once

#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/node/call_protocol.hpp"
#include "poplarport/routes/configuration.hpp"
#include "poplarport/store/object_store.hpp"

namespace poplarport::mesh
{

/// @brief What a caller's request tells about itself.
struct caller_request
{
    core::request_id id;
    std::optional<core::duration> time_left{}; ///< how long the caller waits; nothing when it does not tell
};

/// @brief An upstream's answer to a status check.
struct status_report
{
    std::string upstream; ///< id of the upstream that answered; empty when it does not tell
    std::optional<node::upstream_load> load{};
};

/// @brief What a mesh node needs to know of its installation; all members are set.
struct adapter
{
    store::object_store* objects{nullptr};
    std::string configuration_kind; ///< kind of the configuration's object
    std::string configuration_name;
    /// Reads a configuration; nothing, with a reason, when it is malformed.
    std::function<std::optional<routes::configuration>(std::string_view text, std::string& fault)> read_configuration;
    node::call_protocol protocol{};
    /// Reads the fields of a request; nothing when they are malformed.
    std::function<std::optional<caller_request>(const http::request_head&)> read_request;
    std::function<status_report(const http::response_head&)> read_status;
};

} // namespace poplarport::mesh
