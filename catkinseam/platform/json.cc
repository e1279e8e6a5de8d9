// JSON helpers implementation on Poco::JSON.
#include "catkinseam/platform/json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace catkinseam {

namespace {

constexpr std::size_t MaxJsonDepth = 32;

template <class T>
T memberOr(const JsonObject &Object, const std::string &Key, T Fallback) {
  try {
    return Object->has(Key) && !Object->isNull(Key) ? Object->getValue<T>(Key)
                                                    : Fallback;
  } catch (const Poco::Exception &) {
    return Fallback;
  }
}

} // namespace

Result<JsonObject> parseJsonObject(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(MaxJsonDepth);
    return Parser.parse(Text).extract<JsonObject>();
  } catch (const Poco::Exception &Exception) {
    return makeError(ErrorCode::Invalid,
                     "body is not a JSON object: " + Exception.displayText());
  }
}

std::string jsonString(const JsonObject &Object, const std::string &Key,
                       const std::string &Fallback) {
  return memberOr<std::string>(Object, Key, Fallback);
}

std::int64_t jsonInteger(const JsonObject &Object, const std::string &Key,
                         std::int64_t Fallback) {
  return memberOr<Poco::Int64>(Object, Key, Fallback);
}

bool jsonBool(const JsonObject &Object, const std::string &Key, bool Fallback) {
  return memberOr<bool>(Object, Key, Fallback);
}

JsonArray jsonArray(const JsonObject &Object, const std::string &Key) {
  const JsonArray Member = Object->getArray(Key);
  return Member.isNull() ? newArray() : Member;
}

JsonObject jsonObject(const JsonObject &Object, const std::string &Key) {
  const JsonObject Member = Object->getObject(Key);
  return Member.isNull() ? newObject() : Member;
}

std::string toText(const JsonObject &Object) {
  std::ostringstream Text;
  Object->stringify(Text);
  return Text.str();
}

JsonObject newObject() {
  return new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

JsonArray newArray() { return new Poco::JSON::Array; }

} // namespace catkinseam
