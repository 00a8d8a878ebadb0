// Programs of the project as processes of their own, for tests.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_CHILD_PROCESS_H_
#define PARSLEYHITCH_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyhitch::test {

// The path of a program of this build.
std::string Binary(const std::string& path);

// Starts a program; what it writes is appended to the file. Throws
// std::runtime_error when it can't.
pid_t Spawn(const std::vector<std::string>& arguments, const std::string& log);

// Kills the process and waits for its end; 0 names none.
void End(pid_t pid);

// A block of ports below those that the kernel gives to outgoing connections,
// and another for each test process.
std::vector<std::uint16_t> FreePorts(std::size_t count);

}  // namespace parsleyhitch::test

#endif  // PARSLEYHITCH_TESTS_SUPPORT_CHILD_PROCESS_H_
