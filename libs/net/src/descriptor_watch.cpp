#include "poplarport/net/detail/descriptor_watch.hpp"

#include <system_error> // system_error
#include <utility>      // exchange, move

#include <libwebsockets.h>
#include <unistd.h>

#include "poplarport/net/detail/protocols.hpp"
#include "poplarport/net/errors.hpp"

namespace poplarport::net::detail
{

descriptor_watch::descriptor_watch(event_loop& loop, int descriptor, std::function<void()> on_readable)
    : watched_descriptor(descriptor), hook(std::move(on_readable)), connection(nullptr)
{
    lws_sock_file_fd_type handle{};
    handle.filefd = descriptor;
    this->connection =
        lws_adopt_descriptor_vhost(loop.raw_vhost(), LWS_ADOPT_RAW_FILE_DESC, handle, descriptor_protocol, nullptr);
    if (this->connection == nullptr)
    {
        ::close(descriptor);
        throw std::system_error(errc::loop_setup_failed);
    }
    lws_set_wsi_user(this->connection, this);
}

descriptor_watch::~descriptor_watch()
{
    if (this->connection != nullptr)
    {
        lws_set_wsi_user(this->connection, nullptr);
        lws_set_timeout(this->connection, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
    }
}

int descriptor_watch::descriptor() const noexcept
{
    return this->watched_descriptor;
}

void descriptor_watch::notify() const
{
    // The hook may destroy the watch, so a copy is called.
    const auto hook_copy = this->hook;
    hook_copy();
}

void descriptor_watch::detach() noexcept
{
    this->connection = nullptr;
}

} // namespace poplarport::net::detail
