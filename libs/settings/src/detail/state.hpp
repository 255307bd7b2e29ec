#pragma once

#include <cstdint>       // uint32_t
#include <map>           // map
#include <memory>        // shared_ptr
#include <set>           // set
#include <string>        // string
#include <unordered_set> // unordered_set
#include <vector>        // vector

#include <toml++/toml.h>

#include "poplarport/settings/fault.hpp"

namespace poplarport::settings::detail
{

/// @brief The parsed file, the keys that were declared and the faults found so far.
struct document_state
{
    std::string file;
    toml::table root;
    bool parsed{false};
    std::map<const toml::table*, std::set<std::string, std::less<>>> declared;
    std::unordered_set<const toml::node*> rejected; ///< values with a fault; their content is not searched
    std::vector<fault> faults;
};

/// @brief One table within a document.
struct table_state
{
    std::shared_ptr<document_state> owner;
    const toml::table* node{nullptr}; ///< null for an absent table
    std::string path;                 ///< full key; empty for the root
    std::uint32_t line{0};            ///< line of the table or of the nearest table that is present
};

} // namespace poplarport::settings::detail
