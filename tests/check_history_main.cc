// Checks event history files.
//
//   catkinseam-check-history FILE...
//   catkinseam-check-history --now
//
// Exits with 0 if there is no violation, 1 if there is one, and 2 if a file
// cannot be read. --now prints the current time in the unit and clock of
// history lines, for events that a test adds itself.
#include "catkinseam/base/clock.h"
#include "tests/history_checker.h"

#include <fstream>
#include <iostream>

int main(int ArgCount, char **Args) {
  if (ArgCount == 2 && std::string(Args[1]) == "--now") {
    const auto Now = catkinseam::SystemClock().now().time_since_epoch();
    std::cout
        << std::chrono::duration_cast<std::chrono::microseconds>(Now).count()
        << "\n";
    return 0;
  }
  catkinseam::testing::HistoryChecker Checker;
  for (int Index = 1; Index < ArgCount; ++Index) {
    std::ifstream Stream(Args[Index]);
    if (!Stream) {
      std::cerr << "cannot read \"" << Args[Index] << "\"\n";
      return 2;
    }
    Checker.read(Stream);
  }
  constexpr std::size_t MaxPrinted = 10;
  const std::vector<std::string> Violations = Checker.violations();
  for (std::size_t Index = 0; Index < Violations.size() && Index < MaxPrinted;
       ++Index)
    std::cout << "VIOLATION " << Violations[Index] << "\n";
  std::cout << "history: " << Checker.requests() << " requests, "
            << Checker.taskStarts() << " task starts, " << Violations.size()
            << " violations\n";
  return Violations.empty() ? 0 : 1;
}
