#ifndef SOURCE_NET_SOCKET_ADDRESS_H_
#define SOURCE_NET_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <string>
#include <string_view>

#include "source/base/error.h"
#include "source/net/unique_fd.h"

namespace fulmarrock {

/// An IP address with a port, in the form the socket calls take.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

/// Parses "1.2.3.4:80" or "[::1]:80". Names are not resolved.
Result<SocketAddress> ParseAddress(std::string_view text);

/// Opens a non-blocking listening socket. Port 0 lets the system choose one.
Result<UniqueFd> ListenTcp(std::string_view address);

/// Starts a non-blocking connect; the socket becomes writable once connected.
Result<UniqueFd> ConnectTcp(std::string_view address);

/// Returns the address a socket is bound to, as "ip:port".
std::string LocalAddress(int fd);

}  // namespace fulmarrock

#endif  // SOURCE_NET_SOCKET_ADDRESS_H_
