#ifndef SOURCE_NET_CONNECTION_TABLE_H_
#define SOURCE_NET_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "source/base/millis.h"

namespace fulmarrock {

/// Number of a connection of a server; never reused.
using ConnectionNumber = uint64_t;

/// The open connections of a server, and since when each of them has waited for
/// a complete request. Finds the one to close when there are too many.
class ConnectionTable {
 public:
  ConnectionNumber Add(int fd, Millis now);
  void Remove(ConnectionNumber number);

  /// A complete request has arrived, and its response is not sent yet.
  void SetBusy(ConnectionNumber number);
  /// The response was sent.
  void SetWaiting(ConnectionNumber number, Millis now);

  /// Returns the descriptor of the connection that has waited longest for a
  /// complete request, which the caller closes. Nothing if all are busy.
  std::optional<int> TakeLongestWaiting();

  /// Whether a connection was returned by TakeLongestWaiting().
  bool IsClosing(ConnectionNumber number) const;

  size_t size() const { return m_connections.size(); }

 private:
  struct Connection {
    int fd = -1;
    Millis waiting_since;
    bool is_closing = false;
  };

  ConnectionNumber m_last_number = 0;
  std::map<ConnectionNumber, Connection> m_connections;
  std::set<std::pair<Millis, ConnectionNumber>> m_waiting;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_CONNECTION_TABLE_H_
