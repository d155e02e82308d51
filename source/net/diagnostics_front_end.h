#ifndef SOURCE_NET_DIAGNOSTICS_FRONT_END_H_
#define SOURCE_NET_DIAGNOSTICS_FRONT_END_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "source/base/counters.h"
#include "source/net/event_loop.h"
#include "source/net/http_server.h"

namespace fulmarrock {

/// Serves GET /dump, GET /metrics and GET /healthz of a process. Parts that
/// belong to other loops are read on those loops, so that a slow one delays
/// only the response and not this loop.
class DiagnosticsFrontEnd {
 public:
  using TextFunction = std::function<std::string()>;
  using CountersFunction = std::function<const Counters*()>;
  using ReadyFunction = std::function<bool()>;

  /// `loop` is the loop of the server.
  DiagnosticsFrontEnd(EventLoop& loop, HttpServer& server);

  /// Adds a part of the state dump; `dump` runs on `loop` and returns JSON.
  void AddState(std::string name, EventLoop& loop, TextFunction dump);

  /// Adds metrics; `text` runs on `loop` and returns the exposition format.
  void AddMetrics(EventLoop& loop, TextFunction text);

  /// Adds counters, which appear as fulmarrock_NAME with the part as a label.
  void AddCounters(std::string part, EventLoop& loop, const Counters& counters);

  /// The same for counters that do not always exist; `counters` runs on `loop`
  /// and may return null.
  void AddCounters(std::string part,
                   EventLoop& loop,
                   CountersFunction counters);

  /// Makes GET /healthz respond 503 while `is_ready` returns false. It runs on
  /// the loop of the server.
  void AddReadiness(ReadyFunction is_ready);

  /// Makes GET /healthz respond 503, so that load balancers stop sending
  /// requests to this process.
  void SetStopping() { m_is_stopping = true; }

 private:
  struct Part {
    std::string name;
    EventLoop* loop;
    TextFunction text;
  };
  struct PendingCollection {
    std::vector<std::string> texts;
    size_t pending_count;
  };
  using Finish = std::function<void(const std::vector<std::string>& texts)>;

  /// Reads the texts of all parts on their loops, then calls `finish` on the
  /// server's loop.
  void CollectTexts(const std::vector<Part>& parts, Finish finish);

  bool IsReady() const;

  EventLoop& m_loop;
  std::vector<ReadyFunction> m_readiness;
  std::vector<Part> m_states;
  std::vector<Part> m_metrics;
  bool m_is_stopping = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_DIAGNOSTICS_FRONT_END_H_
