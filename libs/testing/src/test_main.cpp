/// Runs every registered CppUnit test and prints the numbers of passed and
/// failed tests.

#include <barleyfork/base/log.hpp>
#include <barleyfork/testing/property.hpp>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdlib>
#include <iostream>
#include <rapidcheck/detail/Configuration.h>
#include <sstream>

namespace barleyfork::testing {

namespace {

constexpr std::uint64_t default_seed = 20261204;

std::uint64_t read_environment_number(const char* variable,
                                      std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

void check_property(const std::string& name,
                    int cases,
                    const std::function<void()>& property)
{
    rc::detail::TestParams params;
    params.seed = read_environment_number("BARLEYFORK_SEED", default_seed);
    params.maxSuccess = static_cast<int>(read_environment_number(
        "BARLEYFORK_CASES", static_cast<std::uint64_t>(cases)));
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    const auto result = rc::detail::checkTestable(property, metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + text.str(),
                           result.is<rc::detail::SuccessResult>());
}

} // namespace barleyfork::testing

/// Runs all tests, or only the test with the given full name. The environment
/// variable BARLEYFORK_TEST_LOG names a file for the log of the tested code.
int main(int argc, char** argv)
{
    if (const char* file = std::getenv("BARLEYFORK_TEST_LOG"))
        barleyfork::start_log("info", file, "test");
    CppUnit::TestResult events;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&results);
    events.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(events, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter(&results, std::cerr).write();
    const auto failed = results.testFailuresTotal();
    std::cout << results.runTests() - failed << " passed, " << failed
              << " failed" << std::endl;
    return results.wasSuccessful() ? 0 : 1;
}
