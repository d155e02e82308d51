#include "source/net/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <system_error>

#include "source/message/role.h"

namespace fulmarrock {
namespace {

constexpr int64_t kNanosPerMilli = 1'000'000;

int64_t NowNanos() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

uint64_t PackToken(int fd, uint32_t generation) {
  return (uint64_t{generation} << 32) | static_cast<uint32_t>(fd);
}

}  // namespace

EventLoop::EventLoop()
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC)),
      m_wakeup(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      m_ticks(NowNanos(), kTickInterval.count() * kNanosPerMilli) {
  if (!m_epoll.is_open() || !m_wakeup.is_open())
    throw std::system_error(errno, std::generic_category(), "event loop");
  Watch(m_wakeup.get(), EPOLLIN, [this](uint32_t) {
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t size =
        ::read(m_wakeup.get(), &count, sizeof(count));
  });
}

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  m_is_stopping = false;
  m_thread = std::this_thread::get_id();
  while (!m_is_stopping) {
    Wait(PollTimeout());
    RunTick();
    RunDueTimers();
    RunPosted();
  }
  RunPosted();
}

bool EventLoop::IsOnLoopThread() const {
  const std::thread::id thread = m_thread;
  return thread == std::thread::id() || thread == std::this_thread::get_id();
}

void EventLoop::Stop() {
  Post([this] { m_is_stopping = true; });
}

void EventLoop::Post(Function function) {
  bool was_empty = false;
  {
    const std::lock_guard lock(m_posted_mutex);
    was_empty = m_posted.empty();
    m_posted.push_back(std::move(function));
  }
  if (!was_empty)
    return;
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t size =
      ::write(m_wakeup.get(), &one, sizeof(one));
}

void EventLoop::Watch(int fd, uint32_t epoll_events, FdFunction function) {
  const bool is_new = !m_watchers.contains(fd);
  const uint32_t generation = m_next_generation++;
  m_watchers[fd] =
      std::make_shared<Watcher>(Watcher{generation, std::move(function)});
  epoll_event event{};
  event.events = epoll_events;
  event.data.u64 = PackToken(fd, generation);
  if (::epoll_ctl(m_epoll.get(), is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd,
                  &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
}

void EventLoop::Unwatch(int fd) {
  if (m_watchers.erase(fd) != 0)
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
}

EventLoop::TimerId EventLoop::AddTimer(Millis delay, Function function) {
  const TimerId id = m_next_timer++;
  const int64_t due = NowNanos() + delay.count() * kNanosPerMilli;
  m_timers.emplace(std::make_pair(due, id), std::move(function));
  m_timer_due.emplace(id, due);
  return id;
}

void EventLoop::CancelTimer(TimerId id) {
  const auto it = m_timer_due.find(id);
  if (it == m_timer_due.end())
    return;
  m_timers.erase({it->second, id});
  m_timer_due.erase(it);
}

void EventLoop::AddTicker(Function function) {
  m_tickers.push_back(std::move(function));
}

void EventLoop::RunPosted() {
  std::vector<Function> posted;
  {
    const std::lock_guard lock(m_posted_mutex);
    posted.swap(m_posted);
  }
  for (const Function& function : posted)
    function();
}

void EventLoop::RunDueTimers() {
  const int64_t now = NowNanos();
  while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
    const auto node = m_timers.extract(m_timers.begin());
    m_timer_due.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::RunTick() {
  const uint64_t missed_before = m_ticks.missed();
  if (!m_ticks.TakeDue(NowNanos()))
    return;
  m_counters.Add("loop_ticks");
  m_counters.Add("loop_ticks_late",
                 static_cast<int64_t>(m_ticks.missed() - missed_before));
  for (const Function& ticker : m_tickers)
    ticker();
}

int EventLoop::PollTimeout() const {
  int64_t due = m_ticks.next_due();
  if (!m_timers.empty())
    due = std::min(due, m_timers.begin()->first.first);
  const int64_t nanos = std::max<int64_t>(due - NowNanos(), 0);
  // Rounded up, so that the loop does not spin in the last millisecond.
  return static_cast<int>((nanos + kNanosPerMilli - 1) / kNanosPerMilli);
}

void EventLoop::Wait(int timeout_ms) {
  std::array<epoll_event, 128> events;
  const int count = ::epoll_wait(m_epoll.get(), events.data(),
                                 static_cast<int>(events.size()), timeout_ms);
  for (int i = 0; i < count; ++i) {
    const int fd = static_cast<int>(events[i].data.u64 & 0xFFFFFFFFu);
    const auto generation = static_cast<uint32_t>(events[i].data.u64 >> 32);
    const auto it = m_watchers.find(fd);
    // An earlier function of this round may have removed or replaced the watch.
    if (it == m_watchers.end() || it->second->generation != generation)
      continue;
    const std::shared_ptr<Watcher> watcher = it->second;
    watcher->function(events[i].events);
  }
}

}  // namespace fulmarrock
