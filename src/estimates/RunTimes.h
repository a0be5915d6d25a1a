/// What is known of the ratio of actual to stated run times. Designed for
/// callers whose statements are wrong by up to half, for workers of kinds that
/// differ in speed by a factor of two and more, and for a few runs in a hundred
/// that take several times as long as usual. docs/design/run-times.md gives the
/// reasons for each choice.
///
/// `RunTimes` collects samples, `FitRunTimes` turns them into estimates that
/// are cheap to look up.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "dotterelcove/Types.h"

namespace dotterelcove::estimates {

/// Size of the encoded samples: they are kept in one row of the store.
inline constexpr size_t kMaxRowBytes = 16'384;
/// Keys that are kept at a time. As many as usually fit into the row.
inline constexpr size_t kMaxKeys = 128;
/// Kinds of worker whose speeds differ by less than this factor are treated as
/// equal.
inline constexpr double kLeastKindRatio = 1.25;
/// The same for a kind of which fewer runs than this are known.
inline constexpr double kLeastKindSamples = 20;
/// Learnt run times within this factor of the stated ones are those stated. The
/// delay of orders and reports alone makes short runs seem longer by so much.
inline constexpr double kLeastWorkRatio = 1.1;

/// What a run time depends on. An empty kind stands for a typical worker.
struct RunKey {
  std::string queue;
  std::string image;
  std::string kind;

  friend bool operator<(const RunKey& a, const RunKey& b) {
    return std::tie(a.queue, a.image, a.kind) <
           std::tie(b.queue, b.image, b.kind);
  }
};

/// Histogram bins are an eighth of an octave wide: estimates are right to about
/// 4 %. They cover ratios from 1/32 to 32; others count into the outermost.
inline constexpr int kBinsPerOctave = 8;
inline constexpr int kOctaves = 5;
inline constexpr size_t kBins = 2 * kBinsPerOctave * kOctaves + 1;

/// A histogram of ratios on a logarithmic scale. The weight of a run decays
/// with time and with later runs.
struct RatioSamples {
  std::array<float, kBins> weights{};
  /// Time of day of the last run, for which the weights are given.
  int64_t updated_ms = 0;
};

struct RunTimes {
  std::map<RunKey, RatioSamples> by_key;
};

/// Adds a run that was done. Ignored without a stated run time, and for names
/// of unreasonable length. `now_ms` is a time of day, since samples outlive
/// the process.
void Record(RunTimes& times, const RunKey& key, TimeMs stated_ms,
            TimeMs actual_ms, int64_t now_ms);

/// Adds the samples of `other`.
void Merge(RunTimes& times, const RunTimes& other);

/// Estimates made of samples; all logarithms are to base 2.
struct RunTimeFit {
  struct Work {
    /// Median ratio on a typical worker.
    double log_ratio = 0;
    /// The 90th percentile relative to the median.
    double log_spread = 0;
    double samples = 0;
  };
  /// By queue and image.
  std::map<std::pair<std::string, std::string>, Work> works;
  /// Run time on a kind of worker relative to a typical one. Empty unless the
  /// kinds differ.
  std::map<std::string, double> kinds;
  /// What the two above leave unexplained, where it is not small.
  std::map<RunKey, double> rest;
};

RunTimeFit FitRunTimes(const RunTimes& times, int64_t now_ms);

/// Whether all estimates of the two agree to within 3 %.
bool AreClose(const RunTimeFit& a, const RunTimeFit& b);

struct Expectation {
  TimeMs median_ms = 0;
  /// Nine of ten runs take no longer. Equal to the median without samples.
  TimeMs high_ms = 0;
  /// Weight of the samples of this queue and image.
  double samples = 0;
};

/// The run time to expect; the stated one as far as nothing else is known.
Expectation Expect(const RunTimeFit& fit, const RunKey& key, TimeMs stated_ms);

/// The run time on a worker of the kind relative to a typical one; 1 if
/// unknown.
double KindFactor(const RunTimeFit& fit, const std::string& kind);

/// At most `kMaxRowBytes`: the keys with the least weight are left out.
std::string EncodeRunTimes(const RunTimes& times, int64_t now_ms);
/// Nothing for a text that is not wholly valid.
std::optional<RunTimes> DecodeRunTimes(const std::string& text);

}  // namespace dotterelcove::estimates
