#include "operator/NearestName.h"

#include <algorithm>
#include <cstddef>

namespace dotterelcove {
namespace {

/// Optimal string alignment distance: Levenshtein distance in which a swap of
/// two adjacent letters counts as one edit, since that is a common misspelling.
size_t Distance(std::string_view a, std::string_view b) {
  std::vector<std::vector<size_t>> steps(a.size() + 1,
                                         std::vector<size_t>(b.size() + 1));
  for (size_t i = 0; i <= a.size(); ++i) steps[i][0] = i;
  for (size_t j = 0; j <= b.size(); ++j) steps[0][j] = j;
  for (size_t i = 1; i <= a.size(); ++i) {
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t change = a[i - 1] == b[j - 1] ? 0 : 1;
      steps[i][j] = std::min({steps[i - 1][j] + 1, steps[i][j - 1] + 1,
                              steps[i - 1][j - 1] + change});
      const bool swapped =
          i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
      if (swapped) {
        steps[i][j] = std::min(steps[i][j], steps[i - 2][j - 2] + 1);
      }
    }
  }
  return steps[a.size()][b.size()];
}

}  // namespace

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& candidates) {
  std::string best;
  size_t best_distance = 0;
  for (const std::string& candidate : candidates) {
    const size_t longer = std::max(name.size(), candidate.size());
    const size_t allowed = std::max<size_t>(1, longer / 3);
    const size_t distance = Distance(name, candidate);
    if (distance > allowed) continue;
    if (!best.empty() && distance >= best_distance) continue;
    best = candidate;
    best_distance = distance;
  }
  return best;
}

std::string DescribeUnknown(std::string_view what, std::string_view name,
                            const std::vector<std::string>& candidates) {
  std::string text = "unknown ";
  text.append(what).append(" ").append(name);
  const std::string nearest = NearestName(name, candidates);
  if (!nearest.empty()) text.append(", did you mean ").append(nearest) += "?";
  return text;
}

}  // namespace dotterelcove
