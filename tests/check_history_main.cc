// Checks history files: catkinseam-check-history FILE...
// With --now, prints the time that history lines carry, for marks of a test.
#include "catkinseam/base/clock.h"
#include "tests/history_checker.h"

#include <fstream>
#include <iostream>

int main(int Count, char **Words) {
  if (Count == 2 && std::string(Words[1]) == "--now") {
    const auto Now = catkinseam::SystemClock().now().time_since_epoch();
    std::cout
        << std::chrono::duration_cast<std::chrono::microseconds>(Now).count()
        << "\n";
    return 0;
  }
  catkinseam::testing::HistoryChecker Checker;
  for (int Index = 1; Index < Count; ++Index) {
    std::ifstream Stream(Words[Index]);
    if (!Stream) {
      std::cerr << "cannot read \"" << Words[Index] << "\"\n";
      return 2;
    }
    Checker.read(Stream);
  }
  constexpr std::size_t MostShown = 10;
  const std::vector<std::string> Faults = Checker.faults();
  for (std::size_t Index = 0; Index < Faults.size() && Index < MostShown;
       ++Index)
    std::cout << "FAULT " << Faults[Index] << "\n";
  std::cout << "history: " << Checker.requests() << " requests, "
            << Checker.taskStarts() << " task starts, " << Faults.size()
            << " faults\n";
  return Faults.empty() ? 0 : 1;
}
