// Simulated callers of the soak test: they submit jobs, retry submissions that
// were not accepted, read and cancel jobs, and record what the answers say
// about each job.

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

// What the answers so far have shown of a job.
struct observed_job {
  bool accepted = false;
  // An attempt ended without a definite answer: the job may run.
  bool uncertain = false;
  bool cancel_requested = false;
  std::uint32_t attempts = 0;
  // The last state that any entry reported; a final state is kept.
  std::string state;
};

class callers {
 public:
  callers(asio::io_context& io,
          const test::platform_site& site,
          std::uint64_t seed,
          bool wide_jobs)
      : client_(io), site_(site), random_(seed), wide_jobs_(wide_jobs) {}

  // Submits a new job to a random entry.
  void SubmitJob();
  // Reads a random job, or in one case of kCancelOneIn cancels it.
  void ReadOrCancelJob();

  const std::map<std::string, observed_job>& jobs() const { return jobs_; }
  // Descriptions of answers that contradict each other.
  const std::vector<std::string>& contradictions() const {
    return contradictions_;
  }
  // Requests that have not ended.
  std::uint64_t open() const { return open_; }

 private:
  void SendSubmission(const std::string& job, const test::site_step& step);
  void OnSubmitted(const std::string& job,
                   const test::site_step& step,
                   const wire::http_outcome& outcome);
  void OnRead(const std::string& job, const wire::http_outcome& outcome);
  void Cancel(const std::string& job);
  std::uint32_t RandomEntry();

  runtime::http_client client_;
  const test::platform_site& site_;
  std::mt19937_64 random_;
  // Jobs have more and longer tasks, several of which share a worker.
  const bool wide_jobs_;
  std::map<std::string, observed_job> jobs_;
  std::vector<std::string> contradictions_;
  std::uint64_t open_ = 0;
};

}  // namespace parsleyhitch::soak

#endif  // PARSLEYHITCH_SOAK_CALLERS_H_
