// JSON helpers. Also compiles Boost.JSON, which is used header-only; its source
// may be included in one translation unit only.
#include "catkinseam/platform/boost_json.h"

#include <boost/json/src.hpp>

namespace catkinseam {

namespace {

namespace json = boost::json;

auto wrongType(std::string_view Name, const char *Expected) {
  return makeError(ErrorCode::Invalid,
                   "field \"" + std::string(Name) + "\" is not " + Expected);
}

} // namespace

Result<JsonValue> parseJsonBody(std::string_view Text) {
  boost::system::error_code Ec;
  JsonValue Parsed = json::parse({Text.data(), Text.size()}, Ec);
  if (Ec)
    return makeError(ErrorCode::Invalid, "body is not JSON: " + Ec.message());
  if (!Parsed.is_object())
    return makeError(ErrorCode::Invalid, "body is not a JSON object");
  return Parsed;
}

const JsonValue *findMember(const JsonValue &Object, std::string_view Name) {
  const json::object *Members = Object.if_object();
  return Members ? Members->if_contains({Name.data(), Name.size()}) : nullptr;
}

Result<std::string> stringMember(const JsonValue &Object,
                                 std::string_view Name) {
  const JsonValue *Member = findMember(Object, Name);
  if (!Member || Member->is_null())
    return std::string();
  if (!Member->is_string())
    return wrongType(Name, "a string");
  return std::string(Member->get_string().data(), Member->get_string().size());
}

Result<std::int64_t> integerMember(const JsonValue &Object,
                                   std::string_view Name) {
  const JsonValue *Member = findMember(Object, Name);
  if (!Member || Member->is_null())
    return std::int64_t{0};
  boost::system::error_code Ec;
  const auto Value = Member->to_number<std::int64_t>(Ec);
  if (Ec)
    return wrongType(Name, "a whole number");
  return Value;
}

Result<bool> boolMember(const JsonValue &Object, std::string_view Name) {
  const JsonValue *Member = findMember(Object, Name);
  if (!Member || Member->is_null())
    return false;
  if (!Member->is_bool())
    return wrongType(Name, "true or false");
  return Member->get_bool();
}

Result<double> doubleMember(const JsonValue &Object, std::string_view Name) {
  const JsonValue *Member = findMember(Object, Name);
  if (!Member || Member->is_null())
    return 0.0;
  boost::system::error_code Ec;
  const auto Value = Member->to_number<double>(Ec);
  if (Ec)
    return wrongType(Name, "a number");
  return Value;
}

void appendQuoted(std::string &Target, std::string_view Text) {
  Target += json::serialize(json::string_view(Text.data(), Text.size()));
}

} // namespace catkinseam
