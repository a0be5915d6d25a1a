#include <criterion/criterion.h>

#include <string>

#include "peer/Framing.h"

namespace dotterelcove {
namespace {

enum class Decoded { kFrame, kIncomplete, kOversized, kMalformed };

Decoded Decode(std::string& buffer, wire::FrameT& frame) {
  return leaf::try_handle_all(
      [&]() -> Result<Decoded> {
        std::string_view input = buffer;
        BOOST_LEAF_AUTO(complete, DecodeFrame(input, frame));
        buffer.assign(input);
        return complete ? Decoded::kFrame : Decoded::kIncomplete;
      },
      [](const FramingError& error) {
        return error.code == FramingErrorCode::kOversized ? Decoded::kOversized
                                                          : Decoded::kMalformed;
      },
      [] { return Decoded::kMalformed; });
}

std::string MakeCancelBytes() {
  wire::CancelT cancel;
  cancel.call = 7;
  cancel.key = "k1";
  return EncodeFrame(MakeFrame(std::move(cancel)));
}

}  // namespace

// Guards against frames that are lost or merged when TCP splits them across
// reads.
Test(Framing, decodes_a_frame_that_arrives_byte_by_byte) {
  const std::string bytes = MakeCancelBytes() + MakeCancelBytes();
  std::string buffer;
  wire::FrameT frame;
  int frames = 0;
  for (const char byte : bytes) {
    buffer.push_back(byte);
    if (Decode(buffer, frame) != Decoded::kFrame) continue;
    frames++;
    cr_assert_eq(frame.body.AsCancel()->call, 7u);
    cr_assert_str_eq(frame.body.AsCancel()->key.c_str(), "k1");
  }
  cr_assert_eq(frames, 2);
  cr_assert(buffer.empty());
}

// Guards against malformed or hostile input from a peer crashing the process or
// causing unbounded allocation.
Test(Framing, refuses_bad_bytes) {
  struct Case {
    const char* name;
    std::string bytes;
    Decoded expected;
  };
  std::string corrupt = MakeCancelBytes();
  for (size_t i = kFrameHeaderBytes; i < corrupt.size(); ++i) {
    corrupt[i] = static_cast<char>(0xee);
  }
  const Case cases[] = {
      {"empty", "", Decoded::kIncomplete},
      {"header only", std::string("\x10\0\0\0", 4), Decoded::kIncomplete},
      {"length over the limit", std::string("\xff\xff\xff\x7f", 4),
       Decoded::kOversized},
      {"zero length", std::string("\0\0\0\0", 4), Decoded::kMalformed},
      {"garbage of the right length", corrupt, Decoded::kMalformed},
  };
  for (const Case& test_case : cases) {
    std::string buffer = test_case.bytes;
    wire::FrameT frame;
    cr_expect_eq(static_cast<int>(Decode(buffer, frame)),
                 static_cast<int>(test_case.expected), "%s", test_case.name);
  }
}

}  // namespace dotterelcove
