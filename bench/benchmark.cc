#include "bench/benchmark.h"

#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <string>

namespace fulmarrock::bench {
namespace {

using Registry =
    std::map<std::string, BenchmarkRegistration::Function, std::less<>>;

Registry& GetRegistry() {
  static Registry registry;
  return registry;
}

}  // namespace

void ReportFigure(std::string_view name, double value, std::string_view unit) {
  std::printf("figure: %.*s %.4g %.*s\n", static_cast<int>(name.size()),
              name.data(), value, static_cast<int>(unit.size()), unit.data());
  std::fflush(stdout);
}

BenchmarkRegistration::BenchmarkRegistration(std::string_view name,
                                             Function function) {
  GetRegistry().emplace(name, function);
}

}  // namespace fulmarrock::bench

/// Runs the benchmarks whose names contain the first argument, or all of them.
int main(int argc, char** argv) {
  const char* filter = argc > 1 ? argv[1] : "";
  for (const auto& [name, function] : fulmarrock::bench::GetRegistry()) {
    if (std::strstr(name.c_str(), filter) != nullptr)
      function();
  }
  return 0;
}
