// Stands in for the platform's log service in tests. It keeps all data in
// memory. Usage: see --help; also serves GET /stats, GET and POST /control.
#include "Base/AsioTimerService.h"
#include "Http/HttpServer.h"
#include "StandIns/LogStandIn.h"
#include "Support/ToolProgram.h"

int main(int Count, const char **Arguments) {
  using namespace hickory;
  int Port = 0;
  char *PortFile = nullptr;
  char *Outage = nullptr;
  int ExtraDelayMs = 0;
  double LostAnswerProbability = 0;
  double LateAnswerProbability = 0;
  int LateAnswerDelayMs = 10000;
  int Retention = 100000;
  double MaximumAppendsPerSecond = 500;
  int MaximumAppendBytes = 16 << 20;
  long Seed = 1;
  const poptOption Table[] = {
      {"port", 0, POPT_ARG_INT, &Port, 0, "port; 0: chosen by the system", "N"},
      {"port-file", 0, POPT_ARG_STRING, &PortFile, 0,
       "file that receives the port", "PATH"},
      {"outage", 0, POPT_ARG_STRING, &Outage, 0, "none, error or hang", "KIND"},
      {"slow-ms", 0, POPT_ARG_INT, &ExtraDelayMs, 0, "delay of every call",
       "MS"},
      {"lose-answers", 0, POPT_ARG_DOUBLE, &LostAnswerProbability, 0,
       "probability that an append takes effect and is answered 503", "P"},
      {"late-answers", 0, POPT_ARG_DOUBLE, &LateAnswerProbability, 0,
       "probability that an append takes effect and is answered late", "P"},
      {"late-ms", 0, POPT_ARG_INT, &LateAnswerDelayMs, 0,
       "delay of a late answer", "MS"},
      {"retention", 0, POPT_ARG_INT, &Retention, 0,
       "entries kept per stream; 0: all", "N"},
      {"appends-per-s", 0, POPT_ARG_DOUBLE, &MaximumAppendsPerSecond, 0,
       "append rate limit; 0: none", "N"},
      {"max-append-bytes", 0, POPT_ARG_INT, &MaximumAppendBytes, 0,
       "largest append", "N"},
      {"seed", 0, POPT_ARG_LONG, &Seed, 0, "seed of the random faults", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);

  asio::io_context Context(1);
  const tool::TerminationSignals Signals(Context);
  AsioTimerService Timers(Context);
  LogStandIn Log(Timers, {}, static_cast<std::uint64_t>(Seed));
  const nlohmann::json Initial = {{"outage", Outage ? Outage : "none"},
                                  {"slow_ms", ExtraDelayMs},
                                  {"lose_answers", LostAnswerProbability},
                                  {"late_answers", LateAnswerProbability},
                                  {"late_ms", LateAnswerDelayMs},
                                  {"retention", Retention},
                                  {"appends_per_s", MaximumAppendsPerSecond},
                                  {"max_append_bytes", MaximumAppendBytes}};
  if (const auto ErrorText = Log.changeSettings(Initial)) {
    std::fprintf(stderr, "%s: %s\n", Arguments[0], ErrorText->c_str());
    return 2;
  }
  HttpServerOptions Options;
  Options.Port = static_cast<std::uint16_t>(Port);
  // Above this limit the HTTP server closes the connection. It is higher than
  // the limit of the stand-in, above which an append is answered with 413.
  Options.MaximumBodyBytes = 64 << 20;
  Options.MaximumConnections = 8192;
  HttpServer Server(Context, Options, [&Log](HttpServerRequest Request) {
    return Log.handle(std::move(Request));
  });
  Server.start();
  tool::writePortFile(PortFile, Server.port());
  LOG(INFO) << "standin-log: listening on port " << Server.port();
  Context.run();
  return 0;
}
