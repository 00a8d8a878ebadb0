// Appends, reads and the newest records as the platform's page gives them.

#include "stand_ins/store_stand_in.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/store_codec.h"
#include "stand_ins/query.h"
#include "stand_ins/stand_in.h"

namespace parsleyhitch::stand_ins {

namespace {

using json = nlohmann::json;

wire::http_reply Json(std::uint32_t status, const json& body) {
  return JsonReply(status, body.dump());
}

std::string Big64(std::uint64_t value) {
  std::string bytes(sizeof(value), '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()),
                               value);
  return bytes;
}

std::string Base64(const std::string& bytes) {
  using boost::archive::iterators::base64_from_binary;
  using boost::archive::iterators::transform_width;
  using encoder =
      base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(encoder(bytes.begin()), encoder(bytes.end()));
  while (text.size() % 4 != 0)
    text.push_back('=');
  return text;
}

}  // namespace

void store_stand_in::Take(const wire::http_call& call,
                          const runtime::http_responder& respond) {
  if (down) {
    respond(Json(503, json::object()));
    return;
  }
  if (call.path == "/log-append") {
    const wire::http_reply reply = Append(call);
    const bool lost = reply.status == 200 && lose_answers > 0;
    lose_answers -= lost ? 1 : 0;
    respond(lost ? Json(500, json::object()) : reply);
    return;
  }
  if (call.path == "/log-newest") {
    respond(Newest(QueryText(call.query, "topic")));
    return;
  }
  if (call.path == "/log-read") {
    Read(call, respond);
    return;
  }
  respond(Json(404, json::object()));
}

wire::http_reply store_stand_in::Append(const wire::http_call& call) {
  const std::string topic = QueryText(call.query, "topic");
  // A page is its end and first position, and then records in the same form.
  const auto page = wire::ValueOf([&] {
    return platform::DecodeLogPage(Big64(0) + Big64(0) + call.body, 0);
  });
  if (!page)
    return Json(400, json::object());
  const auto verdict =
      writers_.Take(topic + "/" + QueryText(call.query, "producer"),
                    QueryNumber(call.query, "epoch"),
                    QueryNumber(call.query, "sequence"), [&] {
                      for (const platform::keyed_record& each : page->records)
                        topics_[topic].records.push_back(
                            {.key = each.key, .value = each.value});
                      WakeReaders(topic);
                      return topics_[topic].records.size();
                    });
  switch (verdict.outcome) {
    case work::append_outcome::kStored:
      return Json(200, {{"end", verdict.end}});
    case work::append_outcome::kFenced:
      return Json(409, {{"reason", "fenced"}});
    default:
      return Json(409, {{"reason", "seq"}, {"sequence", verdict.expected}});
  }
}

void store_stand_in::Put(const std::string& topic,
                         std::string key,
                         std::string value) {
  topics_[topic].records.push_back(
      {.key = std::move(key), .value = std::move(value)});
  WakeReaders(topic);
}

void store_stand_in::Compact() {
  for (auto& [name, log] : topics_)
    log.first = log.records.size();
}

wire::http_reply store_stand_in::Newest(const std::string& topic) const {
  const auto found = topics_.find(topic);
  if (found == topics_.end())
    return Json(404, json::object());
  std::map<std::string, std::uint64_t> newest;
  const std::vector<stored_record>& records = found->second.records;
  for (std::uint64_t i = 0; i < records.size(); ++i)
    newest[records[i].key] = i;
  json items = json::array();
  for (const auto& [key, offset] : newest) {
    if (records[offset].value.empty())
      continue;
    items.push_back({{"key", key},
                     {"value", Base64(records[offset].value)},
                     {"offset", offset}});
  }
  return Json(200, {{"items", std::move(items)},
                    {"hasMore", false},
                    {"end", records.size()}});
}

wire::http_reply store_stand_in::Page(const std::string& topic,
                                      std::uint64_t from) const {
  static const topic_log none;
  const auto found = topics_.find(topic);
  const topic_log& log = found == topics_.end() ? none : found->second;
  if (from < log.first)
    return Json(410, {{"first", log.first}});
  std::string body = Big64(log.records.size()) + Big64(log.first);
  for (std::uint64_t i = from; i < log.records.size(); ++i)
    body +=
        platform::EncodeKeyedRecord(log.records[i].key, log.records[i].value);
  return {.status = 200,
          .content_type = "application/octet-stream",
          .body = std::move(body)};
}

void store_stand_in::Read(const wire::http_call& call,
                          const runtime::http_responder& respond) {
  const std::string topic = QueryText(call.query, "topic");
  const std::uint64_t from = QueryNumber(call.query, "from");
  const std::chrono::milliseconds wait(QueryNumber(call.query, "waitMs"));
  if (from < topics_[topic].records.size() || wait.count() == 0) {
    respond(Page(topic, from));
    return;
  }
  auto parked = std::make_shared<parked_read>(
      parked_read{.topic = topic,
                  .from = from,
                  .respond = respond,
                  .timer = asio::steady_timer(io_, wait)});
  parked_.push_back(parked);
  parked->timer.async_wait([this, parked](const auto&) {
    if (parked->answered)
      return;
    parked->answered = true;
    parked_.remove(parked);
    parked->respond(Page(parked->topic, parked->from));
  });
}

void store_stand_in::WakeReaders(const std::string& topic) {
  std::list<std::shared_ptr<parked_read>> others;
  for (const auto& parked : std::exchange(parked_, {})) {
    if (parked->topic != topic) {
      others.push_back(parked);
      continue;
    }
    parked->answered = true;
    parked->timer.cancel();
    parked->respond(Page(parked->topic, parked->from));
  }
  parked_.splice(parked_.end(), others);
}

}  // namespace parsleyhitch::stand_ins
