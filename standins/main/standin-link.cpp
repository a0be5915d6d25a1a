// TCP relay between processes under test.
//   standin-link --port N --links FILE
// FILE holds a JSON array of {"name", "listen_port", "target"}. The control
// interface is POST /control/cut with {"link": name or prefix*, "cut":
// "none" | "forward" | "backward" | "both"}.
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

#include "http/HttpServer.h"
#include "standins/LinkStandin.h"

namespace dotterelcove {
namespace {

void HandleControl(LinkStandin& links, const HttpRequest& request,
                   const HttpReply& reply) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (request.path != "/control/cut" || !body.is_object()) {
    reply.Send(MakeErrorResponse(400, "expected POST /control/cut"));
    return;
  }
  const auto cut = ValueOf(kLinkCutNames, body.value("cut", std::string()));
  if (!cut) {
    reply.Send(MakeErrorResponse(400, "cut: none, forward, backward or both"));
    return;
  }
  const int matched = links.SetCut(body.value("link", std::string()), *cut);
  HttpResponse response;
  response.body = nlohmann::json{{"links", matched}}.dump();
  reply.Send(response);
}

Result<void> RunLinks(uint16_t port, const std::string& file) {
  EventLoop loop;
  LinkStandin links(loop);
  const auto specs =
      nlohmann::json::parse(std::ifstream(file), nullptr, false, true);
  for (const auto& spec : specs) {
    BOOST_LEAF_CHECK(links.Add({spec.value("name", std::string()),
                                spec.value("listen_port", uint16_t{0}),
                                spec.value("target", std::string())}));
  }
  HttpServerOptions options;
  options.port = port;
  BOOST_LEAF_AUTO(
      server, HttpServer::Start(
                  loop, options,
                  [&links](const HttpRequest& request, const HttpReply& reply) {
                    HandleControl(links, request, reply);
                  }));
  SignalWatch stop(loop, SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return {};
}

}  // namespace
}  // namespace dotterelcove

int main(int argc, char** argv) {
  const option options[] = {{"port", required_argument, nullptr, 'p'},
                            {"links", required_argument, nullptr, 'l'},
                            {nullptr, 0, nullptr, 0}};
  uint16_t port = 0;
  std::string file;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    if (choice == 'p') port = static_cast<uint16_t>(std::atoi(optarg));
    if (choice == 'l') file = optarg;
    if (choice == '?') return 2;
  }
  return boost::leaf::try_handle_all(
      [&]() -> dotterelcove::Result<int> {
        BOOST_LEAF_CHECK(dotterelcove::RunLinks(port, file));
        return 0;
      },
      [](const dotterelcove::LinkListenError& error) {
        std::fprintf(stderr, "standin-link: cannot listen on port %u for %s\n",
                     error.port, error.name.c_str());
        return 1;
      },
      [](const dotterelcove::HttpListenError& error) {
        std::fprintf(stderr, "standin-link: cannot listen on port %u\n",
                     error.port);
        return 1;
      },
      [] { return 1; });
}
