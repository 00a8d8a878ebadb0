// Callers of the soak: each hands one job in, tries again while it is not
// certain what came of it, and remembers what it was told.

#ifndef PARSLEYHITCH_SOAK_CALLERS_H_
#define PARSLEYHITCH_SOAK_CALLERS_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "support/platform_site.h"

namespace parsleyhitch::soak {

// What a caller knows of its job.
struct told_job {
  bool accepted = false;
  // Some try ended without a definite answer: the job may run.
  bool uncertain = false;
  bool cancel_asked = false;
  std::uint32_t tries = 0;
  // The last state that some entry gave.
  std::string state;
};

class callers {
 public:
  callers(asio::io_context& io,
          const test::platform_site& site,
          std::uint64_t seed)
      : client_(io), site_(site), random_(seed) {}

  // Hands a new job in at a random entry.
  void HandIn();
  // Reads, now and then cancels, a random job.
  void LookAtOne();

  const std::map<std::string, told_job>& jobs() const { return jobs_; }
  // Contradictions between answers, in words.
  const std::vector<std::string>& breaches() const { return breaches_; }
  std::uint64_t open() const { return open_; }

 private:
  void Try(const std::string& job, const test::site_step& step);
  void OnSubmitted(const std::string& job,
                   const test::site_step& step,
                   const wire::http_outcome& outcome);
  void OnRead(const std::string& job, const wire::http_outcome& outcome);
  void Cancel(const std::string& job);
  std::uint32_t AnyEntry();

  runtime::http_client client_;
  const test::platform_site& site_;
  std::mt19937_64 random_;
  std::map<std::string, told_job> jobs_;
  std::vector<std::string> breaches_;
  std::uint64_t open_ = 0;
};

}  // namespace parsleyhitch::soak

#endif  // PARSLEYHITCH_SOAK_CALLERS_H_
