#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "base/Hash.h"
#include "operator/Commands.h"
#include "operator/EntryCalls.h"
#include "operator/TextTable.h"

namespace dotterelcove {
namespace {

using Json = nlohmann::json;

/// A process of the cell that answers every path with a given response.
struct FakeDaemon {
  std::map<std::string, HttpResponse> answers;
  std::vector<std::string> calls;
  std::string last_caller;
  FieldMap last_query;
  /// Keeps requests without an answer.
  bool withholds_replies = false;
  std::vector<HttpReply> held_replies;
  std::unique_ptr<HttpServer> server;

  explicit FakeDaemon(EventLoop& loop) {
    server = leaf::try_handle_all(
        [&] {
          return HttpServer::Start(
              loop, {}, [this](const HttpRequest& request, HttpReply reply) {
                this->Answer(request, reply);
              });
        },
        [] { return std::unique_ptr<HttpServer>(); });
    cr_assert_not_null(server.get());
  }
  void Answer(const HttpRequest& request, const HttpReply& reply) {
    this->calls.push_back(request.method + " " + request.path);
    if (request.headers.contains("x-caller")) {
      this->last_caller = request.headers.at("x-caller");
    }
    this->last_query = request.query;
    if (this->withholds_replies) {
      this->held_replies.push_back(reply);
      return;
    }
    const auto found = this->answers.find(request.method + " " + request.path);
    reply.Send(found == this->answers.end() ? MakeErrorResponse(404, "no route")
                                            : found->second);
  }
  void Set(const std::string& route, int status, const Json& body) {
    this->answers[route] = {status, body.dump(), "application/json", {}};
  }
  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(this->server->port());
  }
};

/// Two entry daemons and two schedulers, sched-2 being the owner.
struct Fixture {
  EventLoop loop;
  HttpClient http{loop};
  std::ostringstream out;
  std::ostringstream err;
  FakeDaemon entry1{loop};
  FakeDaemon entry2{loop};
  FakeDaemon sched1{loop};
  FakeDaemon sched2{loop};
  CtlContext context{loop, http, out, err};

  Fixture() {
    context.cell.entries = {entry1.url(), entry2.url()};
    context.cell.schedulers = {sched1.url(), sched2.url()};
    context.caller = "desk";
    context.timeout_ms = 300;
    const auto state = [](const char* process, bool is_owner, int epoch) {
      return Json{{"process", process},   {"ready", true},
                  {"is_owner", is_owner}, {"owner_epoch", epoch},
                  {"zone", "kpong"},      {"config_version", 3}};
    };
    entry1.Set("GET /v1/state", 200, state("entry-1", false, 5));
    entry2.Set("GET /v1/state", 200, state("entry-2", false, 5));
    // A paused owner that has not noticed its loss still claims epoch 4.
    sched1.Set("GET /v1/state", 200, state("sched-1", true, 4));
    sched2.Set("GET /v1/state", 200, state("sched-2", true, 5));
  }
  int Run(int (*command)(CtlContext&, const ParsedOptions&),
          std::map<std::string, std::string> values,
          std::vector<std::string> operands) {
    this->out.str("");
    this->err.str("");
    return command(this->context, {std::move(values), std::move(operands), ""});
  }
  bool Printed(const std::string& part) const {
    return (this->out.str() + this->err.str()).find(part) != std::string::npos;
  }
};

const std::map<std::string, std::string> kRequest = {
    {"service", "stepline"}, {"kind", "audit"}, {"key", "k1"}};

}  // namespace

// Guards against a script that takes "not run" or "unknown" for success, or
// runs work again that may have run.
Test(Commands, submit_gives_each_outcome_its_exit_code) {
  struct Case {
    int status;
    const char* outcome;
    int exit_code;
  };
  const Case cases[] = {
      {200, "done", kExitOk},          {202, "accepted", kExitOk},
      {200, "not_run", kExitFailed},   {400, "not_run", kExitFailed},
      {409, "not_run", kExitConflict}, {429, "not_run", kExitUnavailable},
      {200, "unknown", kExitUnknown},  {503, "not_run", kExitUnavailable},
      {503, "unknown", kExitUnknown},  {200, "odd", kExitFailed},
  };
  for (const Case& test_case : cases) {
    Fixture fixture;
    for (FakeDaemon* entry : {&fixture.entry1, &fixture.entry2}) {
      entry->Set("POST /v1/requests", test_case.status,
                 {{"outcome", test_case.outcome}, {"key", "k1"}});
    }
    cr_expect_eq(fixture.Run(RunSubmit, kRequest, {}), test_case.exit_code,
                 "%d %s", test_case.status, test_case.outcome);
    cr_expect_str_eq(fixture.entry1.last_caller.c_str(), "desk");
  }
}

// Guards against "not run" for a request whose answer was lost.
Test(Commands, submit_tells_a_lost_answer_from_an_unreachable_cell) {
  Fixture lost;
  lost.entry1.withholds_replies = true;
  lost.entry2.Set("POST /v1/requests", 503,
                  {{"outcome", "not_run"}, {"key", "k1"}});
  std::map<std::string, std::string> request = kRequest;
  request["wait-s"] = "1";
  cr_expect_eq(lost.Run(RunSubmit, request, {}), kExitUnknown,
               "entry-1 may have run it");

  Fixture gone;
  gone.context.cell.entries = {"http://127.0.0.1:1", "http://127.0.0.1:1"};
  cr_expect_eq(gone.Run(RunSubmit, request, {}), kExitUnavailable);

  Fixture second;
  second.context.cell.entries[0] = "http://127.0.0.1:1";
  second.entry2.Set("POST /v1/requests", 200,
                    {{"outcome", "done"}, {"key", "k1"}, {"answer", "7"}});
  cr_expect_eq(second.Run(RunSubmit, request, {}), kExitOk);
  cr_expect(second.Printed("done"));
}

// Guards against options that are silently dropped from the request.
Test(Commands, submit_refuses_bad_options) {
  struct Case {
    std::map<std::string, std::string> values;
    const char* part;
  };
  const Case cases[] = {
      {{{"kind", "audit"}}, "--service is missing"},
      {{{"service", "s"}}, "--kind is missing"},
      {{{"service", "s"}, {"kind", "k"}, {"tasks", "two"}}, "--tasks = two"},
      {{{"service", "s"}, {"kind", "k"}, {"idempotent", "1"}}, "yes, no"},
      {{{"service", "s"}, {"kind", "k"}, {"wait-s", "0"}}, "--wait-s = 0"},
      {{{"service", "s"}, {"kind", "k"}, {"payload-file", "/none"}},
       "cannot be read"},
  };
  for (const Case& test_case : cases) {
    Fixture fixture;
    cr_expect_eq(fixture.Run(RunSubmit, test_case.values, {}),
                 kExitBadCommandLine, "%s", test_case.part);
    cr_expect(fixture.Printed(test_case.part), "%s", test_case.part);
    cr_expect(fixture.entry1.calls.empty(), "%s", test_case.part);
  }
}

// Guards against asking a process that has lost its ownership.
Test(Commands, ask_the_owner_with_the_highest_epoch) {
  Fixture fixture;
  const std::string job = MakeJobId("desk", "k1");
  fixture.sched1.Set("GET /v1/jobs/" + job, 200, {{"state", "running"}});
  fixture.sched2.Set("GET /v1/jobs/" + job, 200,
                     {{"state", "queued"}, {"reason", "no worker is free"}});
  cr_expect_eq(fixture.Run(RunExplain, {}, {"k1"}), kExitOk);
  cr_expect(fixture.Printed("no worker is free"));
  cr_expect_eq(fixture.Run(RunExplain, {}, {job}), kExitOk, "by job id");
  cr_expect_eq(fixture.Run(RunExplain, {}, {"other"}), kExitFailed);
  fixture.entry1.Set("GET /v1/events", 200,
                     {{{"time", "0000000000010000"}, {"event", "answered"}}});
  cr_expect_eq(fixture.Run(RunExplain, {}, {"other"}), kExitOk,
               "a routed or refused request has events only");
  cr_expect(fixture.Printed("answered"));

  for (FakeDaemon* scheduler : {&fixture.sched1, &fixture.sched2}) {
    scheduler->Set("GET /v1/state", 200, {{"is_owner", false}});
  }
  cr_expect_eq(fixture.Run(RunExplain, {}, {"k1"}), kExitUnavailable);
  cr_expect(fixture.Printed("is the owner now"));
}

// Guards against pages that repeat or leave out jobs, and against an empty list
// for a misspelled state.
Test(Commands, list_follows_pages_and_refuses_unknown_states) {
  Fixture fixture;
  fixture.sched2.Set(
      "GET /v1/jobs", 200,
      {{"jobs", {{{"job", "a"}}, {{"job", "b"}}}}, {"next", "b"}});
  cr_expect_eq(fixture.Run(RunList, {{"limit", "6"}}, {}), kExitOk);
  size_t pages = 0;
  for (const std::string& call : fixture.sched2.calls) {
    pages += call == "GET /v1/jobs" ? 1 : 0;
  }
  cr_expect_eq(pages, 3u);
  cr_expect(fixture.sched2.last_query ==
            (FieldMap{{"after", "b"}, {"limit", "2"}}));
  cr_expect(fixture.Printed("there are more jobs"));
  cr_expect_eq(fixture.Run(RunList, {{"state", "runing"}}, {}),
               kExitBadCommandLine);
  cr_expect(fixture.Printed("did you mean running?"));
}

// Guards against draining the wrong thing.
Test(Commands, drain_picks_the_process_or_the_vm) {
  Fixture fixture;
  fixture.entry2.Set("POST /v1/drain", 202, {{"draining", true}});
  fixture.sched2.Set("POST /v1/drain", 200, {{"draining", true}});
  cr_expect_eq(fixture.Run(RunDrain, {}, {"entry-2"}), kExitOk);
  cr_expect_eq(fixture.entry2.calls.back(), "POST /v1/drain");
  cr_expect_eq(fixture.Run(RunDrain, {}, {"w-07"}), kExitOk);
  cr_expect_eq(fixture.sched2.calls.back(), "POST /v1/drain");
  cr_expect_eq(fixture.sched1.calls.back(), "GET /v1/state");
  fixture.sched2.Set("GET /v1/endpoints", 200, {{"endpoints", Json::array()}});
  const auto set_tasks = [&](int tasks) {
    fixture.sched2.Set("GET /v1/workers", 200,
                       {{"workers", {{{"id", "w-07"}, {"tasks", tasks}}}}});
  };
  set_tasks(1);
  cr_expect_eq(fixture.Run(RunDrain, {{"wait-s", "1"}}, {"w-07"}), kExitUnknown,
               "a task is still there");
  set_tasks(0);
  cr_expect_eq(fixture.Run(RunDrain, {{"wait-s", "1"}}, {"w-07"}), kExitOk);
  cr_expect(fixture.Printed("has drained"));
  fixture.sched2.Set("POST /v1/drain", 404, {{"error", "no such VM"}});
  cr_expect_eq(fixture.Run(RunDrain, {}, {"w-99"}), kExitFailed);
  cr_expect(fixture.Printed("no such VM"));
}

// Guards against a health check that passes with a process or the owner
// missing.
Test(Commands, health_fails_when_a_process_or_the_owner_is_missing) {
  Fixture fixture;
  cr_expect_eq(fixture.Run(RunHealth, {}, {}), kExitOk);
  cr_expect(fixture.Printed("4 of 4 ready, one owner"));
  fixture.entry1.Set("GET /v1/state", 200,
                     {{"process", "entry-1"},
                      {"ready", false},
                      {"not_ready_reason", "stopping"}});
  cr_expect_eq(fixture.Run(RunHealth, {}, {}), kExitFailed);
  cr_expect(fixture.Printed("stopping"));
  Fixture ownerless;
  ownerless.sched1.withholds_replies = true;
  ownerless.sched2.Set("GET /v1/state", 200, {{"ready", true}});
  cr_expect_eq(ownerless.Run(RunHealth, {}, {}), kExitFailed);
  cr_expect(ownerless.Printed("no owner"));
  Fixture storeless;
  for (const int age_ms : {200, 4'200}) {
    for (FakeDaemon* scheduler : {&storeless.sched1, &storeless.sched2}) {
      scheduler->Set("GET /v1/state", 200,
                     {{"ready", true},
                      {"is_owner", scheduler == &storeless.sched2},
                      {"store_age_ms", age_ms}});
    }
    cr_expect_eq(storeless.Run(RunHealth, {}, {}),
                 age_ms < 1'000 ? kExitOk : kExitFailed, "%d", age_ms);
  }
  cr_expect(storeless.Printed("store down for 4 s"));
}

// Guards against a time line that looks complete when a process is missing.
Test(Commands, events_tell_when_a_process_is_missing) {
  Fixture fixture;
  const Json rows = {{{"time", "0000000000010000"}, {"event", "take_over"}}};
  for (FakeDaemon* daemon :
       {&fixture.entry1, &fixture.entry2, &fixture.sched1, &fixture.sched2}) {
    daemon->Set("GET /v1/events", 200, rows);
  }
  cr_expect_eq(fixture.Run(RunEvents, {}, {}), kExitOk);
  cr_expect(fixture.Printed("take_over"));
  fixture.sched1.withholds_replies = true;
  cr_expect_eq(fixture.Run(RunEvents, {}, {}), kExitFailed);
  cr_expect(fixture.Printed("incomplete"));
}

// Guards against an unhelpful end of a mistyped command line.
Test(Commands, command_line_names_the_nearest_and_exits_with_2) {
  struct Case {
    std::vector<std::string> arguments;
    int exit_code;
    const char* part;
  };
  const Case cases[] = {
      {{}, 2, "a command is missing"},
      {{"stauts", "k"}, 2, "did you mean status?"},
      {{"config", "publsh"}, 2, "did you mean config publish?"},
      {{"config"}, 2, "check, diff, publish, show"},
      {{"status", "--jsn", "k"}, 2, "did you mean --json?"},
      {{"status"}, 2, "KEY is missing"},
      {{"status", "a", "b", "--cell", "x"}, 2, "unexpected argument b"},
      {{"status", "k"}, 2, "no cell file"},
      {{"status", "k", "--cell", "/none"}, 2, "cannot be read"},
      {{"--cell", "/none", "status", "k"}, 2, "cannot be read"},
      {{"--help"}, 0, "Usage"},
      {{"config", "--help"}, 0, "config publish"},
      {{"--version"}, 0, DOTTERELCOVE_VERSION},
  };
  for (const Case& test_case : cases) {
    std::ostringstream out;
    std::ostringstream err;
    const int code =
        RunCommandLine({test_case.arguments, "", "", false}, out, err);
    cr_expect_eq(code, test_case.exit_code, "%s", test_case.part);
    cr_expect_neq((out.str() + err.str()).find(test_case.part),
                  std::string::npos, "%s: %s", test_case.part,
                  err.str().c_str());
  }
  for (const CommandSpec& command : AllCommands()) {
    std::istringstream words(command.name);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;) arguments.push_back(word);
    for (const char* option : {"--help", "--version"}) {
      std::vector<std::string> given = arguments;
      given.emplace_back(option);
      std::ostringstream out;
      std::ostringstream err;
      cr_expect_eq(RunCommandLine({given, "", "", false}, out, err), 0, "%s",
                   command.name.c_str());
      cr_expect(!out.str().empty());
    }
  }
}

// Guards against a cell file that is half understood.
Test(Commands, cell_file_faults_name_the_key) {
  struct Case {
    const char* text;
    const char* part;
  };
  const Case cases[] = {
      {"{/* c */ \"entries\": [\"http://a:1\"]}", ""},
      {"[]", "one JSON object"},
      {"{", "one JSON object"},
      {"{\"entrys\": []}", "did you mean entries?"},
      {"{\"entries\": \"http://a:1\"}", "a list of"},
      {"{\"entries\": [\"a:1\"]}", "entries = \"a:1\""},
      {"{\"schedulers\": [7]}", "schedulers = 7"},
      {"{\"tables\": \"http://a:1/\"}", "tables = "},
  };
  for (const Case& test_case : cases) {
    const std::string message = leaf::try_handle_all(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(ParseCellFile(test_case.text, "cell.json"));
          return std::string();
        },
        [](const CellFileError& error) { return error.message; },
        [] { return std::string("other"); });
    cr_expect_eq(message.empty(), std::string(test_case.part).empty(), "%s",
                 message.c_str());
    cr_expect_neq(message.find(test_case.part), std::string::npos, "%s",
                  message.c_str());
  }
}

// Guards against text from a caller that changes the operator's terminal.
Test(Commands, tables_show_no_control_characters) {
  std::ostringstream out;
  PrintTable({{"KEY", "STATE"}, {{"a\033[2Jb", ""}, {"é", "x"}}}, out);
  const std::string text = out.str();
  cr_expect_str_eq(text.c_str(), "KEY     STATE\na?[2Jb  -\né       x\n");
}

}  // namespace dotterelcove
