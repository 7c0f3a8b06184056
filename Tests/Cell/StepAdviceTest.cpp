#include "Cell/StepAdvice.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

class StepAdviceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StepAdviceTest);
  CPPUNIT_TEST(testLatestAnswerCounts);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a gang that is placed again and again on a worker that was
  // good for it, is back as another kind, and gets no ticket any more.
  void testLatestAnswerCounts() {
    StepAdvice Collected;
    const Clock::time_point Now{};
    Collected.apply({"a", "b"},
                    {.Good = {{.Worker = "a", .Text = "t"}}, .Validity = 2s},
                    Now);
    CPPUNIT_ASSERT(Collected.find("a")->Good && Collected.find("b")->isBad());
    Collected.apply({"a"}, {}, Now + 3s);
    CPPUNIT_ASSERT(Collected.find("a")->isBad());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StepAdviceTest);

} // namespace hickory
