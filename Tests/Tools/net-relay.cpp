// Forwards TCP connections between the processes of a test, with configurable
// delay, rate limit and cuts. GET /stats and POST /control query and change the
// links at run time. Usage: see --help.
#include "Base/AsioTimerService.h"
#include "Http/HttpServer.h"
#include "Support/ToolProgram.h"
#include "Tools/NetRelay.h"

int main(int Count, const char **Arguments) {
  using namespace hickory;
  int Port = 0;
  char *PortFile = nullptr;
  char *Config = nullptr;
  const poptOption Table[] = {
      {"config", 0, POPT_ARG_STRING, &Config, 0, "JSON document with links",
       "PATH"},
      {"port", 0, POPT_ARG_INT, &Port, 0,
       "port of the control interface; 0: chosen by the system", "N"},
      {"port-file", 0, POPT_ARG_STRING, &PortFile, 0,
       "file to which the control port is written", "PATH"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);
  if (Config == nullptr) {
    std::fprintf(stderr, "%s: --config is required (see --help)\n",
                 Arguments[0]);
    return 2;
  }

  asio::io_context Context(1);
  const tool::TerminationSignals Signals(Context);
  AsioTimerService Timers(Context);
  NetRelay Relay(Context, Timers);
  const auto Document =
      nlohmann::json::parse(tool::readFile(Config), nullptr, false);
  if (const auto ErrorMessage = Relay.load(Document)) {
    std::fprintf(stderr, "%s: %s: %s\n", Arguments[0], Config,
                 ErrorMessage->c_str());
    return 2;
  }
  HttpServerOptions Options;
  Options.Port = static_cast<std::uint16_t>(Port);
  HttpServer Server(Context, Options, [&Relay](HttpServerRequest Request) {
    return Relay.handle(std::move(Request));
  });
  Server.start();
  tool::writePortFile(PortFile, Server.port());
  LOG(INFO) << "net-relay: control interface on port " << Server.port();
  Context.run();
  return 0;
}
