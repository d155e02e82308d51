#ifndef SOURCE_NET_LOOP_THREAD_H_
#define SOURCE_NET_LOOP_THREAD_H_

#include <thread>

#include "source/net/event_loop.h"

namespace fulmarrock {

/// An event loop on a thread of its own, for as long as the object lives.
class LoopThread {
 public:
  LoopThread() : m_thread([this] { m_loop.Run(); }) {}
  ~LoopThread();

  EventLoop& loop() { return m_loop; }

  /// Runs a function on the loop's thread and waits until it returns. Must not
  /// be called from that thread.
  void RunAndWait(const EventLoop::Function& function);

 private:
  EventLoop m_loop;
  std::thread m_thread;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_LOOP_THREAD_H_
