// Small helpers around Poco::JSON for the adapters and the API.
//
//   Result<JsonObject> Body = parseJsonObject(Text);
//   std::string Name = jsonText(Body.value(), "name");
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

/// Reads a JSON object. Error Invalid says where it is broken.
Result<JsonObject> parseJsonObject(const std::string &Text);

/// Returns a member, or the fallback when it is absent or of another type.
std::string jsonText(const JsonObject &Object, const std::string &Key,
                     const std::string &Fallback = "");
std::int64_t jsonNumber(const JsonObject &Object, const std::string &Key,
                        std::int64_t Fallback = 0);
bool jsonFlag(const JsonObject &Object, const std::string &Key,
              bool Fallback = false);

/// Returns a member array or object, or an empty one.
JsonArray jsonArray(const JsonObject &Object, const std::string &Key);
JsonObject jsonObject(const JsonObject &Object, const std::string &Key);

/// Returns the compact text of `Object`.
std::string toText(const JsonObject &Object);

/// Returns an empty object or array.
JsonObject newObject();
JsonArray newArray();

} // namespace catkinseam

#endif // CATKINSEAM_PLATFORM_JSON_H
