#include "source/net/stdout_decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace fulmarrock {
namespace {

constexpr int64_t kMillitokensPerLine = 1'000;

}  // namespace

StdoutDecisionLog::StdoutDecisionLog(std::string node,
                                     DecisionLogLimits limits,
                                     int fd)
    : m_node(std::move(node)),
      m_limits(limits),
      m_fd(fd),
      m_millitokens(limits.lines_per_second * kMillitokensPerLine),
      m_refilled_at(m_clock.Now()) {
  const int flags = ::fcntl(m_fd, F_GETFL);
  if (flags >= 0)
    ::fcntl(m_fd, F_SETFL, flags | O_NONBLOCK);
}

void StdoutDecisionLog::Write(const DecisionLine& line) {
  const std::lock_guard lock(m_mutex);
  if (!TakeToken()) {
    ++m_dropped;
    return;
  }
  std::string text = Render(line);
  if (m_buffered.size() + text.size() > m_limits.max_buffered_bytes) {
    ++m_dropped;
  } else {
    m_buffered += text;
    m_reported_dropped = m_dropped;
  }
  Flush();
}

int64_t StdoutDecisionLog::dropped_lines() const {
  const std::lock_guard lock(m_mutex);
  return m_dropped;
}

bool StdoutDecisionLog::TakeToken() {
  const Millis now = m_clock.Now();
  m_millitokens += (now - m_refilled_at).count() * m_limits.lines_per_second;
  m_millitokens =
      std::min(m_millitokens, m_limits.lines_per_second * kMillitokensPerLine);
  m_refilled_at = now;
  if (m_millitokens < kMillitokensPerLine)
    return false;
  m_millitokens -= kMillitokensPerLine;
  return true;
}

std::string StdoutDecisionLog::Render(const DecisionLine& line) {
  nlohmann::ordered_json json;
  json["time_ms"] = m_wall_clock.NowUnixMs();
  json["node"] = m_node;
  json["decision"] = line.decision();
  for (const DecisionLine::Field& field : line.fields()) {
    std::visit(
        [&](const auto& value) { json[std::string(field.name)] = value; },
        field.value);
  }
  if (m_dropped > m_reported_dropped)
    json["dropped_lines"] = m_dropped;
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace) +
         "\n";
}

void StdoutDecisionLog::Flush() {
  while (!m_buffered.empty()) {
    const ssize_t written = ::write(m_fd, m_buffered.data(), m_buffered.size());
    if (written <= 0)
      return;
    m_buffered.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace fulmarrock
