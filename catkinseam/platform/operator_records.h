// Parses the records that operators and workers write to the platform's log.
//
//   Outcome<OperatorConfig> Config =
//       attempt([&] { return parseOperatorConfig(*Record.m_value); });
#ifndef CATKINSEAM_PLATFORM_OPERATOR_RECORDS_H
#define CATKINSEAM_PLATFORM_OPERATOR_RECORDS_H

#include "catkinseam/base/error.h"
#include "catkinseam/front/routing.h"
#include "catkinseam/scheduler/model.h"

#include <optional>
#include <string>

namespace catkinseam {

/// Key of the configuration record in the operator topic.
extern const char *const OperatorConfigKey;

/// Returns the data centre if the key is that of a request to evacuate one.
std::optional<std::string> parseEvacuationKey(const std::string &Key);

/// Parses an operator configuration. Returns Invalid, naming the invalid field,
/// on failure.
Result<OperatorConfig> parseOperatorConfig(const std::string &Text);

/// Parses a worker's registration. Returns Invalid, naming the invalid field,
/// on failure; the registration must then be ignored.
Result<WorkerRegistration> parseWorkerRegistration(const std::string &Id,
                                                   const std::string &Text);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_OPERATOR_RECORDS_H
