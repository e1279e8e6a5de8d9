// Reads what operators and workers write into the platform's store.
//
//   Outcome<OperatorConfig> Read =
//       attempt([&] { return readOperatorConfig(Record.m_value); });
#ifndef CATKINSEAM_PLATFORM_OPERATOR_RECORDS_H
#define CATKINSEAM_PLATFORM_OPERATOR_RECORDS_H

#include "catkinseam/base/error.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/scheduler/model.h"

#include <string>

namespace catkinseam {

/// The key of the configuration in the operator's topic.
extern const char *const OperatorConfigKey;

/// Error Invalid names the field at fault.
Result<OperatorConfig> readOperatorConfig(const std::string &Text);

/// Error Invalid names the field at fault; such an entry names no worker.
Result<WorkerReport> readWorkerEntry(const std::string &Id,
                                     const std::string &Text);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_OPERATOR_RECORDS_H
