#ifndef BENCH_BENCHMARK_H_
#define BENCH_BENCHMARK_H_

#include <string_view>

namespace fulmarrock::bench {

/// Prints one line of the form `figure: NAME VALUE UNIT`.
void ReportFigure(std::string_view name, double value, std::string_view unit);

/// Adds a benchmark to the program. A file registers its benchmarks with static
/// objects of this type, so that no list of them is kept elsewhere.
class BenchmarkRegistration {
 public:
  using Function = void (*)();
  BenchmarkRegistration(std::string_view name, Function function);
};

}  // namespace fulmarrock::bench

#endif  // BENCH_BENCHMARK_H_
