// Topic and outcome names, as log events show them.
#include "catkinseam/ledger/keyed_log.h"

namespace catkinseam {

const char *logTopicName(LogTopic Topic) {
  switch (Topic) {
  case LogTopic::Jobs:
    return "jobs";
  case LogTopic::Progress:
    return "progress";
  case LogTopic::Operator:
    return "operator";
  case LogTopic::Workers:
    return "workers";
  case LogTopic::Status:
    return "status";
  case LogTopic::Learned:
    return "learned";
  }
  return "unknown";
}

std::size_t appendBytes(const KeyedRecord &Record) {
  // One byte holds the length of the key.
  return 1 + Record.m_key.size() +
         (Record.m_value ? Record.m_value->size() : 0);
}

const char *logOutcomeName(LogOutcome Outcome) {
  switch (Outcome) {
  case LogOutcome::Done:
    return "done";
  case LogOutcome::Refused:
    return "refused";
  case LogOutcome::Fenced:
    return "fenced";
  case LogOutcome::OutOfOrder:
    return "out_of_order";
  case LogOutcome::Invalid:
    return "invalid";
  case LogOutcome::Unknown:
    return "unknown";
  case LogOutcome::HistoryDeleted:
    return "history_gone";
  }
  return "unknown";
}

} // namespace catkinseam
