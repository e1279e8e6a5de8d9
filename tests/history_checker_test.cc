// The checker rejects histories that are broken by hand.
#define BOOST_TEST_MODULE history_checker
#include "tests/history_checker.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace catkinseam::testing;

namespace {

std::vector<std::string> faultsOf(const std::string &History) {
  HistoryChecker Checker;
  std::istringstream Stream(History);
  Checker.read(Stream);
  return Checker.faults();
}

void checkOnly(const std::string &History, const std::string &Fault) {
  const std::vector<std::string> Expected = {Fault};
  BOOST_TEST(faultsOf(History) == Expected, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_CASE(AcceptsAGoodHistory) {
  BOOST_TEST(faultsOf("10 request_start w1 a\n20 request_end w1 a\n"
                      "30 told a once answered\n31 told b once not_run\n"
                      "40 task_start w1 j/0 1 -\n"
                      "50 task_end w1 j/0 1 stopped 7 50\n"
                      "60 task_start w2 j/0 2 7\n"
                      "70 task_end w2 j/0 2 finished 20 70\n")
                 .empty());
}

BOOST_AUTO_TEST_CASE(RejectsBrokenRequestHistories) {
  checkOnly("1 told a once wrong\n",
            "request a got an answer that is not its own");
  checkOnly("1 told a once no_answer\n", "request a was cut off");
  checkOnly("1 request_start w1 a\n2 told a idempotent not_run\n",
            "request a was told not_run and ran");
  checkOnly("1 told a idempotent answered\n",
            "request a was answered and never ran");
  checkOnly("1 request_start w1 a\n2 request_start w2 a\n"
            "3 told a once unknown\n",
            "request a ran 2 times");
  checkOnly("1 request_start w1 a\n2 request_start w2 a\n3 told a once none\n",
            "request a ran 2 times");
  checkOnly("1 leaving w1\n2000002 request_start w1 a\n",
            "leaving worker w1 got request a");
}

BOOST_AUTO_TEST_CASE(RejectsBrokenTaskHistories) {
  checkOnly("1 task_start w1 j/0 1 -\n2 task_start w2 j/0 2 -\n",
            "task j/0 attempt 2 started while another attempt ran");
  checkOnly("1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 stopped 5 9\n"
            "3 task_start w2 j/0 2 5\n",
            "task j/0 attempt 2 started while another attempt ran");
  checkOnly("1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 finished 5 2\n"
            "3 task_start w2 j/0 2 -\n",
            "task j/0 attempt 2 started after the task had finished");
  checkOnly("1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 stopped 5 2\n"
            "3 task_start w2 j/0 1 -\n",
            "task j/0 attempt 1 was started twice");
  checkOnly("1 task_start w1 j/0 1 -\n2 task_end w1 j/0 1 stopped 5 2\n"
            "3 task_start w2 j/0 2 6\n",
            "task j/0 attempt 2 resumes from an unknown checkpoint");
  checkOnly("1 task_overcommit w1 j/0\n",
            "worker was given more than it has: w1 with j/0");
}

BOOST_AUTO_TEST_CASE(RejectsUnreadableLines) {
  checkOnly("1 told a\n", "unreadable line: 1 told a");
}
