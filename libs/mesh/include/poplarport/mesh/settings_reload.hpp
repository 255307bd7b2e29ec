#pragma once

#include <string> // string

#include "poplarport/mesh/mesh_node.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::mesh
{

/// @brief Reloads the settings file on request and whenever its content changes.
///
/// Invalid settings are logged and leave the active settings unchanged.
class settings_reload
{
  public:
    /// @param[in] loop   event loop of the node
    /// @param[in] file   path of the settings file
    /// @param[in] target node that receives the settings; must outlive this object
    settings_reload(net::event_loop& loop, std::string file, mesh_node& target);

    /// @brief Reads the file and applies its settings to the node.
    void reload();

  private:
    [[nodiscard]] std::string read() const;
    void poll();

    std::string path;
    mesh_node* node;
    std::string content;
    net::timer timer;
};

} // namespace poplarport::mesh
