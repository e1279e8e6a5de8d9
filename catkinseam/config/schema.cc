// Configuration schema rules and validation.
#include "catkinseam/config/schema.h"

#include <charconv>

namespace catkinseam {

namespace {

enum class ValueType { Number, Boolean, String };

struct SchemaRule {
  const char *m_pattern;
  ValueType m_type;
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
};

constexpr std::int64_t MsPerHour = 3600 * 1000;

constexpr SchemaRule SchemaRules[] = {
    {"workers/*/processors_milli", ValueType::Number, 1, 1024 * 1000},
    {"workers/*/memory_mb", ValueType::Number, 1, 16 * 1024 * 1024},
    {"workers/*/accelerators", ValueType::Number, 0, 64},
    {"workers/*/protected_processors_milli", ValueType::Number, 0, 1024 * 1000},
    {"workers/*/protected_memory_mb", ValueType::Number, 0, 16 * 1024 * 1024},
    {"workers/*/protected_accelerators", ValueType::Number, 0, 64},
    {"workers/*/slots", ValueType::Number, 0, 1024},
    {"workers/*/rack", ValueType::String},
    {"workers/*/data_centre", ValueType::String},
    {"kinds/*/idempotent", ValueType::Boolean},
    {"kinds/*/long", ValueType::Boolean},
    {"kinds/*/estimate_ms", ValueType::Number, 1, MsPerHour},
    {"kinds/*/deadline_ms", ValueType::Number, 1, MsPerHour},
    {"teams/*/processors_milli", ValueType::Number, 0, 1LL << 40},
    {"request/long_slots_percent", ValueType::Number, 1, 100},
    {"request/retry_percent", ValueType::Number, 0, 100},
    {"batch/failures_to_park", ValueType::Number, 1, 100},
    {"batch/claims_paused", ValueType::Boolean},
    {"batch/reserve_declared", ValueType::Boolean},
};

const char *const RequiredWorkerFields[] = {"processors_milli", "memory_mb",
                                            "rack", "data_centre"};

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Segments;
  std::size_t Start = 0;
  while (true) {
    const std::size_t Slash = Path.find('/', Start);
    Segments.push_back(Path.substr(Start, Slash - Start));
    if (Slash == std::string::npos)
      return Segments;
    Start = Slash + 1;
  }
}

constexpr std::size_t MaxNameLength = 63;

bool isValidName(const std::string &Segment) {
  if (Segment.empty() || Segment.size() > MaxNameLength)
    return false;
  for (const char Char : Segment) {
    const bool IsAllowed = (Char >= 'a' && Char <= 'z') ||
                           (Char >= 'A' && Char <= 'Z') ||
                           (Char >= '0' && Char <= '9') || Char == '-' ||
                           Char == '_' || Char == '.';
    if (!IsAllowed)
      return false;
  }
  return true;
}

bool matchesPattern(const std::string &Path, const char *Pattern) {
  const std::vector<std::string> Segments = splitPath(Path);
  const std::vector<std::string> PatternSegments = splitPath(Pattern);
  if (Segments.size() != PatternSegments.size())
    return false;
  for (std::size_t Index = 0; Index < Segments.size(); ++Index) {
    const bool IsMatch = PatternSegments[Index] == "*"
                             ? isValidName(Segments[Index])
                             : Segments[Index] == PatternSegments[Index];
    if (!IsMatch)
      return false;
  }
  return true;
}

bool parseNumber(const std::string &Value, std::int64_t &Number) {
  const char *Last = Value.data() + Value.size();
  const auto [End, Error] = std::from_chars(Value.data(), Last, Number);
  return Error == std::errc() && End == Last && !Value.empty();
}

std::string checkType(const SchemaRule &Rule, const std::string &Value) {
  std::int64_t Number = 0;
  switch (Rule.m_type) {
  case ValueType::Boolean:
    return Value == "true" || Value == "false" ? "" : "must be true or false";
  case ValueType::String: {
    const bool IsQuoted =
        Value.size() >= 2 && Value.front() == '"' && Value.back() == '"';
    return IsQuoted && isValidName(Value.substr(1, Value.size() - 2))
               ? ""
               : "must be a name in quotes";
  }
  case ValueType::Number:
    if (!parseNumber(Value, Number))
      return "must be a whole number";
    if (Number < Rule.m_min || Number > Rule.m_max)
      return "must be from " + std::to_string(Rule.m_min) + " to " +
             std::to_string(Rule.m_max);
    return "";
  }
  return "";
}

std::string checkProtectedAmount(const ConfigContent &Content,
                                 const std::string &Worker,
                                 const std::string &Resource) {
  const std::int64_t Total = getNumber(Content, Worker + "/" + Resource, 0);
  const std::int64_t Protected =
      getNumber(Content, Worker + "/protected_" + Resource, 0);
  if (Protected <= Total)
    return "";
  std::string Error = Worker;
  Error += "/protected_";
  Error += Resource;
  Error += ": exceeds the ";
  Error += std::to_string(Total);
  Error += " that the worker has";
  return Error;
}

} // namespace

std::string checkValue(const std::string &Path, const std::string &Value) {
  std::string Error = "unknown path";
  for (const SchemaRule &Rule : SchemaRules)
    if (matchesPattern(Path, Rule.m_pattern))
      Error = checkType(Rule, Value);
  return Error.empty() ? Error : Path + ": " + Error;
}

std::string entityPath(const std::string &Path) {
  const std::size_t First = Path.find('/');
  if (First == std::string::npos)
    return Path;
  const std::size_t Second = Path.find('/', First + 1);
  return Path.substr(0, Second);
}

std::string checkEntity(const ConfigContent &Content,
                        const std::string &Entity) {
  if (Entity.rfind("workers/", 0) != 0)
    return "";
  const auto First = Content.lower_bound(Entity + "/");
  const bool HasNoFields =
      First == Content.end() || First->first.rfind(Entity + "/", 0) != 0;
  if (HasNoFields)
    return "";
  for (const char *Field : RequiredWorkerFields)
    if (Content.count(Entity + "/" + Field) == 0)
      return Entity + "/" + Field + ": is required";
  for (const char *Resource : {"processors_milli", "memory_mb", "accelerators"})
    if (std::string Error = checkProtectedAmount(Content, Entity, Resource);
        !Error.empty())
      return Error;
  return "";
}

std::vector<std::string> childNames(const ConfigContent &Content,
                                    const std::string &Parent) {
  std::vector<std::string> Names;
  const std::string Prefix = Parent + "/";
  for (auto It = Content.lower_bound(Prefix);
       It != Content.end() && It->first.rfind(Prefix, 0) == 0; ++It) {
    std::string Name = It->first.substr(Prefix.size());
    Name.resize(std::min(Name.size(), Name.find('/')));
    if (Names.empty() || Names.back() != Name)
      Names.push_back(std::move(Name));
  }
  return Names;
}

std::int64_t getNumber(const ConfigContent &Content, const std::string &Path,
                       std::int64_t Default) {
  const auto It = Content.find(Path);
  std::int64_t Number = Default;
  if (It != Content.end())
    parseNumber(It->second, Number);
  return Number;
}

bool getBoolean(const ConfigContent &Content, const std::string &Path,
                bool Default) {
  const auto It = Content.find(Path);
  return It == Content.end() ? Default : It->second == "true";
}

std::string getString(const ConfigContent &Content, const std::string &Path,
                      const std::string &Default) {
  const auto It = Content.find(Path);
  if (It == Content.end() || It->second.size() < 2)
    return Default;
  return It->second.substr(1, It->second.size() - 2);
}

} // namespace catkinseam
