#include "Scheduling/Resources.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <rapidcheck.h>
#include <vector>

namespace hickory {

class ResourcesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResourcesTest);
  CPPUNIT_TEST(sumsAndDifferencesNeverOverflow);
  CPPUNIT_TEST(dominantShareIsTheLargestFraction);
  CPPUNIT_TEST(recordConversionKeepsAmounts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an overflow that makes a full worker look empty.
  void sumsAndDifferencesNeverOverflow() {
    CPPUNIT_ASSERT(
        rc::check("add and subtract are exact or refused",
                  [](std::uint64_t A, std::uint64_t B) {
                    const Resources First{A, B, A};
                    const Resources Second{B, A, B};
                    Resources Sum = First;
                    const bool Overflows =
                        A > std::numeric_limits<std::uint64_t>::max() - B;
                    RC_ASSERT(Sum.add(Second).has_value() == !Overflows);
                    RC_ASSERT((Overflows ? Sum == First : Sum.CpusMilli >= A));
                    Resources Rest = First;
                    RC_ASSERT(Rest.subtract(Second).has_value() == (A == B));
                    RC_ASSERT(First.minusClamped(Second).CpusMilli ==
                              (A > B ? A - B : 0));
                  }));
    constexpr auto Largest = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[Full, More] :
         std::vector<std::pair<Resources, Resources>>{
             {{Largest, 0, 0}, {1, 0, 0}},
             {{0, Largest, 0}, {0, 1, 0}},
             {{0, 0, Largest}, {0, 0, 1}}}) {
      Resources Sum = Full;
      CPPUNIT_ASSERT(!Sum.add(More).has_value());
      CPPUNIT_ASSERT(Sum == Full);
      CPPUNIT_ASSERT(!Sum.times(2).has_value());
    }
    const Resources Huge{std::numeric_limits<std::uint64_t>::max(), 1, 0};
    CPPUNIT_ASSERT(!Huge.times(2).has_value());
    CPPUNIT_ASSERT(Huge.times(1).value() == Huge);
  }

  // Guards against a share that is not that of the dominant resource.
  void dominantShareIsTheLargestFraction() {
    const Resources Total{1000, 4000, 4};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.5, Resources({100, 2000, 1}).dominantShareOf(Total), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1.0, Resources({0, 0, 1}).dominantShareOf({1000, 4000, 0}), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Resources({}).dominantShareOf({}), 1e-9);
  }

  // Guards against amounts that change when they are written to a record and
  // read again.
  void recordConversionKeepsAmounts() {
    const Resources Amount{2500, 4096, 2};
    CPPUNIT_ASSERT(Resources::fromRecord(Amount.toRecord().value()) == Amount);
    CPPUNIT_ASSERT(
        !Resources({0, 0, std::uint64_t(1) << 32}).toRecord().has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResourcesTest);

} // namespace hickory
