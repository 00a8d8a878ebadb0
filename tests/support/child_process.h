// Programs of the project as processes of their own, and calls to them, for
// tests.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_CHILD_PROCESS_H_
#define PARSLEYHITCH_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "wire/http_exchange.h"

namespace parsleyhitch::test {

// The path of a program of this build.
std::string Binary(const std::string& path);

// Starts a program; what it writes is appended to the file. Throws
// std::runtime_error when it can't.
pid_t Spawn(const std::vector<std::string>& arguments, const std::string& log);

// Kills the process and waits for its end; 0 names none.
void End(pid_t pid);

// Waits for the process's end; its exit code, or its signal as a negative
// number.
int AwaitEnd(pid_t pid);

// Looks until the condition holds. Throws std::runtime_error with what did not
// come, and with what `report` tells, when it does not within a minute.
void AwaitCondition(
    const std::string& what,
    const std::function<bool()>& condition,
    const std::function<std::string()>& report = [] { return std::string(); });

// Makes one call and waits for its outcome.
wire::http_outcome CallOnce(const wire::http_request& request);

// A block of ports below those that the kernel gives to outgoing connections,
// and another for each test process.
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace parsleyhitch::test

#endif  // PARSLEYHITCH_TESTS_SUPPORT_CHILD_PROCESS_H_
