// Stand-in for the platform's store over HTTP: keyed topics with one partition,
// writers that are fenced by epoch and sequence, reads that wait for records,
// and faults that a test injects.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_STORE_STAND_IN_H_
#define PARSLEYHITCH_TESTS_STAND_INS_STORE_STAND_IN_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/http_server.h"
#include "support/store_writers.h"

namespace parsleyhitch::stand_ins {

// One record of a keyed topic. An empty value deletes the key.
struct stored_record {
  std::string key;
  std::string value;
};

// Chooses the calls that an overloaded server refuses: two of five.
class shedder {
 public:
  bool Refuses() { return ++calls_ % 5 < 2; }

 private:
  std::uint64_t calls_ = 0;
};

class store_stand_in {
 public:
  explicit store_stand_in(asio::io_context& io) : io_(io) {}

  // Answers every call with 503, or a share of them, and does nothing.
  bool down = false;
  bool sheds = false;
  // Number of appends that take effect but are answered with an error.
  std::uint32_t lose_answers = 0;

  void HandleCall(const wire::http_call& call,
                  const runtime::http_responder& respond);
  // Appends a record, as the operator or a worker does.
  void Put(const std::string& topic, std::string key, std::string value);
  // Compacts the topics: from then on reads from a position below the current
  // end fail with 410, and only the newest record of each key can be read.
  void Compact();

 private:
  struct topic_log {
    std::vector<stored_record> records;
    // Reads from a lower position fail with 410.
    std::uint64_t first_offset = 0;
  };
  // A read that waits for records.
  struct pending_read {
    std::string topic;
    std::uint64_t from = 0;
    runtime::http_responder respond;
    asio::steady_timer timer;
    bool answered = false;
  };

  wire::http_reply Append(const wire::http_call& call);
  wire::http_reply Newest(const std::string& topic) const;
  wire::http_reply Page(const std::string& topic, std::uint64_t from) const;
  void Read(const wire::http_call& call,
            const runtime::http_responder& respond);
  void WakeReaders(const std::string& topic);

  asio::io_context& io_;
  shedder shedder_;
  std::map<std::string, topic_log> topics_;
  tests::store_writers writers_;
  std::list<std::shared_ptr<pending_read>> pending_reads_;
};

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_STORE_STAND_IN_H_
