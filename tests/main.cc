#include <cstdlib>
#include <iostream>
#include <string>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include "base/log.h"

/// Runs all tests, or only the suite or test that the first argument names.
/// RC_PARAMS sets RapidCheck's seed and number of cases. The default seed is
/// fixed so that runs can be reproduced.
int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0);
  std::cout << "RC_PARAMS=" << std::getenv("RC_PARAMS") << "\n";
  daisypond::base::SetLogLevel(daisypond::base::LogLevel::kError);
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
      new CppUnit::CompilerOutputter(&runner.result(), std::cout));
  const bool is_passed =
      runner.run(argc > 1 ? argv[1] : "", false, true, false);
  return is_passed ? 0 : 1;
}
