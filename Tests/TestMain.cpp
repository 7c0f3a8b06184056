// Runs the registered CppUnit tests, or the test named by the first argument.
// RapidCheck prints its seed on failure; set RC_PARAMS="seed=N" to repeat a
// run.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <glog/logging.h>
#include <iostream>

int main(int Count, char **Arguments) {
  google::InitGoogleLogging(Arguments[0]);
  FLAGS_logtostderr = true;
  CppUnit::TestResult Controller;
  CppUnit::TestResultCollector Results;
  Controller.addListener(&Results);
  CppUnit::BriefTestProgressListener Progress;
  Controller.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Controller, Count > 1 ? Arguments[1] : "");
  CppUnit::CompilerOutputter(&Results, std::cerr).write();
  return Results.wasSuccessful() ? 0 : 1;
}
