#pragma once

#include <string> // string

#include "poplarport/mesh/mesh_node.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::mesh
{

/// @brief Applies the settings file again when it is asked to, and when the file's content has changed.
///
/// Faulty settings are logged and change nothing.
class settings_reload
{
  public:
    /// @param[in] loop loop of the node
    /// @param[in] file path of the settings file
    /// @param[in] target the node; must outlive this object
    settings_reload(net::event_loop& loop, std::string file, mesh_node& target);

    /// @brief Reads the file and applies it.
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
