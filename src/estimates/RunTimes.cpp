#include "estimates/RunTimes.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <vector>

namespace dotterelcove::estimates {
namespace {

using Json = nlohmann::json;

/// After this time without a run, what is known counts half.
constexpr double kHalfLifeMs = 30 * 60 * 1'000;
/// The weight of a key's samples stays below this, so that a lasting change of
/// run times shows after some hundred runs.
constexpr double kMaxWeight = 200;
/// Weight of the stated run time, in runs. A single run that takes seven times
/// as long as usual then changes the estimate by a quarter.
constexpr double kStatedWeight = 8;
/// A key counts for no more than this in the comparison of kinds, so that a
/// frequent kind of work does not outweigh all others.
constexpr double kMaxFitWeight = 50;
constexpr double kHighQuantile = 0.9;
constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMiddleBin = kBins / 2;
constexpr int kRowVersion = 1;
/// Weights are stored in tenths of a run.
constexpr double kStoredUnit = 0.1;

size_t BinOf(double ratio) {
  const double bin = std::round(std::log2(ratio) * kBinsPerOctave);
  constexpr auto kMost = static_cast<double>(kMiddleBin);
  return static_cast<size_t>(std::clamp(bin, -kMost, kMost) + kMost);
}

/// The ratio's logarithm at `position` bins after the first one's middle.
double LogAt(double position) {
  return (position - static_cast<double>(kMiddleBin)) / kBinsPerOctave;
}

double TotalOf(const RatioSamples& samples) {
  return std::accumulate(samples.weights.begin(), samples.weights.end(), 0.0);
}

void Scale(RatioSamples& samples, double factor) {
  for (float& weight : samples.weights) {
    weight = static_cast<float>(weight * factor);
  }
}

/// What is left of a weight at `now_ms`. A clock that was set back since does
/// not make it grow.
double DecayFactor(const RatioSamples& samples, int64_t now_ms) {
  const auto age_ms = static_cast<double>(now_ms - samples.updated_ms);
  return std::exp2(-std::max(age_ms, 0.0) / kHalfLifeMs);
}

void DecayTo(RatioSamples& samples, int64_t now_ms) {
  Scale(samples, DecayFactor(samples, now_ms));
  samples.updated_ms = now_ms;
}

void LimitWeight(RatioSamples& samples) {
  const double total = TotalOf(samples);
  if (total > kMaxWeight) Scale(samples, kMaxWeight / total);
}

/// The logarithm of a quantile, interpolated within its bin.
double LogQuantile(const RatioSamples& samples, double quantile) {
  const double wanted = quantile * TotalOf(samples);
  double sum = 0;
  for (size_t i = 0; i < kBins; ++i) {
    const double weight = samples.weights[i];
    if (weight <= 0 || sum + weight < wanted) {
      sum += weight;
      continue;
    }
    return LogAt(static_cast<double>(i) + (wanted - sum) / weight - 0.5);
  }
  return 0;
}

/// Removes the key with the least weight.
void EvictOne(RunTimes& times, int64_t now_ms) {
  const auto weight_of = [&](const auto& entry) {
    return TotalOf(entry.second) * DecayFactor(entry.second, now_ms);
  };
  times.by_key.erase(std::min_element(times.by_key.begin(), times.by_key.end(),
                                      [&](const auto& a, const auto& b) {
                                        return weight_of(a) < weight_of(b);
                                      }));
}

/// Returns nothing for a key that is not kept.
RatioSamples* FindOrAdd(RunTimes& times, const RunKey& key, int64_t now_ms) {
  const auto found = times.by_key.find(key);
  if (found != times.by_key.end()) return &found->second;
  if (key.queue.size() + key.image.size() + key.kind.size() > kMaxNameBytes) {
    return nullptr;
  }
  if (times.by_key.size() >= kMaxKeys) EvictOne(times, now_ms);
  RatioSamples& samples = times.by_key[key];
  samples.updated_ms = now_ms;
  return &samples;
}

}  // namespace

void Record(RunTimes& times, const RunKey& key, TimeMs stated_ms,
            TimeMs actual_ms, int64_t now_ms) {
  if (stated_ms <= 0 || actual_ms < 0) return;
  RatioSamples* samples = FindOrAdd(times, key, now_ms);
  if (samples == nullptr) return;
  DecayTo(*samples, now_ms);
  const double ratio = static_cast<double>(std::max<TimeMs>(actual_ms, 1)) /
                       static_cast<double>(stated_ms);
  samples->weights[BinOf(ratio)] += 1;
  LimitWeight(*samples);
}

void Merge(RunTimes& times, const RunTimes& other) {
  for (const auto& [key, added] : other.by_key) {
    RatioSamples* samples = FindOrAdd(times, key, added.updated_ms);
    if (samples == nullptr) continue;
    const int64_t at_ms = std::max(samples->updated_ms, added.updated_ms);
    RatioSamples decayed = added;
    DecayTo(decayed, at_ms);
    DecayTo(*samples, at_ms);
    for (size_t i = 0; i < kBins; ++i) {
      samples->weights[i] += decayed.weights[i];
    }
    LimitWeight(*samples);
  }
}

namespace {

using WorkKey = std::pair<std::string, std::string>;

/// The samples of one key as the fit uses them.
struct FitCell {
  const RatioSamples* samples = nullptr;
  const RunKey* key = nullptr;
  size_t work = 0;
  size_t kind = 0;
  double log_median = 0;
  double samples_weight = 0;
  double fit_weight = 0;
};

struct FitTable {
  std::vector<FitCell> cells;
  std::vector<WorkKey> works;
  std::vector<std::string> kinds;
  /// Per work and per kind: weight of the samples, and effect.
  std::vector<double> work_weights;
  std::vector<double> work_effects;
  std::vector<double> kind_weights;
  std::vector<double> kind_effects;
};

FitTable MakeFitTable(const RunTimes& times, int64_t now_ms) {
  FitTable table;
  std::map<WorkKey, size_t> works;
  std::map<std::string, size_t> kinds;
  for (const auto& [key, samples] : times.by_key) {
    FitCell cell;
    cell.samples_weight = TotalOf(samples) * DecayFactor(samples, now_ms);
    // What has decayed to less than a tenth of a run tells nothing.
    if (cell.samples_weight < kStoredUnit) continue;
    cell.samples = &samples;
    cell.key = &key;
    cell.log_median = LogQuantile(samples, 0.5);
    cell.fit_weight = std::min(cell.samples_weight, kMaxFitWeight);
    const WorkKey work{key.queue, key.image};
    cell.work = works.try_emplace(work, works.size()).first->second;
    cell.kind = kinds.try_emplace(key.kind, kinds.size()).first->second;
    table.cells.push_back(cell);
  }
  table.works.resize(works.size());
  for (const auto& [work, index] : works) table.works[index] = work;
  table.kinds.resize(kinds.size());
  for (const auto& [kind, index] : kinds) table.kinds[index] = kind;
  table.work_weights.assign(works.size(), 0);
  table.work_effects.assign(works.size(), 0);
  table.kind_weights.assign(kinds.size(), 0);
  table.kind_effects.assign(kinds.size(), 0);
  for (const FitCell& cell : table.cells) {
    table.work_weights[cell.work] += cell.samples_weight;
    table.kind_weights[cell.kind] += cell.samples_weight;
  }
  return table;
}

/// Sets each effect of one dimension to the weighted mean of what the other
/// dimension leaves of the medians.
void FitOneSide(const std::vector<FitCell>& cells, size_t FitCell::*side,
                size_t FitCell::*other, std::vector<double>& effects,
                const std::vector<double>& other_effects) {
  std::vector<double> sums(effects.size(), 0);
  std::vector<double> weights(effects.size(), 0);
  for (const FitCell& cell : cells) {
    const double left = cell.log_median - other_effects[cell.*other];
    sums[cell.*side] += cell.fit_weight * left;
    weights[cell.*side] += cell.fit_weight;
  }
  for (size_t i = 0; i < effects.size(); ++i) {
    if (weights[i] > 0) effects[i] = sums[i] / weights[i];
  }
}

bool IsKnown(const FitTable& table, size_t kind) {
  return !table.kinds[kind].empty() &&
         table.kind_weights[kind] >= kLeastKindSamples;
}

/// Makes the effects of the known kinds relative to a typical worker, and
/// those of all others zero.
void CentreKinds(FitTable& table) {
  double sum = 0;
  double weight = 0;
  for (size_t i = 0; i < table.kinds.size(); ++i) {
    if (!IsKnown(table, i)) continue;
    sum += table.kind_effects[i] * table.kind_weights[i];
    weight += table.kind_weights[i];
  }
  for (size_t i = 0; i < table.kinds.size(); ++i) {
    double& effect = table.kind_effects[i];
    effect = IsKnown(table, i) ? effect - sum / weight : 0;
  }
}

bool DoKindsDiffer(const FitTable& table) {
  double least = 0;
  double most = 0;
  bool any = false;
  for (size_t i = 0; i < table.kinds.size(); ++i) {
    if (!IsKnown(table, i)) continue;
    const double effect = table.kind_effects[i];
    least = any ? std::min(least, effect) : effect;
    most = any ? std::max(most, effect) : effect;
    any = true;
  }
  return any && most - least >= std::log2(kLeastKindRatio);
}

/// Splits the medians into an effect of the work and one of the kind of worker.
void FitEffects(FitTable& table) {
  constexpr int kRounds = 12;
  for (int i = 0; i < kRounds; ++i) {
    FitOneSide(table.cells, &FitCell::work, &FitCell::kind, table.work_effects,
               table.kind_effects);
    FitOneSide(table.cells, &FitCell::kind, &FitCell::work, table.kind_effects,
               table.work_effects);
    CentreKinds(table);
  }
  if (!DoKindsDiffer(table)) {
    std::fill(table.kind_effects.begin(), table.kind_effects.end(), 0);
  }
  FitOneSide(table.cells, &FitCell::work, &FitCell::kind, table.work_effects,
             table.kind_effects);
}

/// Draws an effect towards none, the more the fewer runs it is known from, and
/// drops a small one.
double Shrink(double effect, double weight) {
  const double shrunk = effect * weight / (weight + kStatedWeight);
  return std::abs(shrunk) < std::log2(kLeastWorkRatio) ? 0 : shrunk;
}

/// Adds the samples of a cell relative to its median.
void AddCentred(const FitCell& cell, RatioSamples& sum) {
  const auto shift =
      static_cast<int>(std::round(cell.log_median * kBinsPerOctave));
  const double scale = cell.samples_weight / TotalOf(*cell.samples);
  for (size_t i = 0; i < kBins; ++i) {
    const int bin =
        std::clamp(static_cast<int>(i) - shift, 0, static_cast<int>(kBins) - 1);
    sum.weights[static_cast<size_t>(bin)] +=
        static_cast<float>(cell.samples->weights[i] * scale);
  }
}

}  // namespace

RunTimeFit FitRunTimes(const RunTimes& times, int64_t now_ms) {
  FitTable table = MakeFitTable(times, now_ms);
  FitEffects(table);
  RunTimeFit fit;
  std::vector<RatioSamples> centred(table.works.size());
  for (const FitCell& cell : table.cells) {
    AddCentred(cell, centred[cell.work]);
    const double rest = cell.log_median - table.work_effects[cell.work] -
                        table.kind_effects[cell.kind];
    const double shrunk = Shrink(rest, cell.samples_weight);
    if (shrunk != 0) fit.rest[*cell.key] = shrunk;
  }
  for (size_t i = 0; i < table.works.size(); ++i) {
    const double weight = table.work_weights[i];
    const double spread = std::max(LogQuantile(centred[i], kHighQuantile), 0.0);
    fit.works[table.works[i]] = {Shrink(table.work_effects[i], weight),
                                 spread * weight / (weight + kStatedWeight),
                                 weight};
  }
  for (size_t i = 0; i < table.kinds.size(); ++i) {
    const double effect = table.kind_effects[i];
    if (effect != 0) fit.kinds[table.kinds[i]] = effect;
  }
  return fit;
}

namespace {

/// log2(1.03): estimates within 3 % count as equal.
constexpr double kCloseLog = 0.0426;

template <class Map, class Get>
bool AreMapsClose(const Map& a, const Map& b, Get get) {
  if (a.size() != b.size()) return false;
  return std::equal(
      a.begin(), a.end(), b.begin(), [&](const auto& x, const auto& y) {
        return !(x.first < y.first) && !(y.first < x.first) &&
               std::abs(get(x.second) - get(y.second)) < kCloseLog;
      });
}

}  // namespace

bool AreClose(const RunTimeFit& a, const RunTimeFit& b) {
  const auto plain = [](double value) { return value; };
  return AreMapsClose(a.works, b.works,
                      [](const auto& work) { return work.log_ratio; }) &&
         AreMapsClose(a.works, b.works,
                      [](const auto& work) { return work.log_spread; }) &&
         AreMapsClose(a.kinds, b.kinds, plain) &&
         AreMapsClose(a.rest, b.rest, plain);
}

namespace {

TimeMs TimesPowerOfTwo(TimeMs time_ms, double log) {
  if (log == 0) return time_ms;
  return static_cast<TimeMs>(
      std::llround(static_cast<double>(time_ms) * std::exp2(log)));
}

double LogOfKind(const RunTimeFit& fit, const std::string& kind) {
  const auto found = fit.kinds.find(kind);
  return found == fit.kinds.end() ? 0 : found->second;
}

}  // namespace

Expectation Expect(const RunTimeFit& fit, const RunKey& key, TimeMs stated_ms) {
  double log = LogOfKind(fit, key.kind);
  const auto rest = fit.rest.find(key);
  if (rest != fit.rest.end()) log += rest->second;
  const auto work = fit.works.find({key.queue, key.image});
  if (work == fit.works.end()) {
    const TimeMs expected_ms = TimesPowerOfTwo(stated_ms, log);
    return {expected_ms, expected_ms, 0};
  }
  log += work->second.log_ratio;
  return {TimesPowerOfTwo(stated_ms, log),
          TimesPowerOfTwo(stated_ms, log + work->second.log_spread),
          work->second.samples};
}

double KindFactor(const RunTimeFit& fit, const std::string& kind) {
  return std::exp2(LogOfKind(fit, kind));
}

namespace {

Json WeightsToJson(const RatioSamples& samples) {
  Json weights = Json::array();
  for (size_t i = 0; i < kBins; ++i) {
    const long stored = std::lround(samples.weights[i] / kStoredUnit);
    if (stored <= 0) continue;
    weights.push_back(i);
    weights.push_back(stored);
  }
  return weights;
}

/// Returns false unless the array consists of pairs of a bin and a weight.
bool WeightsFromJson(const Json& json, RatioSamples& samples) {
  if (!json.is_array() || json.size() % 2 != 0) return false;
  for (size_t i = 0; i < json.size(); i += 2) {
    if (!json[i].is_number_unsigned() || !json[i + 1].is_number_unsigned()) {
      return false;
    }
    const auto bin = json[i].get<uint64_t>();
    const double weight =
        static_cast<double>(json[i + 1].get<uint64_t>()) * kStoredUnit;
    // Rounding may have added a little to the weights.
    if (bin >= kBins || weight > 2 * kMaxWeight) return false;
    samples.weights[bin] = static_cast<float>(weight);
  }
  return true;
}

/// An entry: queue, image, kind and weights, decayed to the time of the row.
bool EntryFromJson(const Json& entry, int64_t at_ms, RunTimes& times) {
  constexpr size_t kMembers = 4;
  if (!entry.is_array() || entry.size() != kMembers) return false;
  for (size_t i = 0; i < 3; ++i) {
    if (!entry[i].is_string()) return false;
  }
  RatioSamples samples;
  samples.updated_ms = at_ms;
  if (!WeightsFromJson(entry[3], samples)) return false;
  LimitWeight(samples);
  times.by_key[{entry[0].get<std::string>(), entry[1].get<std::string>(),
                entry[2].get<std::string>()}] = samples;
  return true;
}

}  // namespace

std::string EncodeRunTimes(const RunTimes& times, int64_t now_ms) {
  using Entry = std::pair<double, std::string>;
  std::vector<Entry> entries;
  for (const auto& [key, samples] : times.by_key) {
    RatioSamples decayed = samples;
    DecayTo(decayed, std::max(now_ms, samples.updated_ms));
    const double weight = TotalOf(decayed);
    const Json weights = WeightsToJson(decayed);
    if (weights.empty()) continue;
    const Json entry{key.queue, key.image, key.kind, weights};
    entries.emplace_back(
        weight, entry.dump(-1, ' ', false, Json::error_handler_t::replace));
  }
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const Entry& a, const Entry& b) { return a.first > b.first; });
  std::string text = R"({"v":)" + std::to_string(kRowVersion) + R"(,"at":)" +
                     std::to_string(now_ms) + R"(,"keys":[)";
  bool is_first = true;
  for (const auto& [weight, entry] : entries) {
    constexpr size_t kClosingBytes = 3;
    if (text.size() + entry.size() + kClosingBytes > kMaxRowBytes) continue;
    if (!is_first) text += ',';
    is_first = false;
    text += entry;
  }
  return text + "]}";
}

std::optional<RunTimes> DecodeRunTimes(const std::string& text) {
  if (text.size() > kMaxRowBytes) return std::nullopt;
  const Json row = Json::parse(text, nullptr, false);
  if (!row.is_object()) return std::nullopt;
  const auto version = row.find("v");
  const auto at = row.find("at");
  const auto keys = row.find("keys");
  if (version == row.end() || at == row.end() || keys == row.end()) {
    return std::nullopt;
  }
  if (*version != kRowVersion || !at->is_number_integer() ||
      at->get<int64_t>() < 0 || !keys->is_array() || keys->size() > kMaxKeys) {
    return std::nullopt;
  }
  RunTimes times;
  for (const Json& entry : *keys) {
    if (!EntryFromJson(entry, at->get<int64_t>(), times)) return std::nullopt;
  }
  return times;
}

}  // namespace dotterelcove::estimates
