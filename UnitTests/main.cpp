#include "mustardrouter/Runtime/log.h"

#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>

int main(int count, char **values)
{
    mustardrouter::setLogLevel("error");
    // log4cxx, protobuf and rapidcheck keep memory for the life of the process. What was allocated
    // before main() must not stay in the detector's table, since its release goes unseen from here on.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(mem_leak_period_all);
    // The same cases in every run; another seed can be given from outside.
    constexpr int keepGiven = 0;
    setenv("RC_PARAMS", "seed=20261203", keepGiven);
    return CommandLineTestRunner::RunAllTests(count, values);
}
