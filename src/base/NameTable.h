#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace dotterelcove {

/// Maps one enumerator to its external name.
template <class E>
struct NameRow {
  E value;
  std::string_view name;
};

/// The external names of an enumeration, as used in JSON, logs and metrics.
template <class E, std::size_t N>
struct NameTable {
  std::array<NameRow<E>, N> rows;
};

template <class E, std::size_t N>
constexpr NameTable<E, N> MakeNameTable(const NameRow<E> (&rows)[N]) {
  NameTable<E, N> table{};
  std::copy(std::begin(rows), std::end(rows), table.rows.begin());
  return table;
}

/// Returns the name of `value`, or "invalid" for a value that is not in the
/// table, which can only have been received from another process.
template <class E, std::size_t N>
constexpr std::string_view NameOf(const NameTable<E, N>& table, E value) {
  for (const auto& row : table.rows) {
    if (row.value == value) return row.name;
  }
  return "invalid";
}

/// Returns the enumerator called `name`, or std::nullopt.
template <class E, std::size_t N>
constexpr std::optional<E> ValueOf(const NameTable<E, N>& table,
                                   std::string_view name) {
  for (const auto& row : table.rows) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace dotterelcove
