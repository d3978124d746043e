// Checks a recorded history. Usage: check_history FILE

#include <fmt/format.h>

#include <fstream>
#include <iterator>

#include "check.h"

int main(int argc, char** argv) {
  using namespace cassiakeel::history;
  if (argc != 2) {
    fmt::print(stderr, "usage: {} FILE\n", argv[0]);
    return 2;
  }
  std::ifstream file(argv[1]);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto history = ParseHistory(text);
  if (!file || !history) {
    fmt::print(stderr, "{}: {}\n", argv[1],
               history ? "cannot be read" : history.error().ToString());
    return 2;
  }
  const Violations violations = CheckAll(*history);
  for (const Violation& violation : violations) {
    fmt::print("{}: {}\n{}", violation.invariant, violation.message,
               FormatHistory(violation.excerpt));
  }
  fmt::print("{} events, {} violations\n", history->size(), violations.size());
  return violations.empty() ? 0 : 1;
}
