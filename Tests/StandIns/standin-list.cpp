// Stands in for the platform's instance list in tests. Usage: see --help;
// serves GET /v1/instances, GET /stats and POST /control.
#include "Base/AsioTimerService.h"
#include "Http/HttpServer.h"
#include "StandIns/InstanceListStandIn.h"
#include "Support/ToolProgram.h"

int main(int Count, const char **Arguments) {
  using namespace hickory;
  int Port = 0;
  char *PortFile = nullptr;
  char *Instances = nullptr;
  int LagMs = 0;
  char *Outage = nullptr;
  const poptOption Table[] = {
      {"port", 0, POPT_ARG_INT, &Port, 0, "port; 0: chosen by the system", "N"},
      {"port-file", 0, POPT_ARG_STRING, &PortFile, 0,
       "file that receives the port", "PATH"},
      {"instances", 0, POPT_ARG_STRING, &Instances, 0,
       "JSON document with version and instances", "PATH"},
      {"lag-ms", 0, POPT_ARG_INT, &LagMs, 0,
       "time until a change becomes visible", "MS"},
      {"outage", 0, POPT_ARG_STRING, &Outage, 0, "none, error or hang", "KIND"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);
  if (Instances == nullptr || LagMs < 0) {
    std::fprintf(stderr,
                 "%s: --instances is required and --lag-ms must not be "
                 "negative (see --help)\n",
                 Arguments[0]);
    return 2;
  }

  asio::io_context Context(1);
  const tool::TerminationSignals Signals(Context);
  AsioTimerService Timers(Context);
  InstanceListStandIn List(Timers, std::chrono::milliseconds(LagMs));
  const auto Document =
      nlohmann::json::parse(tool::readFile(Instances), nullptr, false);
  auto ErrorText = List.load(Document);
  if (!ErrorText && Outage != nullptr)
    ErrorText = List.applyChange({{"outage", Outage}});
  if (ErrorText) {
    std::fprintf(stderr, "%s: %s: %s\n", Arguments[0], Instances,
                 ErrorText->c_str());
    return 2;
  }
  HttpServerOptions Options;
  Options.Port = static_cast<std::uint16_t>(Port);
  Options.MaximumConnections = 8192;
  HttpServer Server(Context, Options, [&List](HttpServerRequest Request) {
    return List.handle(std::move(Request));
  });
  Server.start();
  tool::writePortFile(PortFile, Server.port());
  LOG(INFO) << "standin-list: listening on port " << Server.port();
  Context.run();
  return 0;
}
