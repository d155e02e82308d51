#ifndef SOURCE_NET_UNIQUE_FD_H_
#define SOURCE_NET_UNIQUE_FD_H_

#include <unistd.h>

#include <utility>

namespace fulmarrock {

/// Owner of a file descriptor.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : m_fd(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    Reset(std::exchange(other.m_fd, -1));
    return *this;
  }
  ~UniqueFd() { Reset(); }

  int get() const { return m_fd; }
  bool is_open() const { return m_fd >= 0; }

  /// Closes the current descriptor and takes ownership of another one.
  void Reset(int fd = -1) {
    if (m_fd >= 0)
      ::close(m_fd);
    m_fd = fd;
  }

 private:
  int m_fd = -1;
};

}  // namespace fulmarrock

#endif  // SOURCE_NET_UNIQUE_FD_H_
