// A cluster of real processes on loopback: entries, and stand-ins for the
// platform's log, VM list and workers. The destructor kills every process.

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

// A reply to an HTTP call; status 0 if none arrived.
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
  // Idempotency key. If set, the request is sent as non-idempotent.
  std::string key;
  std::int64_t deadline_ms = 5000;
};

struct cluster_options {
  std::uint32_t entries = 3;
  std::uint32_t workers = 8;
  std::int64_t task_ms = 1500;
};

class cluster {
 public:
  // Starts all processes, publishes the first manifest and waits until every
  // entry applies it. Throws std::runtime_error if a wait exceeds 60 s.
  explicit cluster(const cluster_options& options);
  ~cluster();
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;

  // Waits for a condition. Throws std::runtime_error after 60 s.
  void Await(const std::string& what,
             const std::function<bool()>& condition) const;

  // Sends all requests concurrently and waits for every reply.
  std::vector<reply> SendTogether(const std::vector<request>& requests) const;
  reply Send(const request& request) const {
    return SendTogether({request}).front();
  }
  // Sends one HTTP call to the entry and waits for the reply.
  reply Call(std::uint32_t entry,
             const std::string& method,
             const std::string& path,
             const std::string& body = "") const;

  // Submits a job and returns its name. Throws std::runtime_error if the job is
  // not accepted.
  std::string Submit(std::uint32_t entry, const std::string& spec) const;
  std::string PhaseOf(std::uint32_t entry, const std::string& job) const;
  void AwaitPhase(std::uint32_t entry,
                  const std::string& job,
                  const std::string& phase) const;
  // Returns a field of the entry's status, found at any depth; empty if the
  // entry does not answer.
  std::string StatusField(std::uint32_t entry, const std::string& field) const;
  void AwaitStatus(std::uint32_t entry,
                   const std::string& field,
                   const std::string& value) const;

  pid_t EntryPid(std::uint32_t entry) const { return entries_.at(entry); }
  void SignalEntry(std::uint32_t entry, int signal) const;
  void SignalWorker(std::uint32_t worker, int signal) const;
  // Waits until the entry's process has exited. Returns its exit code, or the
  // negated number of the signal that terminated it.
  int AwaitExit(std::uint32_t entry);
  // Kills the entry's process if it runs, and starts a new one.
  void StartEntry(std::uint32_t entry);

  // Send a control message to a stand-in. Its fields are those of log_control
  // and worker_control; stand_ins/stand_in.h describes the message to the VM
  // list.
  void ControlLog(const std::string& control) const;
  void ControlVmList(const std::string& control) const;
  void ControlWorker(std::uint32_t worker, const std::string& control) const;
  void ControlWorkers(const std::string& control) const;
  stand_ins::worker_journal Journal(std::uint32_t worker) const;
  // Returns how often requests with this key were run, over all workers.
  std::uint64_t CountRuns(const std::string& key) const;

  // Returns the address at which the log serves this entry only.
  std::string LogAddress(std::uint32_t entry) const;
  std::uint32_t workers() const { return options_.workers; }

 private:
  void Start();
  void KillAll() const;
  // The address of the port with this index in `ports_`.
  std::string Address(std::uint32_t index) const;
  std::string EntryAddress(std::uint32_t entry) const;
  std::string WorkerAddress(std::uint32_t worker) const;
  pid_t Spawn(const std::vector<std::string>& arguments) const;
  std::string EntryConfig(std::uint32_t entry) const;
  reply CallAddress(const std::string& address,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body) const;

  const cluster_options options_;
  std::vector<std::uint16_t> ports_;
  std::filesystem::path directory_;
  std::vector<pid_t> entries_;
  // The log and the VM list.
  std::vector<pid_t> platform_processes_;
  std::vector<pid_t> workers_;
};

}  // namespace parsleyhitch::test

#endif  // PARSLEYHITCH_TESTS_SUPPORT_CLUSTER_H_
