// Reads the platform's JSON bodies, on Boost.JSON.
//
//   Outcome<JsonValue> Body = parseBody(Text);
//   std::string Name = textOf(Body.value(), "name");
#ifndef CATKINSEAM_PLATFORM_FAST_JSON_H
#define CATKINSEAM_PLATFORM_FAST_JSON_H

#include "catkinseam/base/error.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace catkinseam {

using JsonValue = boost::json::value;

/// Reads a JSON object. Error Invalid when `Text` is none.
Result<JsonValue> parseBody(std::string_view Text);

/// A member, or null when absent.
const JsonValue *memberOf(const JsonValue &Object, std::string_view Name);

/// A member that may be absent, and then is its type's empty value. Error
/// Invalid names a member of another type.
Result<std::string> textMember(const JsonValue &Object, std::string_view Name);
Result<std::int64_t> countMember(const JsonValue &Object,
                                 std::string_view Name);
Result<bool> flagMember(const JsonValue &Object, std::string_view Name);
Result<double> numberMember(const JsonValue &Object, std::string_view Name);

/// Appends `Text` in quotes, escaped.
void appendQuoted(std::string &Target, std::string_view Text);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_FAST_JSON_H
