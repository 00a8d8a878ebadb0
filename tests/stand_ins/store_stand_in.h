// The platform's store over HTTP: keyed topics of one partition, writers with
// epochs and sequences, reads that wait, and ways to fail.

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

// One record of a keyed topic; a value that is empty drops the key.
struct stored_record {
  std::string key;
  std::string value;
};

class store_stand_in {
 public:
  explicit store_stand_in(asio::io_context& io) : io_(io) {}

  // Refuses every call.
  bool down = false;
  // So many appends take effect and are answered with an error.
  std::uint32_t lose_answers = 0;

  void Take(const wire::http_call& call,
            const runtime::http_responder& respond);
  // What the operator or a worker writes.
  void Put(const std::string& topic, std::string key, std::string value);
  // Forgets all records but the newest of each key.
  void Compact();

 private:
  struct topic_log {
    std::vector<stored_record> records;
    // Reads from below this position fail.
    std::uint64_t first = 0;
  };
  struct parked_read {
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
  std::map<std::string, topic_log> topics_;
  tests::store_writers writers_;
  std::list<std::shared_ptr<parked_read>> parked_;
};

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_STORE_STAND_IN_H_
