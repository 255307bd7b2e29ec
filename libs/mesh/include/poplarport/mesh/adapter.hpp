#pragma once

#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/node/call_protocol.hpp"
#include "poplarport/routes/configuration.hpp"
#include "poplarport/store/object_store.hpp"

namespace poplarport::mesh
{

/// @brief Call parameters read from a caller's request.
struct caller_request
{
    core::request_id id;
    std::optional<core::duration> time_left{}; ///< time limit of the caller; empty when the request has none
};

/// @brief Upstream status read from the response to a status check.
struct status_report
{
    std::string upstream; ///< id of the upstream that responded; empty when it sends none
    std::optional<node::upstream_load> load{};
    node::upstream_notice notice{};
    /// Time for which the upstream stays cold, zero if it is warm; empty if the response does not state it.
    std::optional<core::duration> cold_remaining{};
    bool is_cold_time_malformed{false}; ///< the response states it in a form that cannot be read
};

/// @brief Connects a mesh node to the platform of its installation; every member must be set.
struct adapter
{
    store::object_store* objects{nullptr};
    std::string configuration_kind; ///< kind of the object that holds the configuration
    std::string configuration_name;
    std::string evacuation_kind; ///< kind of the objects that have the names of evacuated zones
    /// Returns a configuration without the keys of tenants, only with their digests, as nodes pass it on to each other.
    std::function<std::string(std::string text)> remove_keys;
    /// Parses a configuration; returns nothing and sets `fault` when it is malformed.
    std::function<std::optional<routes::configuration>(std::string_view text, std::string& fault)> read_configuration;
    node::call_protocol protocol{};
    /// Reads the call parameters from a request's header fields; returns nothing when the id is
    /// missing or a field is malformed.
    std::function<std::optional<caller_request>(const http::request_header&)> read_request;
    /// Returns the keys in a request, one for each time that the field occurs; they refer into the header.
    std::function<std::vector<std::string_view>(const http::request_header&)> read_keys;
    std::function<status_report(const http::response_header&)> read_status;
};

} // namespace poplarport::mesh
