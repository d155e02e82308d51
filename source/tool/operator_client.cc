#include "source/tool/operator_client.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <random>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "source/base/steady_clock.h"

namespace fulmarrock::tool {
namespace {

using nlohmann::json;

constexpr long kMisdirected = 421;
constexpr long kServiceUnavailable = 503;
/// Pause after all known members were tried and none served the request.
constexpr std::chrono::milliseconds kRetryPause{200};
constexpr Millis kRequestTimeout{5'000};

ErrorKind KindFromName(std::string_view name) {
  static constexpr std::array kKinds = {ErrorKind::kInvalidArgument,
                                        ErrorKind::kNotFound,
                                        ErrorKind::kConflict,
                                        ErrorKind::kNotLeader,
                                        ErrorKind::kUnavailable,
                                        ErrorKind::kResourceExhausted,
                                        ErrorKind::kPermissionDenied,
                                        ErrorKind::kTimeout,
                                        ErrorKind::kCorruption,
                                        ErrorKind::kFailedPrecondition,
                                        ErrorKind::kIo};
  for (const ErrorKind kind : kKinds) {
    if (ToString(kind) == name)
      return kind;
  }
  return ErrorKind::kUnavailable;
}

std::string TextField(const json& object, const char* name) {
  if (!object.is_object())
    return "";
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

Error ErrorFromReply(long status, const json& reply) {
  Error error{ErrorKind::kUnavailable,
              "the daemon answered with HTTP status " + std::to_string(status),
              "check that the address is a control member"};
  if (!reply.is_object() || !reply.contains("error"))
    return error;
  const json& details = reply["error"];
  error.kind = KindFromName(TextField(details, "kind"));
  error.message = TextField(details, "message");
  error.remedy = TextField(details, "remedy");
  return error;
}

}  // namespace

OperatorClient::OperatorClient(std::vector<std::string> addresses,
                               Millis timeout)
    : m_addresses(std::move(addresses)),
      m_timeout(timeout),
      m_session(std::min(timeout, kRequestTimeout)) {}

Result<json> OperatorClient::Call(std::string_view method,
                                  const std::string& path,
                                  const json& body,
                                  bool any_member) {
  const SteadyClock clock;
  const Millis deadline = clock.Now() + m_timeout;
  const std::string text = body.is_null() ? "" : body.dump();
  Error last{ErrorKind::kUnavailable, "no control member is known",
             "name one with --address"};
  for (size_t tries = 1; !m_addresses.empty(); ++tries) {
    const std::string url = "http://" + m_addresses[m_current] + path;
    const Result<HttpReply> reply = m_session.Send(method, url, text);
    if (!reply) {
      last = reply.error();
      SelectNext(json());
    } else {
      json value = json::parse(reply->body, nullptr, false);
      if (reply->status >= 200 && reply->status < 300) {
        if (value.is_object())
          return value;
        return MakeError(ErrorKind::kCorruption,
                         url + " did not answer with a JSON object",
                         "check that the address is a control member");
      }
      last = ErrorFromReply(reply->status, value);
      const bool is_transient =
          reply->status == kMisdirected || reply->status == kServiceUnavailable;
      if (!is_transient || any_member)
        return tl::make_unexpected(last);
      SelectNext(value);
    }
    if (clock.Now() >= deadline)
      break;
    if (tries % m_addresses.size() == 0)
      std::this_thread::sleep_for(kRetryPause);
  }
  return tl::make_unexpected(last);
}

Result<json> OperatorClient::Get(const std::string& path) {
  return Call("GET", path, json());
}

Result<json> OperatorClient::Post(const std::string& path, const json& body) {
  return Call("POST", path, body);
}

Result<std::string> OperatorClient::GetText(const std::string& address,
                                            const std::string& path) {
  const Result<HttpReply> reply =
      m_session.Send("GET", "http://" + address + path, "");
  if (!reply)
    return tl::make_unexpected(reply.error());
  if (reply->status != 200) {
    return MakeError(
        ErrorKind::kUnavailable,
        address + " answered with HTTP status " + std::to_string(reply->status),
        "check that the address is a fulmarrock daemon");
  }
  return reply->body;
}

std::string OperatorClient::NewOperationId() {
  std::random_device device;
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%08x-%08x-%08x-%08x", device(),
                device(), device(), device());
  return text.data();
}

void OperatorClient::SelectNext(const json& reply) {
  std::string leader;
  if (reply.is_object() && reply.contains("error"))
    leader = TextField(reply["error"], "leader_address");
  const auto it = std::find(m_addresses.begin(), m_addresses.end(), leader);
  if (it != m_addresses.end()) {
    m_current = static_cast<size_t>(it - m_addresses.begin());
    return;
  }
  if (!leader.empty()) {
    m_addresses.push_back(leader);
    m_current = m_addresses.size() - 1;
    return;
  }
  m_current = (m_current + 1) % m_addresses.size();
}

}  // namespace fulmarrock::tool
