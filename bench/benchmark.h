#ifndef BENCH_BENCHMARK_H_
#define BENCH_BENCHMARK_H_

#include <string_view>

namespace fulmarrock::bench {

/// Prints one line of the form `figure: NAME VALUE UNIT`.
void ReportFigure(std::string_view name, double value, std::string_view unit);

/// Registers a benchmark under a name. Each file defines static objects of this
/// type for its benchmarks, so that no central list is needed.
class BenchmarkRegistration {
 public:
  using Function = void (*)();
  BenchmarkRegistration(std::string_view name, Function function);
};

}  // namespace fulmarrock::bench

#endif  // BENCH_BENCHMARK_H_
