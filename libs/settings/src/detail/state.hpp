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

/// @brief A parsed document with the keys declared by reads and the faults found so far.
struct document_state
{
    std::string file;
    toml::table root;
    bool parsed{false};
    /// Keys declared by reads, by table.
    std::map<const toml::table*, std::set<std::string, std::less<>>> declared_keys;
    /// Values with a fault, below which unknown keys are not reported.
    std::unordered_set<const toml::node*> invalid_values;
    std::vector<fault> faults;
};

/// @brief One table within a document.
struct table_state
{
    std::shared_ptr<document_state> document;
    const toml::table* node{nullptr}; ///< null for an absent table
    std::string full_key;             ///< for example `services[0].upstream`; empty for the root
    std::uint32_t line{0};            ///< line of the table or, if it is absent, of the nearest enclosing table
};

} // namespace poplarport::settings::detail
