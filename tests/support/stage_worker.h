// A worker as the platform's page describes it: tasks under a lease on a clock
// of its own, gangs that wait for one another, ends that are listed until they
// are acknowledged.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_STAGE_WORKER_H_
#define PARSLEYHITCH_TESTS_SUPPORT_STAGE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "work/effect.h"

namespace parsleyhitch::tests {

struct stage_run {
  std::uint64_t attempt = 0;
  work::duration started{0};
  // Absent (zero) while a member of a gang waits for the others.
  work::duration works_since{0};
  bool works = false;
  work::duration stops_at{0};
  bool stopping = false;
};

class stage_worker {
 public:
  // Told by the test.
  work::worker_id id;
  work::rack_id rack;
  work::resources capacity;
  std::uint64_t life = 1;
  bool alive = true;
  bool cut = false;
  bool draining = false;
  // Orders are carried out and not answered.
  std::uint32_t mute_orders = 0;
  bool fails_everything = false;
  // Its clock against true time.
  double clock_rate = 1.0;

  // Told by the stage: what a task needs and how long it works, and whether
  // all members of its gang are present.
  std::function<work::step_spec(const work::task_id&)> spec_of;
  std::function<work::duration(const work::task_id&)> work_of;
  std::function<bool(const work::task_id&, std::uint64_t attempt)> gang_present;
  std::function<void(const work::task_id&)> started;
  std::function<void(const work::task_id&, work::run_end_kind)> ended;
  // An end as done was acknowledged within the lease under which it came.
  std::function<void(const work::task_id&, work::duration ended_at)> noted;
  std::function<void(const std::string&)> breach;

  work::duration Clock(work::duration now) const;
  work::order_outcome Start(const work::start_run& order, work::duration now);
  work::order_outcome Stop(const work::stop_run& order, work::duration now);
  work::order_outcome Hold(const work::hold_worker& order, work::duration now);
  work::worker_listing Listing() const;
  bool HasUnlistedEnd(std::uint64_t after) const;
  // Lets time pass: ends, leases, gangs.
  void Advance(work::duration now);
  // Ends everything, as a crash or a power cut does.
  void Die();
  // A new life with the same name.
  void Restart(work::duration now);
  const std::map<work::task_id, stage_run>& running() const { return running_; }
  // Ends a task because another member of its gang has ended.
  void Break(const work::task_id& task);
  void FinishWith(const work::task_id& task);

 private:
  void End(const work::task_id& task, work::run_end_kind how);
  bool TakesToken(std::uint64_t token);
  work::resources Used() const;

  std::map<work::task_id, stage_run> running_;
  std::map<work::task_id, std::uint64_t> closed_;
  std::vector<work::ended_task> ended_;
  // When each listed end came; absent once the lease has lapsed since.
  std::map<std::uint64_t, work::duration> ended_at_;
  work::duration advanced_to_{0};
  std::uint64_t last_number_ = 0;
  std::uint64_t token_ = 0;
  work::duration lease_until_{0};
  work::duration born_{0};
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_STAGE_WORKER_H_
