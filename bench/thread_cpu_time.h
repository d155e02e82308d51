#ifndef BENCH_THREAD_CPU_TIME_H_
#define BENCH_THREAD_CPU_TIME_H_

#include <ctime>

namespace fulmarrock::bench {

/// Returns the CPU time that the calling thread has used, in microseconds.
inline double ThreadCpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace fulmarrock::bench

#endif  // BENCH_THREAD_CPU_TIME_H_
