#include "poplarport/net/event_loop.hpp"

#include <algorithm> // min
#include <array>     // array
#include <utility>   // exchange, move
#include <vector>    // vector

#include <libwebsockets.h>
#include <sys/resource.h>

#include "poplarport/net/detail/descriptor_watch.hpp"
#include "poplarport/net/detail/protocols.hpp"
#include "poplarport/net/detail/stream_events.hpp"
#include "poplarport/net/detail/timer_queue.hpp"
#include "poplarport/net/errors.hpp"

namespace poplarport::net
{

namespace
{

int handle_descriptor_event(lws* connection, lws_callback_reasons reason, void* user, void* /*in*/, size_t /*length*/)
{
    auto* const watch = static_cast<detail::descriptor_watch*>(user);
    switch (reason)
    {
    case LWS_CALLBACK_RAW_RX_FILE:
        if (watch == nullptr)
        {
            return -1;
        }
        watch->notify();
        return 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        if (watch != nullptr)
        {
            watch->detach();
            lws_set_wsi_user(connection, nullptr);
        }
        return 0;
    default:
        return 0;
    }
}

const std::array<lws_protocols, 3> raw_protocols{{
    {detail::stream_protocol, detail::handle_stream_event, 0, 0, 0, nullptr, 0},
    {detail::descriptor_protocol, handle_descriptor_event, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

// libwebsockets looks up descriptors by index only if its table covers the descriptor limit of the process.
void limit_descriptors(std::size_t count)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0)
    {
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, count);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

struct event_loop::state
{
    lws_context* context{nullptr};
    lws_vhost* vhost{nullptr};
    bool running{false};
    core::duration stall{0};
    detail::timer_queue timers{};
    std::unique_ptr<detail::descriptor_watch> timer_watch{};
    bool in_service{false};
    std::vector<std::function<void()>> posted_tasks{};
    lws_sorted_usec_list_t post_wakeup{};
};

namespace
{

// Delays up to this are ordinary scheduling jitter.
constexpr std::chrono::milliseconds stall_threshold{20};

} // namespace

event_loop::event_loop() : event_loop(options{})
{
}

event_loop::event_loop(const options& limits) : data(std::make_unique<state>())
{
    limit_descriptors(limits.max_descriptors);
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.pt_serv_buf_size = static_cast<unsigned int>(limits.receive_buffer_bytes);
    this->data->context = lws_create_context(&info);
    if (this->data->context == nullptr)
    {
        throw std::system_error(errc::loop_setup_failed);
    }
    info.vhost_name = "raw";
    info.protocols = raw_protocols.data();
    this->data->vhost = lws_create_vhost(this->data->context, &info);
    if (this->data->vhost == nullptr)
    {
        lws_context_destroy(this->data->context);
        throw std::system_error(errc::loop_setup_failed);
    }
    const auto run_timers = [this]
    {
        const auto max_delay = this->data->timers.run_due(this->now());
        this->data->stall = max_delay > stall_threshold ? max_delay : core::duration{0};
    };
    this->data->timer_watch =
        std::make_unique<detail::descriptor_watch>(*this, this->data->timers.descriptor(), run_timers);
}

event_loop::~event_loop()
{
    this->data->timer_watch.reset();
    this->data->posted_tasks.clear();
    lws_context_destroy(this->data->context);
}

void event_loop::run()
{
    this->data->running = true;
    while (this->data->running)
    {
        this->run_once();
    }
}

void event_loop::run_once()
{
    // A negative timeout makes libwebsockets return without waiting.
    constexpr int no_wait_ms = -1;
    const auto tasks = std::exchange(this->data->posted_tasks, {});
    for (const auto& task : tasks)
    {
        task();
    }
    this->data->in_service = true;
    lws_service(this->data->context, tasks.empty() ? 0 : no_wait_ms);
    this->data->in_service = false;
}

void event_loop::stop() noexcept
{
    this->data->running = false;
    // stop() may be called by a function that runs before libwebsockets waits; without the cancellation the loop would
    // return only after the next event.
    lws_cancel_service(this->data->context);
}

void event_loop::post(std::function<void()> task)
{
    this->data->posted_tasks.push_back(std::move(task));
    if (this->data->in_service && this->data->posted_tasks.size() == 1)
    {
        // libwebsockets also runs callbacks before it waits. Functions that they post must not be delayed by that wait.
        constexpr lws_usec_t min_delay_us = 1;
        lws_sul_schedule(
            this->data->context, 0, &this->data->post_wakeup, [](lws_sorted_usec_list_t*) {}, min_delay_us);
    }
}

core::time_point event_loop::now() const noexcept
{
    return core::clock::now();
}

core::duration event_loop::stall() const noexcept
{
    return this->data->stall;
}

lws_context* event_loop::context() const noexcept
{
    return this->data->context;
}

lws_vhost* event_loop::raw_vhost() const noexcept
{
    return this->data->vhost;
}

detail::timer_queue& event_loop::timers() noexcept
{
    return this->data->timers;
}

} // namespace poplarport::net
