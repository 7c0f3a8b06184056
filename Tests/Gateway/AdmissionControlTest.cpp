#include "Gateway/AdmissionControl.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace hickory {

namespace {

class AdmissionControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionControlTest);
  CPPUNIT_TEST(testLeastUrgentIsRefusedFirst);
  CPPUNIT_TEST(testPlacesAreGivenBack);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Low priority may fill half of the limit, normal priority four fifths, and
  /// only urgent work all of it.
  void testLeastUrgentIsRefusedFirst() {
    AdmissionControl Admission(10);
    std::vector<AdmissionControl::Permit> Held;
    CPPUNIT_ASSERT_EQUAL(5, fill(Admission, 99, Held));
    CPPUNIT_ASSERT_EQUAL(3, fill(Admission, 100, Held));
    CPPUNIT_ASSERT_EQUAL(0, fill(Admission, 999, Held));
    CPPUNIT_ASSERT_EQUAL(2, fill(Admission, 1000, Held));
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), Admission.inProgress());
  }

  /// A place that is not given back, or given back twice, would change the
  /// limit for good.
  void testPlacesAreGivenBack() {
    AdmissionControl Admission(4);
    {
      std::vector<AdmissionControl::Permit> Held;
      CPPUNIT_ASSERT_EQUAL(4, fill(Admission, 1000, Held));
      AdmissionControl::Permit Refused = Admission.admit(1000);
      CPPUNIT_ASSERT(!Refused);
      const AdmissionControl::Permit Moved(std::move(Held.back()));
      CPPUNIT_ASSERT_EQUAL(std::size_t(4), Admission.inProgress());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Admission.inProgress());
  }

private:
  /// Admits until the first refusal; returns how many were admitted.
  static int fill(AdmissionControl &Admission, std::uint32_t Priority,
                  std::vector<AdmissionControl::Permit> &Held) {
    for (int Count = 0;; ++Count) {
      AdmissionControl::Permit Permit = Admission.admit(Priority);
      if (!Permit)
        return Count;
      Held.push_back(std::move(Permit));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControlTest);

} // namespace

} // namespace hickory
