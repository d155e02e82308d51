#include "source/net/loop_thread.h"

#include <future>

namespace fulmarrock {

LoopThread::~LoopThread() {
  m_loop.Stop();
  m_thread.join();
}

void LoopThread::RunAndWait(const EventLoop::Function& function) {
  std::promise<void> done;
  m_loop.Post([&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace fulmarrock
