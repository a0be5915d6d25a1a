#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "base/Base64.h"
#include "border/caller/CallerAnswer.h"
#include "border/caller/CallerRequest.h"
#include "tests/EntryHarness.h"

namespace dotterelcove {
namespace {

/// Returns the validation error of a body, with status 0 for none.
CallerRequestError ErrorOf(const std::string& body) {
  return leaf::try_handle_all(
      [&]() -> Result<CallerRequestError> {
        BOOST_LEAF_CHECK(ParseCallerRequest(body, "c", *MakeTestConfig(), {}));
        return CallerRequestError{0, "", ""};
      },
      [](const CallerRequestError& fault) { return fault; },
      [] {
        return CallerRequestError{-1, "", ""};
      });
}

/// Returns a valid body of the placed kind with `more` appended to its fields.
std::string BodyWith(const std::string& more) {
  return R"({"service":"stepline","kind":"audit","key":"k")" + more + "}";
}

CallerRequest Parse(const std::string& body) {
  return leaf::try_handle_all(
      [&] { return ParseCallerRequest(body, "c", *MakeTestConfig(), {}); },
      [](const CallerRequestError& fault) {
        cr_assert_fail("%s: %s", fault.field.c_str(), fault.message.c_str());
        return CallerRequest();
      },
      [] { return CallerRequest(); });
}

}  // namespace

// Guards against a body that is silently misinterpreted, and against an error
// that does not name the field to change.
Test(CallerRequest, refuses_bad_bodies) {
  struct Case {
    const char* name;
    std::string body;
    int status;
    const char* field;
  };
  const std::string routed = R"({"service":"stepline","kind":"dispatch",)"
                             R"("key":"k")";
  const Case cases[] = {
      {"empty", "", 400, ""},
      {"truncated", R"({"service":"stepline")", 400, ""},
      {"not an object", "[]", 400, ""},
      {"text after the object", BodyWith("") + "x", 400, ""},
      {"nesting that would exhaust the stack",
       BodyWith(R"(,"payload":)" + std::string(100'000, '[') +
                std::string(100'000, ']')),
       400, ""},
      {"key twice", BodyWith(R"(,"key":"k2")"), 400, "\"key\""},
      {"unknown key", BodyWith(R"(,"dead_line":1)"), 400, "\"dead_line\""},
      {"unknown size", BodyWith(R"(,"resources":{"cores":1})"), 400,
       "resources.\"cores\""},
      {"service missing", R"({"kind":"audit","key":"k"})", 400, "service"},
      {"service of wrong type", R"({"service":1,"kind":"a","key":"k"})", 400,
       "service"},
      {"unknown service", R"({"service":"no","kind":"audit","key":"k"})", 404,
       "service"},
      {"unknown kind", R"({"service":"stepline","kind":"no","key":"k"})", 404,
       "kind"},
      {"unknown team", BodyWith(R"(,"team":"no")"), 404, "team"},
      {"key missing", R"({"service":"stepline","kind":"audit"})", 400, "key"},
      {"empty key", R"({"service":"stepline","kind":"audit","key":""})", 400,
       "key"},
      {"key with a slash",
       R"({"service":"stepline","kind":"audit","key":"a/b"})", 400, "key"},
      {"key too long",
       R"({"service":"stepline","kind":"audit","key":")" +
           std::string(257, 'k') + "\"}",
       400, "key"},
      {"negative deadline", BodyWith(R"(,"deadline_ms":-1)"), 400,
       "deadline_ms"},
      {"fractional deadline", BodyWith(R"(,"deadline_ms":1.5)"), 400,
       "deadline_ms"},
      {"deadline beyond 64 bits",
       BodyWith(R"(,"deadline_ms":18446744073709551615)"), 400, "deadline_ms"},
      {"routed deadline too long", routed + R"(,"deadline_ms":10001})", 400,
       "deadline_ms"},
      {"negative memory", BodyWith(R"(,"resources":{"memory_mb":-5})"), 400,
       "resources.memory_mb"},
      {"absurd processors",
       BodyWith(R"(,"resources":{"milli_cores":1000000001})"), 400,
       "resources.milli_cores"},
      {"resources of wrong type", BodyWith(R"(,"resources":[])"), 400,
       "resources"},
      {"no tasks", BodyWith(R"(,"tasks":0)"), 400, "tasks"},
      {"absurd tasks", BodyWith(R"(,"tasks":10001)"), 400, "tasks"},
      {"idempotent of wrong type", BodyWith(R"(,"idempotent":"yes")"), 400,
       "idempotent"},
      {"unknown mode", BodyWith(R"(,"mode":"later")"), 400, "mode"},
      {"routed and async", routed + R"(,"mode":"async"})", 400, "mode"},
      {"routed with tasks", routed + R"(,"tasks":2})", 400, "tasks"},
      {"payload of wrong type", BodyWith(R"(,"payload":7)"), 400, "payload"},
      {"payload not base64",
       BodyWith(R"(,"payload":"a","payload_encoding":"base64")"), 400,
       "payload"},
      {"unknown encoding", BodyWith(R"(,"payload_encoding":"gzip")"), 400,
       "payload_encoding"},
      {"payload too large",
       BodyWith(R"(,"payload":")" + std::string(kMaxPayloadBytes + 1, 'x') +
                "\""),
       413, "payload"},
  };
  for (const Case& test_case : cases) {
    const CallerRequestError fault = ErrorOf(test_case.body);
    cr_expect_eq(fault.status, test_case.status, "%s: status %d",
                 test_case.name, fault.status);
    cr_expect_eq(fault.field, test_case.field, "%s: field %s", test_case.name,
                 fault.field.c_str());
    cr_expect_neq(fault.message.find("allowed: "), std::string::npos, "%s: %s",
                  test_case.name, fault.message.c_str());
  }
}

// Guards against an error that a caller cannot match to its request.
Test(CallerRequest, faults_name_the_key_once_it_is_read) {
  cr_expect_eq(ErrorOf(BodyWith(R"(,"tasks":0)")).key, "k");
  cr_expect_eq(ErrorOf(R"({"key":"k")").key, "");
}

// Guards against defaults of the configuration that are not applied.
Test(CallerRequest, fills_in_defaults) {
  const CallerRequest request = Parse(BodyWith(""));
  cr_expect_eq(request.team, "stairs");
  cr_expect(request.size == (Resources{1'000, 512, 0}));
  cr_expect_eq(request.tasks, 1u);
  cr_expect(request.idempotent);
  cr_expect_eq(request.deadline_ms, 0);
  const CallerRequest routed =
      Parse(R"({"service":"stepline","kind":"dispatch","key":"k"})");
  cr_expect_eq(routed.deadline_ms, 3'000);
}

// Guards against accepting two bodies that run differently under one key.
Test(CallerRequest, digest_covers_what_runs) {
  const std::string base = DigestOf(Parse(BodyWith("")));
  for (const char* more :
       {R"(,"payload":"x")", R"(,"tasks":2)", R"(,"idempotent":false)",
        R"(,"resources":{"memory_mb":513})"}) {
    cr_expect_neq(DigestOf(Parse(BodyWith(more))), base, "%s", more);
  }
  cr_expect_eq(DigestOf(Parse(BodyWith(R"(,"deadline_ms":5)"))), base);
}

// Guards against bytes altered while rendering the answer.
Test(CallerAnswer, keeps_every_byte) {
  struct Case {
    const char* name;
    std::string body;
    const char* encoding;
  };
  const Case cases[] = {{"empty", "", "text"},
                        {"text", "шат \"7\"\n", "text"},
                        {"bytes", std::string("\xff\0\x80", 3), "base64"},
                        {"overlong form", "\xc0\xaf", "base64"}};
  for (const Case& test_case : cases) {
    CallerAnswer answer;
    answer.outcome = Outcome::kDone;
    answer.body = test_case.body;
    const auto json = nlohmann::json::parse(RenderAnswer(answer).body);
    cr_expect_eq(json.value("encoding", ""), test_case.encoding, "%s",
                 test_case.name);
    const std::string text = json.value("answer", "");
    const std::string back = json.value("encoding", "") == "text"
                                 ? text
                                 : DecodeBase64(text).value_or("invalid");
    cr_expect_eq(back, test_case.body, "%s", test_case.name);
    cr_expect_eq(RenderRawAnswer(answer).body, test_case.body, "%s",
                 test_case.name);
  }
}

}  // namespace dotterelcove
