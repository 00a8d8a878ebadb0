// The topics of the catalog and of the workers are defined by the platform;
// those of the records and of the units belong to parsleyhitch.

#include "platform/store_calls.h"

#include <curl/curl.h>

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/catalog_codec.h"
#include "platform/store_codec.h"
#include "platform/worker_codec.h"
#include "records/record_key.h"
#include "wire/work_codec.h"

namespace parsleyhitch::platform {

namespace {

constexpr char kRecordsTopic[] = "keyed.parsleyhitch";
constexpr char kUnitsTopic[] = "keyed.parsleyhitch-units";
constexpr char kCatalogTopic[] = "keyed.op";
constexpr char kWorkersTopic[] = "keyed.servers";
constexpr char kCatalogKey[] = "config";
// Followed by the name of a failure domain. The record has no meaning beyond
// its key.
constexpr std::string_view kEvacuationPrefix = "evacuate/";

// Longest time for one read, however slowly it makes progress.
constexpr work::duration kMaxReadTime{30000};

// Largest page of a feed. A page of the catalog holds at least one version;
// more would only delay the newest one.
constexpr std::uint32_t kMaxCatalogPageKb = 300;
constexpr std::uint32_t kMaxPageKb = 1024;

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kForbidden = 403;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kConflict = 409;
constexpr std::uint32_t kTrimmed = 410;
constexpr std::uint32_t kConditionFailed = 412;
constexpr std::uint32_t kTooLarge = 413;
constexpr std::uint32_t kServerError = 500;
constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kGatewayTimeout = 504;

std::string TopicName(work::feed source) {
  switch (source) {
    case work::feed::kRecords:
      return kRecordsTopic;
    case work::feed::kUnits:
      return kUnitsTopic;
    case work::feed::kCatalog:
      return kCatalogTopic;
    case work::feed::kWorkers:
      break;
  }
  return kWorkersTopic;
}

std::string UrlEscape(const std::string& text) {
  char* escaped =
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size()));
  if (escaped == nullptr)
    return {};
  std::string result(escaped);
  curl_free(escaped);
  return result;
}

std::string TopicUrl(const std::string& store,
                     const char* path,
                     const std::string& topic) {
  return "http://" + store + path + "?topic=" + topic + "&part=0";
}

std::uint32_t MaxPageKb(work::feed source) {
  return source == work::feed::kCatalog ? kMaxCatalogPageKb : kMaxPageKb;
}

const wire::http_response* ResponseOf(const wire::http_outcome& outcome) {
  return std::get_if<wire::http_response>(&outcome);
}

work::store_exchange ExchangeOf(const wire::http_response& response) {
  return {.status = response.status,
          .bytes_written = response.bytes_written,
          .bytes_read = response.body.size()};
}

work::store_exchange ExchangeOf(const wire::http_outcome& outcome) {
  const wire::http_response* response = ResponseOf(outcome);
  if (response != nullptr)
    return ExchangeOf(*response);
  const auto& failure = std::get<wire::http_failure>(outcome);
  return {.sent = failure.sent,
          .bytes_written = failure.bytes_written,
          .bytes_read = failure.bytes_read};
}

// What the record says of the evacuation of a failure domain: a tombstone ends
// it. Empty for any other record.
std::optional<work::feed_value> DecodeEvacuation(work::feed source,
                                                 const keyed_record& record) {
  const bool evacuates = source == work::feed::kCatalog &&
                         record.key.starts_with(kEvacuationPrefix) &&
                         record.key.size() > kEvacuationPrefix.size();
  if (!evacuates)
    return {};
  return work::domain_evacuation{
      .failure_domain =
          work::failure_domain_id(record.key.substr(kEvacuationPrefix.size())),
      .active = !record.value.empty()};
}

// The decoded value of a record. Empty if the record is a tombstone, has a key
// that is not used here, or cannot be decoded; only the latter adds to
// `findings`.
std::optional<work::feed_value> DecodeValue(work::feed source,
                                            const keyed_record& record,
                                            model::findings& findings) {
  if (auto evacuation = DecodeEvacuation(source, record))
    return evacuation;
  if (record.value.empty())
    return {};
  const std::string place = TopicName(source) + "/" +
                            std::to_string(record.offset) + "/" + record.key;
  const auto decode = [&](auto decoder) -> std::optional<work::feed_value> {
    return wire::Handle(
        decoder,
        [](auto value) {
          return std::optional<work::feed_value>(std::move(value));
        },
        [&](const model::findings& errors) {
          for (const model::finding& each : errors) {
            findings.push_back(
                {.place = place + each.place, .message = each.message});
          }
          return std::optional<work::feed_value>();
        });
  };
  switch (source) {
    case work::feed::kRecords:
    case work::feed::kUnits:
      return decode([&] { return wire::DecodeRecord(record.value); });
    case work::feed::kCatalog:
      if (record.key != kCatalogKey)
        return {};
      return decode([&] { return DecodeCatalog(record.value); });
    case work::feed::kWorkers:
      break;
  }
  return decode([&] { return DecodeWorker(record.key, record.value); });
}

std::vector<work::feed_item> DecodeItems(
    work::feed source,
    const std::vector<keyed_record>& records,
    model::findings& findings) {
  std::vector<work::feed_item> items;
  items.reserve(records.size());
  for (const keyed_record& each : records) {
    items.push_back({.offset = each.offset,
                     .key = each.key,
                     .value = DecodeValue(source, each, findings),
                     .deleted = each.value.empty()});
  }
  return items;
}

std::string Encode(const work::record& record) {
  const std::string value =
      records::IsDeletion(record) ? std::string() : wire::EncodeRecord(record);
  return EncodeKeyedRecord(records::KeyOf(record), value);
}

work::append_outcome DecodeAppendOutcome(const wire::http_outcome& outcome) {
  const wire::http_response* response = ResponseOf(outcome);
  if (response == nullptr) {
    return std::get<wire::http_failure>(outcome).sent
               ? work::append_outcome::kUnknown
               : work::append_outcome::kRefused;
  }
  switch (response->status) {
    case kOk:
      return work::append_outcome::kStored;
    case kConflict:
      return DecodeErrorReason(response->body) == "fenced"
                 ? work::append_outcome::kFenced
                 : work::append_outcome::kOutOfSequence;
    case kConditionFailed:
      return work::append_outcome::kOutOfSequence;
    case kBadRequest:
    case kForbidden:
    case kTooLarge:
      return work::append_outcome::kRejected;
    case kServerError:
    case kBadGateway:
    case kGatewayTimeout:
      return work::append_outcome::kUnknown;
    default:
      return work::append_outcome::kRefused;
  }
}

work::feed_unread DecodeReadFailure(work::call_number call,
                                    work::feed source,
                                    const work::store_exchange& exchange,
                                    work::timestamp at) {
  const bool trimmed = exchange.status == kTrimmed;
  return {.at = at,
          .call = call,
          .source = source,
          .why = trimmed ? work::read_failure::kTrimmed
                         : work::read_failure::kUnavailable,
          .exchange = exchange};
}

decoded_event DecodePage(const work::read_feed& effect,
                         const wire::http_response& response,
                         work::timestamp at) {
  return wire::Handle(
      [&] { return DecodeLogPage(response.body, effect.from); },
      [&](const log_page& page) -> decoded_event {
        model::findings findings;
        auto items = DecodeItems(effect.source, page.records, findings);
        return {
            .event = work::feed_read{.at = at,
                                     .call = effect.call,
                                     .source = effect.source,
                                     .next = effect.from + page.records.size(),
                                     .items = std::move(items),
                                     .end = page.end,
                                     .exchange = ExchangeOf(response)},
            .findings = std::move(findings)};
      },
      [&](const model::findings& findings) -> decoded_event {
        return {.event = DecodeReadFailure(effect.call, effect.source,
                                           ExchangeOf(response), at),
                .findings = findings};
      });
}

decoded_event DecodeNewest(const work::read_newest& effect,
                           const wire::http_response& response,
                           work::timestamp at) {
  return wire::Handle(
      [&] { return DecodeNewestPage(response.body); },
      [&](const newest_page& page) -> decoded_event {
        model::findings findings = page.unreadable;
        const bool more = page.has_more && !page.records.empty();
        std::string next_page_after =
            more ? page.records.back().key : std::string();
        auto items = DecodeItems(effect.source, page.records, findings);
        return {.event = work::newest_read{.at = at,
                                           .call = effect.call,
                                           .source = effect.source,
                                           .end = page.end,
                                           .items = std::move(items),
                                           .next_page_after =
                                               std::move(next_page_after),
                                           .exchange = ExchangeOf(response)},
                .findings = std::move(findings)};
      },
      [&](const model::findings& findings) -> decoded_event {
        return {.event = DecodeReadFailure(effect.call, effect.source,
                                           ExchangeOf(response), at),
                .findings = findings};
      });
}

}  // namespace

std::uint64_t EncodedBytes(const work::record& record) {
  return Encode(record).size();
}

wire::http_request RequestFor(const std::string& store,
                              const work::append_records& effect) {
  std::string body;
  for (const work::record& each : effect.records)
    body += Encode(each);
  return {.method = "POST",
          .url = TopicUrl(store, "/log-append", TopicName(effect.target)) +
                 "&producer=" + UrlEscape(effect.writer) +
                 "&epoch=" + std::to_string(effect.epoch) +
                 "&sequence=" + std::to_string(effect.sequence),
          .headers = {"Content-Type: application/octet-stream"},
          .body = std::move(body),
          .timeout = effect.timeout};
}

wire::http_request RequestFor(const std::string& store,
                              const work::read_feed& effect) {
  return {.method = "GET",
          .url = TopicUrl(store, "/log-read", TopicName(effect.source)) +
                 "&from=" + std::to_string(effect.from) +
                 "&waitMs=" + std::to_string(effect.wait.count()) +
                 "&maxKb=" + std::to_string(MaxPageKb(effect.source)),
          .timeout = kMaxReadTime,
          .stall_timeout = effect.timeout};
}

wire::http_request RequestFor(const std::string& store,
                              const work::read_newest& effect) {
  // Despite its name, `dependsOn` is the key after which the page starts.
  const std::string after =
      effect.after.empty() ? "" : "&dependsOn=" + UrlEscape(effect.after);
  return {
      .method = "GET",
      .url = TopicUrl(store, "/log-newest", TopicName(effect.source)) + after,
      .timeout = kMaxReadTime,
      .stall_timeout = effect.timeout};
}

decoded_event DecodeOutcome(const work::append_records& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at) {
  work::append_outcome append_result = DecodeAppendOutcome(outcome);
  std::uint64_t end = 0;
  if (append_result == work::append_outcome::kStored) {
    const auto decoded = wire::ValueOf(
        [&] { return DecodeEndOffset(ResponseOf(outcome)->body); });
    end = decoded.value_or(0);
    if (!decoded)
      append_result = work::append_outcome::kUnknown;
  }
  model::findings store_error;
  const wire::http_response* response = ResponseOf(outcome);
  if (response != nullptr && response->status != kOk) {
    store_error =
        model::OneFinding("append", std::to_string(response->status) + " " +
                                        response->body.substr(0, 200));
  }
  return {.event = work::append_answered{.at = at,
                                         .call = effect.call,
                                         .outcome = append_result,
                                         .end = end,
                                         .exchange = ExchangeOf(outcome)},
          .findings = std::move(store_error)};
}

decoded_event DecodeOutcome(const work::read_feed& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at) {
  const wire::http_response* response = ResponseOf(outcome);
  if (response != nullptr && response->status == kOk)
    return DecodePage(effect, *response, at);
  return {.event = DecodeReadFailure(effect.call, effect.source,
                                     ExchangeOf(outcome), at)};
}

decoded_event DecodeOutcome(const work::read_newest& effect,
                            const wire::http_outcome& outcome,
                            work::timestamp at) {
  const wire::http_response* response = ResponseOf(outcome);
  if (response != nullptr && response->status == kOk)
    return DecodeNewest(effect, *response, at);
  // The store answers 404 for a topic that has never been written to.
  if (response != nullptr && response->status == kNotFound) {
    return {.event = work::newest_read{.at = at,
                                       .call = effect.call,
                                       .source = effect.source,
                                       .exchange = ExchangeOf(outcome)}};
  }
  return {.event = DecodeReadFailure(effect.call, effect.source,
                                     ExchangeOf(outcome), at)};
}

}  // namespace parsleyhitch::platform
