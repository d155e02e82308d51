#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "bench/benchmark.h"
#include "bench/thread_cpu_time.h"
#include "source/agent/agent_role.h"
#include "source/agent/request_server.h"
#include "source/base/seeded_random.h"
#include "source/base/steady_clock.h"
#include "source/entry/entry_role.h"
#include "source/net/caller_front_end.h"
#include "source/net/http2_transport.h"
#include "source/net/http_client.h"
#include "source/net/http_target_client.h"
#include "source/net/loop_thread.h"
#include "source/standin/standin_target.h"

namespace fulmarrock::bench {
namespace {

constexpr int kBlocks = 20;
constexpr int kRequestsPerBlock = 250;
// Below the concurrency limit of an entry that has no configuration yet.
constexpr int kConcurrency = 24;
constexpr int kThroughputRequests = 20'000;

/// Exits the program if a component of the benchmark could not start.
void Require(const Result<void>& started) {
  if (started)
    return;
  std::fprintf(stderr, "%s\n", started.error().Describe().c_str());
  std::exit(1);
}

double LoopThreadCpuSeconds(LoopThread& thread) {
  double seconds = 0;
  thread.RunAndWait([&] { seconds = ThreadCpuMicros() / 1e6; });
  return seconds;
}

HttpServerOptions MakeServerOptions() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  return options;
}

TransportOptions MakeTransportOptions(const NodeId& self,
                                      std::map<NodeId, std::string> peers) {
  TransportOptions options;
  options.self = self;
  options.listen_address = "127.0.0.1:0";
  options.peers = std::move(peers);
  return options;
}

/// Stand-in target that responds immediately, on its own event loop.
class Target {
 public:
  Target() {
    m_thread.RunAndWait([this] {
      m_server =
          std::make_unique<HttpServer>(m_thread.loop(), MakeServerOptions());
      m_target = std::make_unique<StandinTarget>(m_thread.loop(), *m_server,
                                                 TargetBehaviour{Millis(0)}, 1);
      Require(m_server->Start());
    });
  }
  ~Target() {
    m_thread.RunAndWait([this] { m_server.reset(); });
  }
  const std::string& address() const { return m_server->address(); }

 private:
  LoopThread m_thread;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<StandinTarget> m_target;
};

/// Entry with the HTTP front end for callers, connected as in the daemon.
class Entry {
 public:
  Entry() {
    thread.RunAndWait([this] {
      EventLoop& loop = thread.loop();
      m_transport = std::make_unique<Http2Transport>(
          loop, MakeTransportOptions("entry", {}), m_random,
          [this](const NodeId& from, const Message& message) {
            m_role->OnMessage(from, message);
          });
      Require(m_transport->Start());
      m_server = std::make_unique<HttpServer>(loop, MakeServerOptions());
      m_callers = std::make_unique<CallerFrontEnd>(m_clock, *m_server);
      EntryOptions options;
      options.id = "entry";
      options.incarnation = 1;
      m_role = std::make_unique<EntryRole>(options, m_clock, *m_transport,
                                           m_random, *m_callers);
      m_callers->SetSubmit([this](CallerRequest request) {
        return m_role->Submit(std::move(request));
      });
      loop.AddTicker([this] {
        if (m_role)
          m_role->OnTick();
      });
      Require(m_server->Start());
    });
  }
  ~Entry() {
    thread.RunAndWait([this] {
      m_server.reset();
      m_role.reset();
      m_transport.reset();
    });
  }
  const std::string& http_address() const { return m_server->address(); }
  const std::string& peer_address() const { return m_transport->address(); }

  LoopThread thread;

 private:
  SteadyClock m_clock;
  SeededRandom m_random{1};
  std::unique_ptr<Http2Transport> m_transport;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<CallerFrontEnd> m_callers;
  std::unique_ptr<EntryRole> m_role;
};

/// Agent of the target, connected as in the daemon.
class Agent {
 public:
  Agent(const std::string& target_address, const std::string& entry_address)
      : m_role(m_counters) {
    thread.RunAndWait([&] {
      EventLoop& loop = thread.loop();
      m_transport = std::make_unique<Http2Transport>(
          loop, MakeTransportOptions("agent", {{"entry", entry_address}}),
          m_random, [this](const NodeId& from, const Message& message) {
            m_role.OnMessage(from, message);
          });
      Require(m_transport->Start());
      HttpTargetOptions target;
      target.address = target_address;
      m_target = std::make_unique<HttpTargetClient>(loop, target);
      RequestServerOptions options;
      options.service = "wall";
      options.address = m_transport->address();
      options.incarnation = 1;
      options.entries = {"entry"};
      m_role.AddPart(std::make_unique<RequestServer>(
          options, m_clock, *m_transport, *m_target, m_counters));
      loop.AddTicker([this] {
        if (m_target)
          m_role.OnTick();
      });
    });
  }
  ~Agent() {
    thread.RunAndWait([this] {
      m_target.reset();
      m_transport.reset();
    });
  }

  LoopThread thread;

 private:
  SteadyClock m_clock;
  SeededRandom m_random{2};
  Counters m_counters;
  std::unique_ptr<Http2Transport> m_transport;
  std::unique_ptr<HttpTargetClient> m_target;
  AgentRole m_role;
};

/// Sends a given number of requests with a constant number in flight.
class Caller {
 public:
  explicit Caller(std::string url) : m_url(std::move(url)) {
    m_thread.RunAndWait([this] {
      m_client = std::make_unique<HttpClient>(m_thread.loop(), 64);
    });
  }
  ~Caller() {
    m_thread.RunAndWait([this] { m_client.reset(); });
  }

  /// Returns the number of responses with status 200 and appends the latency of
  /// each request in microseconds.
  int Run(int total, int concurrency, std::vector<double>& latencies) {
    std::unique_lock lock(m_mutex);
    m_unsent_count = total;
    m_unfinished_count = total;
    m_ok_count = 0;
    m_latencies = &latencies;
    m_thread.loop().Post([this, concurrency] {
      for (int i = 0; i < concurrency; ++i)
        SendOne();
    });
    m_finished.wait(lock, [this] { return m_unfinished_count == 0; });
    return m_ok_count;
  }

 private:
  void SendOne() {
    if (m_unsent_count == 0)
      return;
    --m_unsent_count;
    HttpClientRequest request;
    request.method = "POST";
    request.url = m_url;
    request.headers = {{"Fulmarrock-Customer", "north"},
                       {"Fulmarrock-Idempotent", "true"}};
    request.body = "preview";
    const auto start = std::chrono::steady_clock::now();
    m_client->Send(request, [this, start](const HttpClientResponse& response) {
      const auto elapsed = std::chrono::steady_clock::now() - start;
      SendOne();
      const std::lock_guard lock(m_mutex);
      m_ok_count += response.status == 200 ? 1 : 0;
      m_latencies->push_back(
          std::chrono::duration<double, std::micro>(elapsed).count());
      if (--m_unfinished_count == 0)
        m_finished.notify_all();
    });
  }

  const std::string m_url;
  LoopThread m_thread;
  std::unique_ptr<HttpClient> m_client;
  std::mutex m_mutex;
  std::condition_variable m_finished;
  // Decremented only on the loop's thread.
  int m_unsent_count = 0;
  int m_unfinished_count = 0;
  int m_ok_count = 0;
  std::vector<double>* m_latencies = nullptr;
};

double Percentile(std::vector<double> values, double fraction) {
  const auto rank = static_cast<std::ptrdiff_t>(
      fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<size_t>(rank)];
}

/// Measures the latency that entry and agent add to a direct call of the same
/// target, with one request at a time, and the requests per second of CPU time
/// under load.
void RunEntryOverhead() {
  Target target;
  Entry entry;
  Agent agent(target.address(), entry.peer_address());
  Caller direct("http://" + target.address() + "/preview");
  Caller routed("http://" + entry.http_address() + "/v1/requests/wall/preview");
  std::vector<double> warm_up;
  while (routed.Run(1, 1, warm_up) == 0) {
  }
  std::vector<double> direct_us;
  std::vector<double> routed_us;
  int ok_count = 0;
  // Direct and routed blocks alternate, so that other load on the machine
  // affects both equally.
  for (int block = 0; block < kBlocks; ++block) {
    direct.Run(kRequestsPerBlock, 1, direct_us);
    ok_count += routed.Run(kRequestsPerBlock, 1, routed_us);
  }
  const double direct_p50 = Percentile(direct_us, 0.5);
  const double direct_p99 = Percentile(direct_us, 0.99);
  ReportFigure("direct_p50_us", direct_p50, "us");
  ReportFigure("direct_p99_us", direct_p99, "us");
  ReportFigure("entry_overhead_p50_us", Percentile(routed_us, 0.5) - direct_p50,
               "us");
  ReportFigure("entry_overhead_p99_us",
               Percentile(routed_us, 0.99) - direct_p99, "us");
  ReportFigure("entry_overhead_not_answered",
               kBlocks * kRequestsPerBlock - ok_count, "requests");

  const double entry_cpu = LoopThreadCpuSeconds(entry.thread);
  const double agent_cpu = LoopThreadCpuSeconds(agent.thread);
  std::vector<double> load_us;
  const int answered = routed.Run(kThroughputRequests, kConcurrency, load_us);
  const double entry_used = LoopThreadCpuSeconds(entry.thread) - entry_cpu;
  const double agent_used = LoopThreadCpuSeconds(agent.thread) - agent_cpu;
  ReportFigure("entry_requests_per_core_second", answered / entry_used, "1/s");
  ReportFigure("agent_requests_per_core_second", answered / agent_used, "1/s");
  ReportFigure("entry_load_not_answered", kThroughputRequests - answered,
               "requests");
}

const BenchmarkRegistration kEntryOverhead("entry_overhead", &RunEntryOverhead);

}  // namespace
}  // namespace fulmarrock::bench
