#ifndef SOURCE_NET_EVENT_LOOP_H_
#define SOURCE_NET_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "source/base/clock.h"
#include "source/base/counters.h"
#include "source/base/steady_clock.h"
#include "source/net/tick_schedule.h"
#include "source/net/unique_fd.h"

namespace fulmarrock {

/// Runs functions on one thread: when a descriptor is ready, when a timer is
/// due, on every tick, and when another thread posts one. Only Post() and
/// Stop() may be called from other threads while the loop runs.
class EventLoop {
 public:
  using Function = std::function<void()>;
  using FdFunction = std::function<void(uint32_t epoll_events)>;
  using TimerId = uint64_t;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop(). Functions posted before Stop() still run.
  void Run();

  /// Makes Run() return after the current round.
  void Stop();

  /// Runs a function on the loop's thread, in the order of posting.
  void Post(Function function);

  /// Whether the caller is on the thread that ran the loop last, or the loop
  /// never ran.
  bool IsOnLoopThread() const;

  /// Calls `function` whenever one of the EPOLL* events is ready. Replaces an
  /// earlier watch of the same descriptor.
  void Watch(int fd, uint32_t epoll_events, FdFunction function);
  void Unwatch(int fd);

  /// Calls `function` once after a delay.
  TimerId AddTimer(Millis delay, Function function);
  void CancelTimer(TimerId id);

  /// Calls `function` every kTickInterval for as long as the loop exists. Must
  /// not be called from a ticker.
  void AddTicker(Function function);

  const Clock& clock() const { return m_clock; }

  /// Counters "loop_ticks" and "loop_ticks_late" of this loop.
  Counters& counters() { return m_counters; }

 private:
  struct Watcher {
    uint32_t generation;
    FdFunction function;
  };

  void RunPosted();
  void RunDueTimers();
  void RunTick();
  int PollTimeout() const;
  void Wait(int timeout_ms);

  SteadyClock m_clock;
  Counters m_counters;
  UniqueFd m_epoll;
  UniqueFd m_wakeup;
  std::atomic<bool> m_is_stopping{false};
  std::atomic<std::thread::id> m_thread;

  std::mutex m_posted_mutex;
  std::vector<Function> m_posted;

  std::unordered_map<int, std::shared_ptr<Watcher>> m_watchers;
  uint32_t m_next_generation = 1;
  std::map<std::pair<int64_t, TimerId>, Function> m_timers;
  std::unordered_map<TimerId, int64_t> m_timer_due;
  TimerId m_next_timer = 1;
  std::vector<Function> m_tickers;
  TickSchedule m_ticks;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_EVENT_LOOP_H_
