/// Frames on a TCP stream: a 4-byte little-endian length, then a FlatBuffers
/// Frame. Nothing here touches a socket.
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
/// A larger length can only be garbage or an attack; answers that do not fit
/// travel through the object store.
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

/// Takes the first whole frame off the front of `input`. Returns false when
/// more bytes are needed, or a FramingError. `frame` is set and `input`
/// shortened only when true is returned.
Result<bool> DecodeFrame(std::string_view& input, wire::FrameT& frame);

/// Makes a frame around one message of the union.
template <class T>
wire::FrameT MakeFrame(T message) {
  wire::FrameT frame;
  frame.body.Set(std::move(message));
  return frame;
}

}  // namespace dotterelcove
