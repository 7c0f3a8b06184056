// Command line tool for operators: configuration, work and state of a cell.
#include "Base/AsioTimerService.h"
#include "Ctl/CtlSession.h"
#include "Http/CurlHttpClient.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <exception>
#include <glog/logging.h>
#include <iostream>

int main(int Count, char **Words) {
  google::InitGoogleLogging(Words[0]);
  FLAGS_logtostderr = true;
  asio::io_context Context(1);
  hickory::AsioTimerService Timers(Context);
  hickory::CurlHttpClient Http(Context);
  hickory::CtlSession Session(Http, Timers, std::cout, std::cerr);
  hickory::CtlExitCode Exit = hickory::CtlExitCode::Internal;
  asio::co_spawn(
      Context, Session.run(std::vector<std::string>(Words + 1, Words + Count)),
      [&](const std::exception_ptr &Failure, hickory::CtlExitCode Value) {
        if (!Failure)
          Exit = Value;
        Context.stop();
      });
  Context.run();
  return static_cast<int>(Exit);
}
