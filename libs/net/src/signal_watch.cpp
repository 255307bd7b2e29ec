#include "poplarport/net/signal_watch.hpp"

#include <csignal>      // sigset_t
#include <system_error> // system_error, generic_category
#include <utility>      // move

#include <sys/signalfd.h>
#include <unistd.h>

#include "poplarport/net/detail/descriptor_watch.hpp"

namespace poplarport::net
{

signal_watch::signal_watch(event_loop& loop, std::initializer_list<int> signals, std::function<void(int)> on_signal)
{
    sigset_t set{};
    sigemptyset(&set);
    for (const int number : signals)
    {
        sigaddset(&set, number);
    }
    ::sigprocmask(SIG_BLOCK, &set, nullptr);
    const int descriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0)
    {
        throw std::system_error(errno, std::generic_category(), "signalfd");
    }
    const auto deliver = [descriptor, hook = std::move(on_signal)]
    {
        signalfd_siginfo received{};
        while (::read(descriptor, &received, sizeof received) == static_cast<ssize_t>(sizeof received))
        {
            hook(static_cast<int>(received.ssi_signo));
        }
    };
    this->watch = std::make_unique<detail::descriptor_watch>(loop, descriptor, deliver);
}

signal_watch::~signal_watch() = default;

} // namespace poplarport::net
