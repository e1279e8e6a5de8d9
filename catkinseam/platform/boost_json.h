// Helpers for parsing the platform's JSON messages with Boost.JSON.
//
//   Outcome<JsonValue> Body = attempt([&] { return parseJsonBody(Text); });
//   Result<std::string> Name = stringMember(Body.value(), "name");
#ifndef CATKINSEAM_PLATFORM_BOOST_JSON_H
#define CATKINSEAM_PLATFORM_BOOST_JSON_H

#include "catkinseam/base/error.h"

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace catkinseam {

using JsonValue = boost::json::value;

/// Parses a JSON object. Returns Invalid when `Text` is not a JSON object.
Result<JsonValue> parseJsonBody(std::string_view Text);

/// Returns the member, or null when it is absent.
const JsonValue *findMember(const JsonValue &Object, std::string_view Name);

/// Return an optional member, or the empty value of its type when it is absent
/// or null. Return Invalid, naming the member, when it has another type.
Result<std::string> stringMember(const JsonValue &Object,
                                 std::string_view Name);
Result<std::int64_t> integerMember(const JsonValue &Object,
                                   std::string_view Name);
Result<bool> boolMember(const JsonValue &Object, std::string_view Name);
Result<double> doubleMember(const JsonValue &Object, std::string_view Name);

/// Appends `Text` as a quoted and escaped JSON string.
void appendQuoted(std::string &Target, std::string_view Text);

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_BOOST_JSON_H
