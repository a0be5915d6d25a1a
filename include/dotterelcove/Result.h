#pragma once

#include <boost/leaf.hpp>

namespace dotterelcove {

namespace leaf = boost::leaf;

/// Result of a synchronous operation in the interface of a layer. Its error
/// objects are the plain structs that this layer declares.
template <class T>
using Result = leaf::result<T>;

}  // namespace dotterelcove
