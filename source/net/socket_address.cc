#include "source/net/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace fulmarrock {
namespace {

tl::unexpected<Error> SystemError(std::string_view action,
                                  std::string_view address) {
  return MakeError(ErrorKind::kIo,
                   std::string(action) + " " + std::string(address) + ": " +
                       std::strerror(errno),
                   "check that the address belongs to this deployment and the "
                   "port is free");
}

tl::unexpected<Error> BadAddress(std::string_view text) {
  return MakeError(ErrorKind::kInvalidArgument,
                   "\"" + std::string(text) + "\" is not an address",
                   "write it as IP:PORT, for example 127.0.0.1:7000");
}

Result<UniqueFd> OpenSocket(const SocketAddress& address,
                            std::string_view text) {
  UniqueFd fd(::socket(address.storage.ss_family,
                       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.is_open())
    return SystemError("cannot open a socket for", text);
  return fd;
}

}  // namespace

Result<SocketAddress> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return BadAddress(text);
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (port_text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return BadAddress(text);

  SocketAddress address;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    address.size = sizeof(sockaddr_in6);
    if (::inet_pton(AF_INET6, std::string(host).c_str(), &v6->sin6_addr) != 1)
      return BadAddress(text);
    return address;
  }
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  v4->sin_family = AF_INET;
  v4->sin_port = htons(port);
  address.size = sizeof(sockaddr_in);
  if (::inet_pton(AF_INET, std::string(host).c_str(), &v4->sin_addr) != 1)
    return BadAddress(text);
  return address;
}

Result<UniqueFd> ListenTcp(std::string_view address) {
  const Result<SocketAddress> parsed = ParseAddress(address);
  if (!parsed)
    return tl::make_unexpected(parsed.error());
  Result<UniqueFd> fd = OpenSocket(*parsed, address);
  if (!fd)
    return fd;
  // Lets a restarted process bind its port while old connections are in
  // TIME_WAIT.
  const int on = 1;
  ::setsockopt(fd->get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (::bind(fd->get(), reinterpret_cast<const sockaddr*>(&parsed->storage),
             parsed->size) != 0 ||
      ::listen(fd->get(), SOMAXCONN) != 0) {
    return SystemError("cannot listen on", address);
  }
  return fd;
}

Result<UniqueFd> ConnectTcp(std::string_view address) {
  const Result<SocketAddress> parsed = ParseAddress(address);
  if (!parsed)
    return tl::make_unexpected(parsed.error());
  Result<UniqueFd> fd = OpenSocket(*parsed, address);
  if (!fd)
    return fd;
  const int on = 1;
  ::setsockopt(fd->get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(fd->get(), reinterpret_cast<const sockaddr*>(&parsed->storage),
                parsed->size) != 0 &&
      errno != EINPROGRESS) {
    return SystemError("cannot connect to", address);
  }
  return fd;
}

std::string LocalAddress(int fd) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0)
    return {};
  char host[INET6_ADDRSTRLEN] = {};
  if (storage.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    ::inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
    return "[" + std::string(host) +
           "]:" + std::to_string(ntohs(v6->sin6_port));
  }
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
  ::inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
  return std::string(host) + ":" + std::to_string(ntohs(v4->sin_port));
}

}  // namespace fulmarrock
