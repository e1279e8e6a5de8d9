// The configuration schema and its checks.
#include "catkinseam/config/schema.h"

#include <charconv>

namespace catkinseam {

namespace {

enum class ValueType { Number, Flag, Text };

struct Rule {
  const char *m_pattern;
  ValueType m_type;
  std::int64_t m_least = 0;
  std::int64_t m_most = 0;
};

constexpr std::int64_t HourMs = 3600 * 1000;

constexpr Rule Rules[] = {
    {"workers/*/processors_milli", ValueType::Number, 1, 1024 * 1000},
    {"workers/*/memory_mb", ValueType::Number, 1, 16 * 1024 * 1024},
    {"workers/*/accelerators", ValueType::Number, 0, 64},
    {"workers/*/protected_processors_milli", ValueType::Number, 0, 1024 * 1000},
    {"workers/*/protected_memory_mb", ValueType::Number, 0, 16 * 1024 * 1024},
    {"workers/*/protected_accelerators", ValueType::Number, 0, 64},
    {"workers/*/slots", ValueType::Number, 0, 1024},
    {"workers/*/rack", ValueType::Text},
    {"workers/*/data_centre", ValueType::Text},
    {"kinds/*/idempotent", ValueType::Flag},
    {"kinds/*/long", ValueType::Flag},
    {"kinds/*/estimate_ms", ValueType::Number, 1, HourMs},
    {"kinds/*/deadline_ms", ValueType::Number, 1, HourMs},
    {"teams/*/processors_milli", ValueType::Number, 0, 1LL << 40},
    {"request/long_slots_percent", ValueType::Number, 1, 100},
    {"request/retry_percent", ValueType::Number, 0, 100},
    {"batch/failures_to_park", ValueType::Number, 1, 100},
    {"batch/claims_paused", ValueType::Flag},
    {"batch/reserve_declared", ValueType::Flag},
};

const char *const RequiredOfWorker[] = {"processors_milli", "memory_mb", "rack",
                                        "data_centre"};

std::vector<std::string> split(const std::string &Path) {
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

bool isName(const std::string &Segment) {
  if (Segment.empty() || Segment.size() > MaxNameLength)
    return false;
  for (const char Letter : Segment) {
    const bool IsPlain = (Letter >= 'a' && Letter <= 'z') ||
                         (Letter >= 'A' && Letter <= 'Z') ||
                         (Letter >= '0' && Letter <= '9') || Letter == '-' ||
                         Letter == '_' || Letter == '.';
    if (!IsPlain)
      return false;
  }
  return true;
}

bool matches(const std::string &Path, const char *Pattern) {
  const std::vector<std::string> Segments = split(Path);
  const std::vector<std::string> Wanted = split(Pattern);
  if (Segments.size() != Wanted.size())
    return false;
  for (std::size_t Index = 0; Index < Segments.size(); ++Index) {
    const bool Fits = Wanted[Index] == "*" ? isName(Segments[Index])
                                           : Segments[Index] == Wanted[Index];
    if (!Fits)
      return false;
  }
  return true;
}

bool readNumber(const std::string &Value, std::int64_t &Number) {
  const char *Last = Value.data() + Value.size();
  const auto [End, Fault] = std::from_chars(Value.data(), Last, Number);
  return Fault == std::errc() && End == Last && !Value.empty();
}

std::string checkType(const Rule &Known, const std::string &Value) {
  std::int64_t Number = 0;
  switch (Known.m_type) {
  case ValueType::Flag:
    return Value == "true" || Value == "false" ? "" : "must be true or false";
  case ValueType::Text: {
    const bool IsQuoted =
        Value.size() >= 2 && Value.front() == '"' && Value.back() == '"';
    return IsQuoted && isName(Value.substr(1, Value.size() - 2))
               ? ""
               : "must be a name in quotes";
  }
  case ValueType::Number:
    if (!readNumber(Value, Number))
      return "must be a whole number";
    if (Number < Known.m_least || Number > Known.m_most)
      return "must be from " + std::to_string(Known.m_least) + " to " +
             std::to_string(Known.m_most);
    return "";
  }
  return "";
}

std::string protectedBeyond(const ConfigContent &Content,
                            const std::string &Worker,
                            const std::string &Resource) {
  const std::int64_t Has = numberAt(Content, Worker + "/" + Resource, 0);
  const std::int64_t Kept =
      numberAt(Content, Worker + "/protected_" + Resource, 0);
  if (Kept <= Has)
    return "";
  std::string Fault = Worker;
  Fault += "/protected_";
  Fault += Resource;
  Fault += ": exceeds the ";
  Fault += std::to_string(Has);
  Fault += " that the worker has";
  return Fault;
}

} // namespace

std::string checkValue(const std::string &Path, const std::string &Value) {
  std::string Fault = "unknown path";
  for (const Rule &Known : Rules)
    if (matches(Path, Known.m_pattern))
      Fault = checkType(Known, Value);
  return Fault.empty() ? Fault : Path + ": " + Fault;
}

std::string entityOf(const std::string &Path) {
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
  const bool IsAbsent =
      First == Content.end() || First->first.rfind(Entity + "/", 0) != 0;
  if (IsAbsent)
    return "";
  for (const char *Leaf : RequiredOfWorker)
    if (Content.count(Entity + "/" + Leaf) == 0)
      return Entity + "/" + Leaf + ": is required";
  for (const char *Resource : {"processors_milli", "memory_mb", "accelerators"})
    if (std::string Fault = protectedBeyond(Content, Entity, Resource);
        !Fault.empty())
      return Fault;
  return "";
}

std::vector<std::string> namesBelow(const ConfigContent &Content,
                                    const std::string &Section) {
  std::vector<std::string> Names;
  const std::string Prefix = Section + "/";
  for (auto Place = Content.lower_bound(Prefix);
       Place != Content.end() && Place->first.rfind(Prefix, 0) == 0; ++Place) {
    std::string Name = Place->first.substr(Prefix.size());
    Name.resize(std::min(Name.size(), Name.find('/')));
    if (Names.empty() || Names.back() != Name)
      Names.push_back(std::move(Name));
  }
  return Names;
}

std::int64_t numberAt(const ConfigContent &Content, const std::string &Path,
                      std::int64_t Fallback) {
  const auto Place = Content.find(Path);
  std::int64_t Number = Fallback;
  if (Place != Content.end())
    readNumber(Place->second, Number);
  return Number;
}

bool flagAt(const ConfigContent &Content, const std::string &Path,
            bool Fallback) {
  const auto Place = Content.find(Path);
  return Place == Content.end() ? Fallback : Place->second == "true";
}

std::string textAt(const ConfigContent &Content, const std::string &Path,
                   const std::string &Fallback) {
  const auto Place = Content.find(Path);
  if (Place == Content.end() || Place->second.size() < 2)
    return Fallback;
  return Place->second.substr(1, Place->second.size() - 2);
}

} // namespace catkinseam
