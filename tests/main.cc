#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>
#include <thread>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include "base/failure_report.h"
#include "base/log.h"

// Ends this process as FailureReportTest wants it.
void EndBy(const std::string& way) {
  daisypond::base::InstallFailureReport();
  daisypond::base::CurrentProcessState().is_stopping = true;
  const daisypond::base::OpenRequest open_request;
  daisypond::base::Log(daisypond::base::LogLevel::kInfo, "last_line");
  if (way == "exception") {
    std::thread([] { throw std::runtime_error("no room"); }).join();
  }
  std::abort();
}

/// Runs all tests, or only the suite or test that the first argument names.
/// RC_PARAMS sets RapidCheck's seed and number of cases. The default seed is
/// fixed so that runs can be reproduced.
int main(int argc, char** argv) {
  if (argc > 2 && std::string(argv[1]) == "--end-by") {
    EndBy(argv[2]);
  }
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
