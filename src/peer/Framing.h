/// Frames on a TCP stream: a 4-byte little-endian length, then a FlatBuffers
/// Frame. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/NameTable.h"
#include "dotterelcove/Result.h"
#include "peer/wire/Frame_generated.h"

namespace dotterelcove {

inline constexpr size_t kFrameHeaderBytes = 4;
/// A larger length can only come from corrupt or hostile input; results that do
/// not fit are passed through the object store.
inline constexpr size_t kMaxFrameBytes = 1 << 20;

enum class FramingErrorCode : uint8_t { kOversized, kMalformed };
inline constexpr auto kFramingErrorNames = MakeNameTable<FramingErrorCode>(
    {{FramingErrorCode::kOversized, "oversized"},
     {FramingErrorCode::kMalformed, "malformed"}});

/// The received bytes are not a valid frame; the connection must be closed.
struct FramingError {
  FramingErrorCode code;
};

/// Returns the bytes of one frame, header included.
std::string EncodeFrame(const wire::FrameT& frame);

/// Decodes the first frame in `input` and removes it from the front. Returns
/// false when more bytes are needed, or a FramingError. `frame` and `input` are
/// changed only when true is returned.
Result<bool> DecodeFrame(std::string_view& input, wire::FrameT& frame);

/// Wraps one message of the `Body` union in a frame.
template <class T>
wire::FrameT MakeFrame(T message) {
  wire::FrameT frame;
  frame.body.Set(std::move(message));
  return frame;
}

}  // namespace dotterelcove
