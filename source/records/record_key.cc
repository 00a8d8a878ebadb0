// Each kind of record has its own key prefix.

#include "records/record_key.h"

namespace parsleyhitch::records {

namespace {

constexpr char kSubmitted[] = "submitted/";
constexpr char kCancelled[] = "cancelled/";
constexpr char kProgress[] = "progress/";

std::string Key(const work::job_submitted& record) {
  return kSubmitted + record.content.job.value();
}

std::string Key(const work::job_cancelled& record) {
  return kCancelled + record.job.value();
}

std::string Key(const work::job_progressed& record) {
  return kProgress + record.job.value();
}

std::string Key(const work::job_deleted& record) {
  switch (record.part) {
    case work::job_part::kSubmission:
      return kSubmitted + record.job.value();
    case work::job_part::kCancellation:
      return kCancelled + record.job.value();
    case work::job_part::kPhase:
      break;
  }
  return kProgress + record.job.value();
}

std::string UnitKey(const work::unit_id& unit) {
  return "unit/" + unit.job.value() + "/" + std::to_string(unit.occurrence) +
         "/" + std::to_string(unit.step) + "/" + std::to_string(unit.index);
}

std::string Key(const work::unit_progressed& record) {
  return UnitKey(work::UnitOf(record.job, record.progress));
}

std::string Key(const work::unit_deleted& record) {
  return UnitKey(record.unit);
}

std::string WorkerKey(const work::worker_id& worker) {
  return "worker/" + worker.value();
}

std::string Key(const work::worker_admitted& record) {
  return WorkerKey(record.worker);
}

std::string Key(const work::worker_released& record) {
  return WorkerKey(record.worker);
}

std::string Key(const work::member_joined& record) {
  return "member/" + record.entry.value();
}

std::string Key(const work::leader_elected&) {
  return "leader";
}

}  // namespace

std::string KeyOf(const work::record& record) {
  return std::visit([](const auto& each) { return Key(each); }, record);
}

bool IsDeletion(const work::record& record) {
  return std::holds_alternative<work::unit_deleted>(record) ||
         std::holds_alternative<work::worker_released>(record) ||
         std::holds_alternative<work::job_deleted>(record);
}

std::optional<work::job_id> JobDeletedBy(std::string_view deleted_key) {
  constexpr std::string_view kLast = kProgress;
  if (!deleted_key.starts_with(kLast))
    return {};
  return work::job_id(std::string(deleted_key.substr(kLast.size())));
}

}  // namespace parsleyhitch::records
