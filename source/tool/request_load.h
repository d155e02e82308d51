#ifndef SOURCE_TOOL_REQUEST_LOAD_H_
#define SOURCE_TOOL_REQUEST_LOAD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "source/base/latency_histogram.h"
#include "source/base/millis.h"

namespace fulmarrock::tool {

/// Load to generate.
struct LoadOptions {
  std::string url;
  /// Headers as "Name: value".
  std::vector<std::string> headers;
  std::string body;
  double requests_per_second = 100;
  Millis duration{10'000};
  Millis timeout{10'000};
  uint64_t seed = 1;
};

/// Result of a load.
struct LoadReport {
  uint64_t sent = 0;
  /// Number of requests by the Fulmarrock-Outcome header of their reply, "no
  /// outcome" without that header, or "no answer" without a reply.
  std::map<std::string, uint64_t> outcomes;
  /// Latency of requests with a reply, from the time each was due.
  LatencyHistogram latency;
};

/// Open-loop load generator: sends requests at random times with a fixed mean
/// rate, however fast the replies come. Latency counts from the time a request
/// was due, so that delays behind a stalled server are not hidden.
class RequestLoad {
 public:
  explicit RequestLoad(LoadOptions options);
  ~RequestLoad();
  RequestLoad(const RequestLoad&) = delete;
  RequestLoad& operator=(const RequestLoad&) = delete;

  /// Runs the whole load and waits for the last reply or its timeout.
  LoadReport Run();

 private:
  struct Data;
  std::unique_ptr<Data> m_data;
};

}  // namespace fulmarrock::tool

#endif  // SOURCE_TOOL_REQUEST_LOAD_H_
