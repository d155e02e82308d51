#ifndef SOURCE_NET_DIAGNOSTICS_FRONT_END_H_
#define SOURCE_NET_DIAGNOSTICS_FRONT_END_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "source/base/counters.h"
#include "source/net/http_server.h"

namespace fulmarrock {

/// Serves GET /dump, GET /metrics and GET /healthz of a process.
class DiagnosticsFrontEnd {
 public:
  explicit DiagnosticsFrontEnd(HttpServer& server);

  /// Adds a part of the state dump; `dump` returns JSON.
  void AddState(std::string name, std::function<std::string()> dump);

  /// Adds counters, which appear as fulmarrock_NAME with the given part label.
  void AddCounters(std::string part, const Counters& counters);

  /// Adds text in the exposition format.
  void AddMetrics(std::function<void(std::string& text)> append);

  /// Makes GET /healthz answer 503, so that load balancers look elsewhere.
  void SetStopping() { m_is_stopping = true; }

 private:
  std::string Dump() const;
  std::string Metrics() const;

  std::vector<std::pair<std::string, std::function<std::string()>>> m_states;
  std::vector<std::pair<std::string, const Counters*>> m_counters;
  std::vector<std::function<void(std::string&)>> m_metrics;
  bool m_is_stopping = false;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_DIAGNOSTICS_FRONT_END_H_
