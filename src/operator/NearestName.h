#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dotterelcove {

/// The candidate that a misspelled `name` most likely stands for: the smallest
/// number of inserted, removed, changed or swapped letters, at most a third of
/// the longer word (and at least one). Empty when none is that near.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& candidates);

/// "unknown option --forec, did you mean --force?" for `what` "option". The
/// question is left out when no candidate is near.
std::string DescribeUnknown(std::string_view what, std::string_view name,
                            const std::vector<std::string>& candidates);

}  // namespace dotterelcove
