#include "cranberryplank/entry/upkeep_waves.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

std::string EncodeWaveProgress(const std::set<std::string>& begun) {
  return nlohmann::json(begun).dump();
}

std::set<std::string> DecodeWaveProgress(std::string_view value) {
  const auto rows = nlohmann::json::parse(value, nullptr, false);
  try {
    return rows.get<std::set<std::string>>();
  } catch (const nlohmann::json::exception& error) {
    LogLine(LogLevel::kError, "unreadable_wave_progress").Field("reason", error.what());
    return {};
  }
}

void UpkeepWaves::Set(TimePoint now, const UpkeepWave& request) {
  auto [it, added] = m_waves.try_emplace(request.number);
  it->second.request = request;
  if (added || it->second.seen == TimePoint{}) {
    it->second.seen = now;
    LogLine(LogLevel::kInfo, "wave")
        .Field("wave", request.number)
        .Field("vms", request.vms.size())
        .Field("within_ms", request.within.count())
        .Field("at_once", request.max_at_once);
  }
}

void UpkeepWaves::LoadProgress(std::int64_t wave, const std::set<std::string>& begun) {
  m_waves[wave].begun.insert(begun.begin(), begun.end());
}

void UpkeepWaves::RecordBegun(std::int64_t wave, const std::string& vm) {
  WaveProgress& progress = m_waves.at(wave);
  progress.begun.insert(vm);
  progress.stored = false;
}

void UpkeepWaves::GiveUp(std::int64_t wave, const std::string& vm) {
  m_waves.at(wave).given_up.insert(vm);
}

void UpkeepWaves::Update(TimePoint now, const VmInventory& list, const WaveProgress& wave) {
  const bool done = std::all_of(
      wave.request.vms.begin(), wave.request.vms.end(),
      [&](const std::string& vm) { return wave.IsSettled(vm) || list.IsRemoved(now, vm); });
  const bool report = (!wave.running_reported && !done) || (done && !wave.done_reported);
  if ((report || !wave.stored) && !m_storing) {
    Store(wave, done);
  }
}

void UpkeepWaves::Store(const WaveProgress& wave, bool done) {
  const std::int64_t number = wave.request.number;
  m_storing = true;
  const std::size_t stored = wave.begun.size();
  const std::weak_ptr<int> lifetime = m_lifetime;
  StateWriter::ExtraChange change;
  change.writes = {m_format->EncodeWaveStatus(number, done),
                   {fmt::format("{}{}", kWavePrefix, number), EncodeWaveProgress(wave.begun)}};
  change.done = [this, lifetime, number, done, stored](TimePoint) {
    if (!lifetime.expired()) {
      OnStored(number, done, stored);
    }
  };
  m_writer->Put(std::move(change));
}

void UpkeepWaves::OnStored(std::int64_t number, bool done, std::size_t begun) {
  m_storing = false;
  WaveProgress& wave = m_waves.at(number);
  wave.running_reported = true;
  wave.done_reported = done;
  wave.stored = begun == wave.begun.size();
  LogLine(LogLevel::kInfo, "wave_status")
      .Field("wave", number)
      .Field("begun", begun)
      .Field("done", done);
}

}  // namespace cranberryplank
