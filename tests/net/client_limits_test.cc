#include "source/net/client_limits.h"

#include <catch2/catch.hpp>

#include "source/net/connection_table.h"

namespace fulmarrock::test {
namespace {

constexpr size_t kMib = size_t{1} << 20;

// Guards against defaults that let clients use up the memory or the descriptors
// of a small instance.
TEST_CASE("limits are derived from those of the process") {
  const ClientLimits limits =
      MakeClientLimits(ClientLimitSettings(), {160 * kMib, 4'096});
  CHECK(limits.request_memory + limits.message_memory < 160 * kMib / 3);
  const unsigned connections =
      limits.caller_connections + limits.http_connections +
      3 * limits.service_connections + limits.peer_connections;
  CHECK(connections < 4'096 * 95 / 100);
  CHECK(limits.caller_connections == 1'024);
  CHECK(limits.peer_connections == 1'536);
}

// Guards against limits of a very small or unlimited process that are zero or
// overflow.
TEST_CASE("derived limits stay within bounds") {
  const ClientLimits small = MakeClientLimits(ClientLimitSettings(), {1, 1});
  CHECK(small.request_memory == 8 * kMib);
  CHECK(small.service_connections == 8);
  const ClientLimits large =
      MakeClientLimits(ClientLimitSettings(), {SIZE_MAX, SIZE_MAX});
  CHECK(large.request_memory == 1'024 * kMib);
  CHECK(large.peer_connections == 65'536);
}

// Guards against limits that are derived from the host of a process which may
// use only a part of it.
TEST_CASE("settings tell what the process may use") {
  ClientLimitSettings settings;
  settings.process_memory_mib = 160;
  settings.process_descriptors = 4'096;
  const ClientLimits limits =
      MakeClientLimits(settings, {SIZE_MAX, size_t{1} << 20});
  CHECK(limits.request_memory < 32 * kMib);
  CHECK(limits.caller_connections == 1'024);
}

TEST_CASE("settings replace derived limits") {
  ClientLimitSettings settings;
  settings.request_memory_mib = 3;
  settings.caller_connections = 5;
  const ClientLimits limits = MakeClientLimits(settings, {160 * kMib, 4'096});
  CHECK(limits.request_memory == 3 * kMib);
  CHECK(limits.caller_connections == 5);
}

// Guards against idle connections that keep ordinary callers out: the one that
// waited longest gives way, and one with a request in progress never does.
TEST_CASE("the connection that has waited longest is found") {
  ConnectionTable table;
  const ConnectionNumber first = table.Add(11, Millis(0));
  const ConnectionNumber second = table.Add(12, Millis(10));
  table.Add(13, Millis(20));
  table.SetBusy(first);
  CHECK(table.TakeLongestWaiting() == 12);
  table.SetWaiting(first, Millis(30));
  CHECK(table.TakeLongestWaiting() == 13);
  CHECK(table.TakeLongestWaiting() == 11);
  CHECK_FALSE(table.TakeLongestWaiting());
  table.Remove(second);
  CHECK(table.size() == 2);
}

}  // namespace
}  // namespace fulmarrock::test
