#include "mustardrouter/Runtime/log.h"

#include <CppUTest/CommandLineTestRunner.h>

int main(int count, char **values)
{
    mustardrouter::setLogLevel("error");
    // log4cxx, protobuf and rapidcheck keep memory for the life of the process.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(count, values);
}
