#include "source/tool/request_load.h"

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <random>
#include <utility>

namespace fulmarrock::tool {
namespace {

using MonotonicClock = std::chrono::steady_clock;

constexpr std::string_view kOutcomeHeader = "fulmarrock-outcome:";
/// Longest wait for network events. The loop wakes earlier if the next request
/// is due sooner.
constexpr int kMaxPollMs = 10;

/// One request in flight.
struct Transfer {
  CURL* curl = nullptr;
  MonotonicClock::time_point due;
  std::string outcome;
};

size_t DiscardBody(char*, size_t size, size_t count, void*) {
  return size * count;
}

size_t ReadHeader(char* bytes, size_t size, size_t count, void* user) {
  std::string line(bytes, size * count);
  std::transform(line.begin(), line.end(), line.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  if (line.rfind(kOutcomeHeader, 0) == 0) {
    const size_t begin = line.find_first_not_of(' ', kOutcomeHeader.size());
    const size_t end = line.find_last_not_of("\r\n ");
    if (begin != std::string::npos && end >= begin)
      static_cast<Transfer*>(user)->outcome =
          line.substr(begin, end - begin + 1);
  }
  return size * count;
}

}  // namespace

struct RequestLoad::Data {
  LoadOptions options;
  CURLM* multi = curl_multi_init();
  curl_slist* headers = nullptr;
  std::mt19937_64 random;
  std::vector<CURL*> idle;
  uint64_t in_flight = 0;
  LoadReport report;

  void Start(MonotonicClock::time_point due);
  void CollectFinished();
  void Finish(CURL* curl, CURLcode code);
};

RequestLoad::RequestLoad(LoadOptions options)
    : m_data(std::make_unique<Data>()) {
  m_data->options = std::move(options);
  m_data->random.seed(m_data->options.seed);
  for (const std::string& header : m_data->options.headers)
    m_data->headers = curl_slist_append(m_data->headers, header.c_str());
}

RequestLoad::~RequestLoad() {
  for (CURL* curl : m_data->idle)
    curl_easy_cleanup(curl);
  curl_multi_cleanup(m_data->multi);
  curl_slist_free_all(m_data->headers);
}

LoadReport RequestLoad::Run() {
  const auto begin = MonotonicClock::now();
  const auto end =
      begin + std::chrono::milliseconds(m_data->options.duration.count());
  std::exponential_distribution<double> interarrival_time(
      m_data->options.requests_per_second);
  const auto next_interarrival_time = [&] {
    return std::chrono::duration_cast<MonotonicClock::duration>(
        std::chrono::duration<double>(interarrival_time(m_data->random)));
  };
  auto due = begin + next_interarrival_time();
  while (due < end || m_data->in_flight > 0) {
    const auto now = MonotonicClock::now();
    for (; due < end && due <= now; due += next_interarrival_time())
      m_data->Start(due);
    int running = 0;
    curl_multi_perform(m_data->multi, &running);
    m_data->CollectFinished();
    int wait_ms = kMaxPollMs;
    if (due < end) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          due - MonotonicClock::now());
      wait_ms = std::clamp(static_cast<int>(left.count()), 0, kMaxPollMs);
    }
    curl_multi_poll(m_data->multi, nullptr, 0, wait_ms, nullptr);
  }
  return m_data->report;
}

void RequestLoad::Data::Start(MonotonicClock::time_point due) {
  CURL* curl = idle.empty() ? curl_easy_init() : idle.back();
  if (!idle.empty())
    idle.pop_back();
  auto transfer = std::make_unique<Transfer>();
  transfer->curl = curl;
  transfer->due = due;
  curl_easy_reset(curl);
  curl_easy_setopt(curl, CURLOPT_URL, options.url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(options.timeout.count()));
  curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(options.body.size()));
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, options.body.data());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &DiscardBody);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &ReadHeader);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer.get());
  curl_easy_setopt(curl, CURLOPT_PRIVATE, transfer.release());
  curl_multi_add_handle(multi, curl);
  ++in_flight;
  ++report.sent;
}

void RequestLoad::Data::CollectFinished() {
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg == CURLMSG_DONE)
      Finish(message->easy_handle, message->data.result);
  }
}

void RequestLoad::Data::Finish(CURL* curl, CURLcode code) {
  char* user = nullptr;
  curl_easy_getinfo(curl, CURLINFO_PRIVATE, &user);
  const std::unique_ptr<Transfer> transfer(reinterpret_cast<Transfer*>(user));
  curl_multi_remove_handle(multi, curl);
  idle.push_back(curl);
  --in_flight;
  if (code != CURLE_OK) {
    ++report.outcomes["no answer"];
    return;
  }
  ++report
        .outcomes[transfer->outcome.empty() ? "no outcome" : transfer->outcome];
  const std::chrono::duration<double, std::milli> latency =
      MonotonicClock::now() - transfer->due;
  report.latency.Add(latency.count());
}

}  // namespace fulmarrock::tool
