// Verifies that the history checker accepts a valid history and rejects
// histories with one violation each.
#define BOOST_TEST_MODULE history_checker
#include "tests/history_checker.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace catkinseam::testing;

namespace {

std::vector<std::string> violationsIn(const std::string &History) {
  HistoryChecker Checker;
  std::istringstream Stream(History);
  Checker.read(Stream);
  return Checker.violations();
}

void checkSingleViolation(const std::string &History,
                          const std::string &Violation) {
  const std::vector<std::string> Expected = {Violation};
  BOOST_TEST(violationsIn(History) == Expected,
             boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_CASE(AcceptsValidHistory) {
  BOOST_TEST(violationsIn("10 request_start w1 a\n20 request_end w1 a\n"
                          "30 told a once answered\n31 told b once not_run\n"
                          "40 task_start w1 j/0 1 -\n"
                          "50 task_end w1 j/0 1 stopped 7 50\n"
                          "60 task_start w2 j/0 2 7\n"
                          "70 task_end w2 j/0 2 finished 20 70\n")
                 .empty());
}

BOOST_AUTO_TEST_CASE(RejectsInvalidRequestHistories) {
  checkSingleViolation("1 told a once wrong\n",
                       "request a received a response that does not match it");
  checkSingleViolation("1 told a once no_answer\n", "request a was cut off");
  checkSingleViolation("1 request_start w1 a\n2 told a idempotent not_run\n",
                       "request a was reported as not_run but ran");
  checkSingleViolation("1 told a idempotent answered\n",
                       "request a was answered but never ran");
  checkSingleViolation("1 request_start w1 a\n2 request_start w2 a\n"
                       "3 told a once unknown\n",
                       "request a ran 2 times");
  checkSingleViolation(
      "1 request_start w1 a\n2 request_start w2 a\n3 told a once none\n",
      "request a ran 2 times");
  checkSingleViolation("1 leaving w1\n2000002 request_start w1 a\n",
                       "leaving worker w1 received request a");
}

BOOST_AUTO_TEST_CASE(RejectsInvalidTaskHistories) {
  checkSingleViolation("1 task_start w1 j/0 1 -\n2 task_start w2 j/0 2 -\n",
                       "task j/0 attempt 2 started while another attempt ran");
  checkSingleViolation(
      "1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 stopped 5 9\n"
      "3 task_start w2 j/0 2 5\n",
      "task j/0 attempt 2 started while another attempt ran");
  checkSingleViolation(
      "1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 finished 5 2\n"
      "3 task_start w2 j/0 2 -\n",
      "task j/0 attempt 2 started after the task had finished");
  checkSingleViolation(
      "1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 stopped 5 2\n"
      "3 task_start w2 j/0 1 -\n",
      "task j/0 attempt 1 was started twice");
  checkSingleViolation(
      "1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 stopped 5 2\n"
      "3 task_start w2 j/0 2 6\n",
      "task j/0 attempt 2 resumes from an unknown checkpoint");
  checkSingleViolation("1 task_overcommit w1 j/0\n",
                       "worker capacity exceeded: w1 with j/0");
}

BOOST_AUTO_TEST_CASE(RejectsMalformedLines) {
  checkSingleViolation("1 told a\n", "malformed line: 1 told a");
}
