#include "source/net/signal_watcher.h"

#include <sys/epoll.h>
#include <sys/signalfd.h>

#include <csignal>
#include <utility>

namespace fulmarrock {

SignalWatcher::SignalWatcher(EventLoop& loop,
                             std::function<void()> on_stop_signal,
                             std::function<void()> on_reload_signal)
    : m_loop(loop) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  m_fd.Reset(::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  m_loop.Watch(m_fd.get(), EPOLLIN,
               [this, on_stop_signal = std::move(on_stop_signal),
                on_reload_signal = std::move(on_reload_signal)](uint32_t) {
                 signalfd_siginfo info;
                 while (::read(m_fd.get(), &info, sizeof(info)) ==
                        static_cast<ssize_t>(sizeof(info))) {
                   if (info.ssi_signo == SIGHUP)
                     on_reload_signal();
                   else
                     on_stop_signal();
                 }
               });
}

SignalWatcher::~SignalWatcher() {
  m_loop.Unwatch(m_fd.get());
}

}  // namespace fulmarrock
