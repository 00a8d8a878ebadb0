// Real processes on loopback: entries with the stand-ins of the platform's log,
// VM list and workers. Every process is ended with the cluster.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_CLUSTER_H_
#define PARSLEYHITCH_TESTS_SUPPORT_CLUSTER_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "stand_ins/journal.h"

namespace parsleyhitch::test {

// A call's reply; status 0 when there was none.
struct reply {
  std::uint32_t status = 0;
  std::string run;
  std::string body;
};

struct request {
  std::uint32_t entry = 0;
  std::string service;
  std::string workspace;
  std::string body;
  // Non-idempotent when not empty.
  std::string key;
  std::int64_t deadline_ms = 5000;
};

struct cluster_shape {
  std::uint32_t entries = 3;
  std::uint32_t workers = 8;
  std::int64_t task_ms = 1500;
};

class cluster {
 public:
  // Starts everything, publishes the first manifest and waits until every entry
  // has it in force.
  explicit cluster(const cluster_shape& shape);
  ~cluster();
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;

  // Waits for a condition, and fails the test when it has not come in 60 s.
  void Await(const std::string& what,
             const std::function<bool()>& condition) const;

  // Sends all calls at the same moment and waits for every reply.
  std::vector<reply> SendTogether(const std::vector<request>& requests) const;
  reply Send(const request& each) const { return SendTogether({each}).front(); }
  // Sends without waiting; replies come as the loop runs in later calls.
  reply Call(std::uint32_t entry,
             const std::string& method,
             const std::string& path,
             const std::string& body = "") const;

  // Submits a job and gives its name.
  std::string Submit(std::uint32_t entry, const std::string& spec) const;
  std::string PhaseOf(std::uint32_t entry, const std::string& job) const;
  void AwaitPhase(std::uint32_t entry,
                  const std::string& job,
                  const std::string& phase) const;
  // A field of an entry's status; empty when it does not answer.
  std::string StatusField(std::uint32_t entry, const std::string& field) const;
  void AwaitStatus(std::uint32_t entry,
                   const std::string& field,
                   const std::string& value) const;

  pid_t EntryPid(std::uint32_t entry) const { return entries_.at(entry); }
  void SignalEntry(std::uint32_t entry, int signal) const;
  void SignalWorker(std::uint32_t worker, int signal) const;
  // Waits until the entry's process has ended; its exit code.
  int AwaitExit(std::uint32_t entry);
  void StartEntry(std::uint32_t entry);

  void ControlLog(const std::string& control) const;
  void ControlVmList(const std::string& control) const;
  void ControlWorker(std::uint32_t worker, const std::string& control) const;
  void ControlWorkers(const std::string& control) const;
  stand_ins::worker_journal Journal(std::uint32_t worker) const;
  // Times that requests with this key ran, over all workers.
  std::uint64_t RunsOf(const std::string& key) const;

  // The log's address that only this entry uses.
  std::string LogAddress(std::uint32_t entry) const;
  std::uint32_t workers() const { return shape_.workers; }

 private:
  void Start();
  void EndAll() const;
  std::string Address(std::uint32_t index) const;
  std::string EntryAddress(std::uint32_t entry) const;
  std::string WorkerAddress(std::uint32_t worker) const;
  pid_t Spawn(const std::vector<std::string>& arguments) const;
  std::string ConfigOf(std::uint32_t entry) const;
  reply CallAddress(const std::string& address,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body) const;

  const cluster_shape shape_;
  std::vector<std::uint16_t> ports_;
  std::filesystem::path folder_;
  std::vector<pid_t> entries_;
  std::vector<pid_t> others_;
  std::vector<pid_t> workers_;
};

}  // namespace parsleyhitch::test

#endif  // PARSLEYHITCH_TESTS_SUPPORT_CLUSTER_H_
