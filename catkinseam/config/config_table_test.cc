// Concurrent patches: each accepted patch makes exactly one version, a patch
// with a stale base is rejected instead of merged, and the outcome of a patch
// id does not change.
#define BOOST_TEST_MODULE config_table
#include "catkinseam/config/config_table.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace catkinseam;

namespace {

ConfigPatch patch(const std::string &Id, std::uint64_t Base,
                  ConfigChanges Changes) {
  return {Id, "ops", Base, std::move(Changes)};
}

const char *const Paths[] = {"kinds/a/estimate_ms", "kinds/b/estimate_ms",
                             "kinds/c/estimate_ms", "batch/failures_to_park"};

} // namespace

BOOST_AUTO_TEST_CASE(AcceptsOnlyTheCurrentVersionAsBase) {
  ConfigTable Table;
  Table.apply(patch("p1", 0, {{Paths[0], "10"}}), 0);
  const PatchOutcome &StaleOutcome =
      Table.apply(patch("p2", 0, {{Paths[0], "20"}, {Paths[1], "5"}}), 0);
  BOOST_TEST((StaleOutcome.m_verdict == PatchVerdict::Stale));
  BOOST_TEST(StaleOutcome.m_version == 1U);
  BOOST_TEST(StaleOutcome.m_overlappingPaths ==
                 std::vector<std::string>{Paths[0]},
             boost::test_tools::per_element());
  BOOST_TEST(Table.version() == 1U);
  BOOST_TEST(Table.content().at(Paths[0]) == "10");
}

BOOST_AUTO_TEST_CASE(ReportsTheInvalidPath) {
  ConfigTable Table;
  const auto Message = [&](const char *Id, ConfigChanges Changes) {
    return Table.apply(patch(Id, 0, std::move(Changes)), 0).m_message;
  };
  BOOST_TEST(Message("a", {{"kinds/a/colour", "1"}}) ==
             "kinds/a/colour: unknown path");
  BOOST_TEST(Message("b", {{Paths[0], "0"}}) ==
             "kinds/a/estimate_ms: must be from 1 to 3600000");
  BOOST_TEST(Message("c", {{"workers/w1/memory_mb", "5"}}) ==
             "workers/w1/processors_milli: is required");
  BOOST_TEST(Message("d", {{"workers/w1/memory_mb", "5"},
                           {"workers/w1/processors_milli", "1000"},
                           {"workers/w1/rack", "\"r\""},
                           {"workers/w1/data_centre", "\"d\""},
                           {"workers/w1/protected_memory_mb", "6"}}) ==
             "workers/w1/protected_memory_mb: exceeds the 5 that the worker "
             "has");
  BOOST_TEST(Message("e", {{Paths[0], std::nullopt}}) ==
             "kinds/a/estimate_ms: cannot be removed, it is not there");
  BOOST_TEST(Message("f", {}) == "the patch changes nothing");
  BOOST_TEST(Table.version() == 0U);
}

RC_BOOST_PROP(MatchesAReferenceMap, ()) {
  ConfigTable Table;
  std::map<std::string, std::string> Reference;
  std::uint64_t Version = 0;
  std::map<std::string, std::pair<PatchVerdict, std::uint64_t>> Recorded;
  const int Steps = *rc::gen::inRange(1, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    // Few ids, so that ids are reused with different changes.
    const std::string Id = "p" + std::to_string(*rc::gen::inRange(0, 40));
    const std::uint64_t Base =
        Version - std::min<std::uint64_t>(Version, *rc::gen::inRange(0, 3));
    const std::string Path = Paths[*rc::gen::inRange(0, 4)];
    const std::string Value = std::to_string(*rc::gen::inRange(0, 120));
    const PatchOutcome Outcome =
        Table.apply(patch(Id, Base, {{Path, Value}}), Step);
    const auto Earlier = Recorded.find(Id);
    if (Earlier != Recorded.end()) {
      RC_ASSERT(Earlier->second ==
                std::pair(Outcome.m_verdict, Outcome.m_version));
    } else {
      const bool IsValid = checkValue(Path, Value).empty();
      const PatchVerdict Expected = Base != Version ? PatchVerdict::Stale
                                    : IsValid       ? PatchVerdict::Accepted
                                                    : PatchVerdict::Invalid;
      RC_ASSERT(Outcome.m_verdict == Expected);
      if (Expected == PatchVerdict::Accepted) {
        Reference[Path] = Value;
        ++Version;
      }
      RC_ASSERT(Outcome.m_version == Version);
      Recorded[Id] = {Outcome.m_verdict, Outcome.m_version};
    }
    RC_ASSERT(Table.version() == Version);
    RC_ASSERT(Table.content() == Reference);
  }
}
