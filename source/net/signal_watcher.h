#ifndef SOURCE_NET_SIGNAL_WATCHER_H_
#define SOURCE_NET_SIGNAL_WATCHER_H_

#include <functional>

#include "source/net/event_loop.h"
#include "source/net/unique_fd.h"

namespace fulmarrock {

/// Calls `on_stop_signal` for SIGTERM and SIGINT, and `on_reload_signal` for
/// SIGHUP, on the loop's thread. Must be created before other threads, so that
/// these inherit the blocked signals. Also ignores SIGPIPE.
class SignalWatcher {
 public:
  SignalWatcher(EventLoop& loop,
                std::function<void()> on_stop_signal,
                std::function<void()> on_reload_signal);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  EventLoop& m_loop;
  UniqueFd m_fd;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_SIGNAL_WATCHER_H_
