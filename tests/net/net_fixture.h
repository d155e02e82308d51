#ifndef TESTS_NET_NET_FIXTURE_H_
#define TESTS_NET_NET_FIXTURE_H_

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "source/net/http_client.h"
#include "source/net/loop_thread.h"

namespace fulmarrock::test {

/// Timeout of every wait; only a failing test reaches it.
inline constexpr std::chrono::seconds kWaitTimeout{60};

/// Passes values from event loops to the thread of a test.
template <typename T>
class Mailbox {
 public:
  void Put(T value) {
    const std::lock_guard lock(m_mutex);
    m_values.push_back(std::move(value));
    m_changed.notify_all();
  }

  /// Returns the next value, or nothing after the timeout.
  std::optional<T> Take() {
    std::unique_lock lock(m_mutex);
    if (!m_changed.wait_for(lock, kWaitTimeout,
                            [this] { return !m_values.empty(); })) {
      return std::nullopt;
    }
    T value = std::move(m_values.front());
    m_values.pop_front();
    return value;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<T> m_values;
};

/// Checks a condition on every tick of a loop until it holds.
inline bool WaitFor(LoopThread& thread, std::function<bool()> condition) {
  auto reached = std::make_shared<Mailbox<bool>>();
  thread.RunAndWait([&] {
    thread.loop().AddTicker([condition, reached, is_done = false]() mutable {
      if (is_done || !condition())
        return;
      is_done = true;
      reached->Put(true);
    });
  });
  return reached->Take().value_or(false);
}

/// Runs one HTTP exchange on a loop of its own.
inline HttpClientResponse Fetch(HttpClientRequest request) {
  LoopThread thread;
  Mailbox<HttpClientResponse> received;
  std::optional<HttpClient> client;
  request.timeout = Millis::FromSeconds(60);
  thread.RunAndWait([&] {
    client.emplace(thread.loop(), 4);
    client->Send(std::move(request), [&](HttpClientResponse response) {
      received.Put(std::move(response));
    });
  });
  HttpClientResponse response = received.Take().value_or(HttpClientResponse{});
  thread.RunAndWait([&] { client.reset(); });
  return response;
}

}  // namespace fulmarrock::test

#endif  // TESTS_NET_NET_FIXTURE_H_
