#pragma once

#include <boost/leaf.hpp>

namespace dotterelcove {

namespace leaf = boost::leaf;

/// The result of a synchronous operation at the border of a layer. The error
/// objects that travel with it are the plain structs of that layer.
template <class T>
using Result = leaf::result<T>;

}  // namespace dotterelcove
