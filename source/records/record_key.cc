// Each kind of record has its own key prefix.

#include "records/record_key.h"

namespace parsleyhitch::records {

namespace {

std::string Key(const work::job_submitted& record) {
  return "submitted/" + record.content.job.value();
}

std::string Key(const work::job_cancelled& record) {
  return "cancelled/" + record.job.value();
}

std::string Key(const work::job_progressed& record) {
  return "progress/" + record.job.value();
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
         std::holds_alternative<work::worker_released>(record);
}

}  // namespace parsleyhitch::records
