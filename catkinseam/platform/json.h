// Helpers for Poco::JSON, used by the adapters and the administration API.
//
//   Result<JsonObject> Body = parseJsonObject(Text);
//   std::string Name = jsonString(Body.value(), "name");
#ifndef CATKINSEAM_PLATFORM_JSON_H
#define CATKINSEAM_PLATFORM_JSON_H

#include "catkinseam/base/error.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <cstdint>
#include <string>

namespace catkinseam {

using JsonObject = Poco::JSON::Object::Ptr;
using JsonArray = Poco::JSON::Array::Ptr;

/// Parses a JSON object. Returns Invalid with the parse error on failure.
Result<JsonObject> parseJsonObject(const std::string &Text);

/// Return a member, or `Fallback` when it is absent, null or of another type.
std::string jsonString(const JsonObject &Object, const std::string &Key,
                       const std::string &Fallback = "");
std::int64_t jsonInteger(const JsonObject &Object, const std::string &Key,
                         std::int64_t Fallback = 0);
bool jsonBool(const JsonObject &Object, const std::string &Key,
              bool Fallback = false);

/// Return a member array or object, or an empty one when it is absent.
JsonArray jsonArray(const JsonObject &Object, const std::string &Key);
JsonObject jsonObject(const JsonObject &Object, const std::string &Key);

/// Serializes `Object` without whitespace.
std::string toText(const JsonObject &Object);

/// Return an empty object, which keeps the order of its keys, or array.
JsonObject newObject();
JsonArray newArray();

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_JSON_H
