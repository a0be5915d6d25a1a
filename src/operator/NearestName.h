#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dotterelcove {

/// The candidate with the smallest edit distance to a misspelled `name`,
/// counting inserted, removed, changed and swapped letters. The distance may be
/// at most a third of the longer word, but 1 is always allowed. Empty when no
/// candidate is that close.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& candidates);

/// "unknown option --forec, did you mean --force?" for `what` "option". The
/// suggestion is omitted when no candidate is close enough.
std::string DescribeUnknown(std::string_view what, std::string_view name,
                            const std::vector<std::string>& candidates);

}  // namespace dotterelcove
