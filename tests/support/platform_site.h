// Entries on the stand-in of the users' platform, each a process of its own on
// loopback, with the failures that a test inflicts.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_PLATFORM_SITE_H_
#define PARSLEYHITCH_TESTS_SUPPORT_PLATFORM_SITE_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include "stand_ins/site_journal.h"
#include "wire/http_exchange.h"

namespace parsleyhitch::test {

struct site_shape {
  std::uint32_t entries = 3;
  std::uint32_t workers = 6;
  // The entries reach the store and the workers through proxies that harm
  // connections: link i is entry i's to the store, the workers' follow.
  bool proxied = false;
};

// What a caller got; status 0 when no whole answer came.
struct site_reply {
  std::uint32_t status = 0;
  std::string body;
};

// One step of a job, in the platform's encoding.
struct site_step {
  std::uint32_t tasks = 1;
  std::uint32_t accelerators = 1;
  // What each task takes.
  std::uint32_t task_ms = 300;
  bool gang = false;
};

class platform_site {
 public:
  // Returns once every entry is ready and a job has run. Throws
  // std::runtime_error when that does not come.
  explicit platform_site(const site_shape& shape = {});
  ~platform_site();
  platform_site(const platform_site&) = delete;
  platform_site& operator=(const platform_site&) = delete;

  // Calls of callers, for those who make them by themselves.
  wire::http_request SubmitRequest(std::uint32_t entry,
                                   const std::string& job,
                                   const site_step& step) const;
  wire::http_request JobRequest(const std::string& method,
                                std::uint32_t entry,
                                const std::string& job) const;

  site_reply Submit(std::uint32_t entry,
                    const std::string& job,
                    const site_step& step) const;
  site_reply Cancel(std::uint32_t entry, const std::string& job) const;
  // The job's state by the entry; empty when it gives none.
  std::string StateOf(std::uint32_t entry, const std::string& job) const;
  void AwaitState(std::uint32_t entry,
                  const std::string& job,
                  const std::string& state) const;
  bool IsReady(std::uint32_t entry) const;

  void Control(const std::string& control) const;
  // Of a site with proxies: replaces all that harms links.
  void ControlLinks(const std::string& control) const;
  std::uint32_t links() const { return shape_.entries + shape_.workers; }
  std::uint32_t entries() const { return shape_.entries; }
  std::uint32_t workers() const { return shape_.workers; }
  void Publish(std::uint32_t version, const std::string& queue) const;
  stand_ins::site_journal Journal() const;
  // The first breach of the platform's rules, or nothing.
  std::string Breach() const;

  void Signal(std::uint32_t entry, int signal) const;
  void Start(std::uint32_t entry);
  // Waits until the process has ended; its exit code, or its signal as a
  // negative number.
  int AwaitExit(std::uint32_t entry);
  void Await(const std::string& what,
             const std::function<bool()>& condition) const;
  // Everything that the entries logged so far.
  std::string Logs() const;

 private:
  enum class port : std::uint8_t {
    kCallers,
    kProbes,
    kPeers,
    kMetrics,
    kCount
  };

  static std::size_t PortsOf(const site_shape& shape);
  void StartAll();
  void EndAll() const;
  std::string Address(std::uint32_t index) const;
  std::string EntryAddress(std::uint32_t entry, port use) const;
  // Where the proxy takes control calls, and where it listens for a link.
  std::string ProxyControl() const;
  std::string LinkAddress(std::uint32_t link) const;
  void StartProxy();
  std::string SettingsOf(std::uint32_t entry) const;
  wire::http_request Request(const std::string& method,
                             const std::string& address,
                             const std::string& path,
                             const std::string& body) const;
  site_reply Call(const std::string& method,
                  const std::string& address,
                  const std::string& path,
                  const std::string& body) const;
  static site_reply Send(const wire::http_request& request);

  const site_shape shape_;
  std::vector<std::uint16_t> ports_;
  std::filesystem::path folder_;
  std::vector<pid_t> entries_;
  pid_t platform_ = 0;
  pid_t proxy_ = 0;
};

}  // namespace parsleyhitch::test

#endif  // PARSLEYHITCH_TESTS_SUPPORT_PLATFORM_SITE_H_
