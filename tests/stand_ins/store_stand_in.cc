// Calls and encodings are those of the platform's store: POST /log-append, GET
// /log-read and GET /log-newest.

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

wire::http_reply ReplyWithJson(std::uint32_t status, const json& body) {
  return JsonReply(status, body.dump());
}

std::string EncodeBigEndian64(std::uint64_t value) {
  std::string bytes(sizeof(value), '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(bytes.data()),
                               value);
  return bytes;
}

std::string EncodeBase64(const std::string& bytes) {
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

void store_stand_in::HandleCall(const wire::http_call& call,
                                const runtime::http_responder& respond) {
  if (down || (sheds && shedder_.Refuses())) {
    respond(ReplyWithJson(503, json::object()));
    return;
  }
  if (call.path == "/log-append") {
    const wire::http_reply reply = Append(call);
    const bool lost = reply.status == 200 && lose_answers > 0;
    lose_answers -= lost ? 1 : 0;
    respond(lost ? ReplyWithJson(500, json::object()) : reply);
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
  respond(ReplyWithJson(404, json::object()));
}

wire::http_reply store_stand_in::Append(const wire::http_call& call) {
  const std::string topic = QueryText(call.query, "topic");
  // The body holds records in the encoding of a log page, which has two
  // positions in front of them: the log's end and its first position.
  const auto page = wire::ValueOf([&] {
    return platform::DecodeLogPage(
        EncodeBigEndian64(0) + EncodeBigEndian64(0) + call.body, 0);
  });
  if (!page)
    return ReplyWithJson(400, json::object());
  const auto result = writers_.TryAppend(
      topic + "/" + QueryText(call.query, "producer"),
      QueryNumber(call.query, "epoch"), QueryNumber(call.query, "sequence"),
      [&] {
        for (const platform::keyed_record& each : page->records)
          topics_[topic].records.push_back(
              {.key = each.key, .value = each.value});
        WakeReaders(topic);
        return topics_[topic].records.size();
      });
  switch (result.outcome) {
    case work::append_outcome::kStored:
      return ReplyWithJson(200, {{"end", result.end}});
    case work::append_outcome::kFenced:
      return ReplyWithJson(409, {{"reason", "fenced"}});
    default:
      return ReplyWithJson(409,
                           {{"reason", "seq"}, {"sequence", result.expected}});
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
    log.first_offset = log.records.size();
}

wire::http_reply store_stand_in::Newest(const std::string& topic) const {
  const auto found = topics_.find(topic);
  if (found == topics_.end())
    return ReplyWithJson(404, json::object());
  std::map<std::string, std::uint64_t> newest;
  const std::vector<stored_record>& records = found->second.records;
  for (std::uint64_t i = 0; i < records.size(); ++i)
    newest[records[i].key] = i;
  json items = json::array();
  for (const auto& [key, offset] : newest) {
    if (records[offset].value.empty())
      continue;
    items.push_back({{"key", key},
                     {"value", EncodeBase64(records[offset].value)},
                     {"offset", offset}});
  }
  return ReplyWithJson(200, {{"items", std::move(items)},
                             {"hasMore", false},
                             {"end", records.size()}});
}

wire::http_reply store_stand_in::Page(const std::string& topic,
                                      std::uint64_t from) const {
  static const topic_log none;
  const auto found = topics_.find(topic);
  const topic_log& log = found == topics_.end() ? none : found->second;
  if (from < log.first_offset)
    return ReplyWithJson(410, {{"first", log.first_offset}});
  std::string body = EncodeBigEndian64(log.records.size()) +
                     EncodeBigEndian64(log.first_offset);
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
  auto pending = std::make_shared<pending_read>(
      pending_read{.topic = topic,
                   .from = from,
                   .respond = respond,
                   .timer = asio::steady_timer(io_, wait)});
  pending_reads_.push_back(pending);
  pending->timer.async_wait([this, pending](const auto&) {
    if (pending->answered)
      return;
    pending->answered = true;
    pending_reads_.remove(pending);
    pending->respond(Page(pending->topic, pending->from));
  });
}

void store_stand_in::WakeReaders(const std::string& topic) {
  std::list<std::shared_ptr<pending_read>> others;
  for (const auto& pending : std::exchange(pending_reads_, {})) {
    if (pending->topic != topic) {
      others.push_back(pending);
      continue;
    }
    pending->answered = true;
    pending->timer.cancel();
    pending->respond(Page(pending->topic, pending->from));
  }
  pending_reads_.splice(pending_reads_.end(), others);
}

}  // namespace parsleyhitch::stand_ins
