#include "poplarport/mesh/settings_reload.hpp"

#include <chrono>   // seconds
#include <fstream>  // ifstream
#include <iterator> // istreambuf_iterator
#include <utility>  // move

#include "poplarport/mesh/settings.hpp"
#include "poplarport/observability/log_record.hpp"
#include "poplarport/settings/document.hpp"

namespace poplarport::mesh
{

namespace
{

// A change of the settings takes effect as quickly as a change of the configuration.
constexpr std::chrono::seconds poll_interval{2};

} // namespace

settings_reload::settings_reload(net::event_loop& loop, std::string file, mesh_node& target)
    : path(std::move(file)), node(&target), content(this->read()), timer(loop, [this] { this->poll(); })
{
    this->timer.schedule(poll_interval);
}

void settings_reload::reload()
{
    this->content = this->read();
    auto document = settings::document::from_text(this->content, this->path);
    const auto new_settings = read_settings(document);
    const auto faults = document.finish();
    if (!faults.empty())
    {
        observability::log_record{"settings_rejected"}
            .with("reason", settings::to_string(faults.front()))
            .write(observability::log_level::error);
        return;
    }
    const bool needs_restart = !this->node->apply(new_settings);
    observability::log_record{"settings_reloaded"}
        .with("needs_restart", needs_restart ? "true" : "false")
        .write(observability::log_level::info);
}

std::string settings_reload::read() const
{
    std::ifstream stream{this->path};
    return {std::istreambuf_iterator<char>{stream}, {}};
}

void settings_reload::poll()
{
    this->timer.schedule(poll_interval);
    if (const auto current_content = this->read(); !current_content.empty() && current_content != this->content)
    {
        this->reload();
    }
}

} // namespace poplarport::mesh
