#ifndef DAISYPOND_TESTS_TEST_MACROS_H_
#define DAISYPOND_TESTS_TEST_MACROS_H_

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

/// Declares a test suite class.
#define SUITE(name) class name : public CppUnit::TestFixture

/// Checks that two values are equal. The expected value comes first.
#define EXPECT_EQ(expected, actual) CPPUNIT_ASSERT_EQUAL(expected, actual)
#define EXPECT(condition) CPPUNIT_ASSERT(condition)

#endif  // DAISYPOND_TESTS_TEST_MACROS_H_
