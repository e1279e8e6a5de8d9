// JSON helpers; also holds the one compiled copy of Boost.JSON.
#include "catkinseam/platform/fast_json.h"

#include <boost/json/src.hpp>

namespace catkinseam {

namespace {

namespace json = boost::json;

auto wrongType(std::string_view Name, const char *Wanted) {
  return makeError(ErrorCode::Invalid,
                   "field \"" + std::string(Name) + "\" is not " + Wanted);
}

} // namespace

Result<JsonValue> parseBody(std::string_view Text) {
  boost::system::error_code Fault;
  JsonValue Parsed = json::parse({Text.data(), Text.size()}, Fault);
  if (Fault)
    return makeError(ErrorCode::Invalid,
                     "body is not JSON: " + Fault.message());
  if (!Parsed.is_object())
    return makeError(ErrorCode::Invalid, "body is not a JSON object");
  return Parsed;
}

const JsonValue *memberOf(const JsonValue &Object, std::string_view Name) {
  const json::object *Members = Object.if_object();
  return Members ? Members->if_contains({Name.data(), Name.size()}) : nullptr;
}

Result<std::string> textMember(const JsonValue &Object, std::string_view Name) {
  const JsonValue *Found = memberOf(Object, Name);
  if (!Found || Found->is_null())
    return std::string();
  if (!Found->is_string())
    return wrongType(Name, "a string");
  return std::string(Found->get_string().data(), Found->get_string().size());
}

Result<std::int64_t> countMember(const JsonValue &Object,
                                 std::string_view Name) {
  const JsonValue *Found = memberOf(Object, Name);
  if (!Found || Found->is_null())
    return std::int64_t{0};
  boost::system::error_code Fault;
  const auto Value = Found->to_number<std::int64_t>(Fault);
  if (Fault)
    return wrongType(Name, "a whole number");
  return Value;
}

Result<bool> flagMember(const JsonValue &Object, std::string_view Name) {
  const JsonValue *Found = memberOf(Object, Name);
  if (!Found || Found->is_null())
    return false;
  if (!Found->is_bool())
    return wrongType(Name, "true or false");
  return Found->get_bool();
}

Result<double> numberMember(const JsonValue &Object, std::string_view Name) {
  const JsonValue *Found = memberOf(Object, Name);
  if (!Found || Found->is_null())
    return 0.0;
  boost::system::error_code Fault;
  const auto Value = Found->to_number<double>(Fault);
  if (Fault)
    return wrongType(Name, "a number");
  return Value;
}

void appendQuoted(std::string &Target, std::string_view Text) {
  Target += json::serialize(json::string_view(Text.data(), Text.size()));
}

} // namespace catkinseam
