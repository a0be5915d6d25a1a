#include "peer/Framing.h"

namespace dotterelcove {
namespace {

uint32_t ReadLength(std::string_view input) {
  uint32_t length = 0;
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length |= static_cast<uint32_t>(static_cast<unsigned char>(input[i]))
              << (8 * i);
  }
  return length;
}

}  // namespace

std::string EncodeFrame(const wire::FrameT& frame) {
  flatbuffers::FlatBufferBuilder builder(256);
  builder.Finish(wire::Frame::Pack(builder, &frame));
  const uint32_t length = builder.GetSize();
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + length);
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    bytes.push_back(static_cast<char>((length >> (8 * i)) & 0xff));
  }
  bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               length);
  return bytes;
}

Result<bool> DecodeFrame(std::string_view& input, wire::FrameT& frame) {
  if (input.size() < kFrameHeaderBytes) return false;
  const uint32_t length = ReadLength(input);
  if (length > kMaxFrameBytes) {
    return leaf::new_error(FramingError{FramingErrorCode::kOversized});
  }
  if (input.size() < kFrameHeaderBytes + length) return false;
  const auto* data =
      reinterpret_cast<const uint8_t*>(input.data()) + kFrameHeaderBytes;
  flatbuffers::Verifier verifier(data, length);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return leaf::new_error(FramingError{FramingErrorCode::kMalformed});
  }
  frame = wire::FrameT();
  wire::GetFrame(data)->UnPackTo(&frame);
  input.remove_prefix(kFrameHeaderBytes + length);
  return true;
}

}  // namespace dotterelcove
