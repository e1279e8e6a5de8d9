// Tests of the bounds that follow from lease records.
#define BOOST_TEST_MODULE lease_history
#include "catkinseam/ownership/lease_history.h"

#include <boost/test/unit_test.hpp>

namespace catkinseam {

namespace {

constexpr Milliseconds Term{5300};
constexpr Milliseconds ExtendedTerm{10500};
constexpr Milliseconds ExtensionDelay{3000};
/// More than the margins for clocks that differ.
constexpr Milliseconds Margin{350};

struct Fixture {
  LeaseHistory m_known;
  const TimePoint m_start = TimePoint() + Milliseconds(100000);

  TimePoint at(int Time) const { return m_start + Milliseconds(Time); }

  static LeaseRecord record(std::uint64_t Epoch, std::uint64_t Number,
                            int SincePrevious = 200) {
    LeaseRecord Next;
    Next.m_epoch = Epoch;
    Next.m_number = Number;
    Next.m_sincePrevious = Milliseconds(SincePrevious);
    Next.m_term = Term;
    Next.m_extendedTerm = ExtendedTerm;
    Next.m_extensionDelay = ExtensionDelay;
    return Next;
  }
  static LeaseRecord claim(std::uint64_t Epoch) {
    LeaseRecord Next;
    Next.m_epoch = Epoch;
    return Next;
  }

  /// Reads records of epoch 1 every 200 ms until 0 ms.
  void follow() {
    for (int Number = 0; Number <= 5; ++Number)
      m_known.onRecord(record(1, static_cast<std::uint64_t>(Number)),
                       at(200 * Number - 1000), at(200 * Number - 1100));
  }

  EarlierLeases earlier() const {
    const std::optional<EarlierLeases> Found = m_known.earlierLeases();
    BOOST_REQUIRE(Found.has_value());
    return *Found;
  }

  static void checkNear(TimePoint Found, TimePoint Expected) {
    BOOST_TEST(toMilliseconds(Found - Expected).count() >= 0);
    BOOST_TEST(toMilliseconds(Found - Expected).count() <= Margin.count());
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(LeasesEndATermAfterTheNewestRecord, Fixture) {
  BOOST_TEST(!m_known.earlierLeases().has_value());
  BOOST_TEST(!m_known.areTimesKnown());
  follow();
  BOOST_TEST(m_known.areTimesKnown());
  m_known.onRecord(claim(2), at(900), at(800));
  checkNear(earlier().m_end, at(0) + Term);
  checkNear(earlier().latestEnd(), at(0) + ExtendedTerm);
}

BOOST_FIXTURE_TEST_CASE(ExtensionsAreRuledOutInTime, Fixture) {
  follow();
  EarlierLeases Early = earlier();
  Early.ruleOutExtensionsAfter(at(1200));
  checkNear(Early.latestEnd(), at(0) + Term);
  EarlierLeases Late = earlier();
  Late.ruleOutExtensionsAfter(at(3000));
  checkNear(Late.latestEnd(), at(0) + ExtendedTerm);
}

// The append began before an outage of the log and is read after it.
BOOST_FIXTURE_TEST_CASE(RecordsCountFromTheirBeginning, Fixture) {
  follow();
  m_known.onRecord(record(1, 6), at(4300), at(0));
  checkNear(earlier().m_end, at(200) + Term);
  m_known.onRecord(record(1, 7, 4100), at(4300), at(0));
  checkNear(earlier().m_end, at(4300) + Term);
  // The extension before the newest record is not ruled out, that under it is.
  EarlierLeases Found = earlier();
  Found.ruleOutExtensionsAfter(at(5500));
  checkNear(Found.latestEnd(), at(200) + ExtendedTerm);
}

BOOST_FIXTURE_TEST_CASE(SilentWorkersAndEarlierOwnersAreHandedOn, Fixture) {
  follow();
  LeaseRecord Next = record(1, 6);
  Next.m_silent.push_back({"w1", Milliseconds(1500)});
  Next.m_earlierRemaining = Milliseconds(8000);
  m_known.onRecord(Next, at(200), at(100));
  checkNear(earlier().endOn("w1"), at(200) + Milliseconds(1500));
  checkNear(earlier().m_end, at(200) + Milliseconds(8000));
  BOOST_TEST((earlier().endOn("w2") == earlier().latestEnd()));
}

// An owner that had just started did not know the leases before it, and its
// successor waited as long (soak seed 34: a task was away for 10 s).
BOOST_FIXTURE_TEST_CASE(AnIgnorantOwnerDoesNotLengthenTheWait, Fixture) {
  follow();
  m_known.onRecord(claim(2), at(900), at(800));
  LeaseRecord Next = record(2, 0);
  Next.m_earlierRemaining = Milliseconds(11000);
  m_known.onRecord(Next, at(1000), at(900));
  checkNear(earlier().m_end, at(0) + ExtendedTerm);
  // Once what it has granted lasts longer, that counts.
  Next.m_number = 1;
  Next.m_sincePrevious = Milliseconds(9000);
  m_known.onRecord(Next, at(10000), at(9900));
  checkNear(earlier().m_end, at(10000) + Term);
}

BOOST_FIXTURE_TEST_CASE(ANewcomerRulesOutNothing, Fixture) {
  m_known.onRecord(record(1, 40), at(0), TimePoint());
  BOOST_TEST(!m_known.areTimesKnown());
  EarlierLeases Found = earlier();
  Found.ruleOutExtensionsAfter(at(0));
  checkNear(Found.latestEnd(), at(0) + ExtendedTerm);
}

// What this node knew of an owner says nothing of the records that it missed.
BOOST_FIXTURE_TEST_CASE(ALoadForgetsWhatWasKnown, Fixture) {
  follow();
  m_known.onRecordsMissed();
  BOOST_TEST(!m_known.earlierLeases().has_value());
  LeaseRecord Next = record(3, 4);
  Next.m_earlierRemaining = Milliseconds(11000);
  m_known.onRecord(Next, at(5000), TimePoint());
  BOOST_TEST(!m_known.areTimesKnown());
  checkNear(earlier().m_end, at(5000) + Milliseconds(11000));
}

// Records that this node has not read may have been extended.
BOOST_FIXTURE_TEST_CASE(AMissedRecordRulesOutNothing, Fixture) {
  follow();
  m_known.onRecord(record(1, 9), at(800), at(700));
  EarlierLeases Found = earlier();
  Found.ruleOutExtensionsAfter(at(900));
  checkNear(Found.latestEnd(), at(800) + ExtendedTerm);
}

BOOST_FIXTURE_TEST_CASE(AnOwnerOfAnEarlierVersionIsNotKnown, Fixture) {
  follow();
  // Epoch 2 has left no record.
  m_known.onRecord(claim(3), at(2000), at(1900));
  BOOST_TEST(!m_known.earlierLeases().has_value());
  // Its successor accounts for it.
  m_known.onRecord(record(3, 0), at(2200), at(2100));
  BOOST_TEST(m_known.earlierLeases().has_value());
}

BOOST_AUTO_TEST_CASE(RecordsAreDecodedAsEncoded) {
  LeaseRecord Given;
  Given.m_epoch = 7;
  Given.m_number = 300;
  Given.m_sincePrevious = Milliseconds(200);
  Given.m_term = Term;
  Given.m_extendedTerm = ExtendedTerm;
  Given.m_extensionDelay = ExtensionDelay;
  Given.m_earlierRemaining = Milliseconds(123);
  Given.m_silent = {{"w1", Milliseconds(5)}, {"w2", Milliseconds(0)}};
  Given.m_longer = {{"w3", Milliseconds(6500)}};
  const LeaseRecord Read =
      attempt([&] { return decode<LeaseRecord>(encode(Given)); }).value();
  BOOST_TEST(encode(Read) == encode(Given));
  BOOST_TEST(Read.m_silent.at(0).m_worker == "w1");
  BOOST_TEST(Read.m_earlierRemaining.count() == 123);
  BOOST_TEST(Read.m_longer.at(0).m_worker == "w3");
  BOOST_TEST(Read.m_longer.at(0).m_remaining.count() == 6500);
}

// They end before the workers with longer leases.
BOOST_AUTO_TEST_CASE(RecordsOfEarlierVersionsAreDecoded) {
  LeaseRecord Given;
  Given.m_epoch = 7;
  Given.m_silent = {{"w1", Milliseconds(5)}};
  std::string Earlier = encode(Given);
  Earlier.pop_back();
  auto Read = attempt([&] { return decode<LeaseRecord>(Earlier); });
  BOOST_REQUIRE(static_cast<bool>(Read));
  BOOST_TEST(Read.value().m_silent.size() == 1U);
  BOOST_TEST(Read.value().m_longer.empty());
  BOOST_TEST(encode(Read.value()) == encode(Given));
}

BOOST_FIXTURE_TEST_CASE(LongerLeasesAreHandedOn, Fixture) {
  follow();
  LeaseRecord Next = record(1, 6);
  Next.m_longer = {{"w3", Milliseconds(6500)}};
  m_known.onRecord(Next, at(200), at(100));
  checkNear(earlier().longerEndOn("w3"), at(200 + 6500));
  BOOST_TEST((earlier().longerEndOn("w4") == TimePoint()));
}

} // namespace catkinseam
