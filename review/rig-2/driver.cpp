// Starts the emulated platform and hickory-cell processes on loopback, sends
// jobs as a client would, and checks what the client has seen. Usage:
//   driver SCENARIO FOLDER     TROUBLE=0: without the disruption
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Clock::time_point Begin = Clock::now();
std::ofstream Record;
std::mutex RecordMutex;

long msSince(Clock::time_point Time) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Time).count();
}

void record(const std::string &Text) {
  const std::lock_guard Lock(RecordMutex);
  char Time[32];
  std::snprintf(Time, sizeof Time, "%8.3f ", msSince(Begin) / 1000.0);
  Record << Time << Text << "\n" << std::flush;
}

void sleepMs(long Ms) { std::this_thread::sleep_for(milliseconds(Ms)); }

struct Address {
  std::string Ip;
  int Port = 0;
};

Address parseAddress(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  return {Text.substr(0, Colon), std::stoi(Text.substr(Colon + 1))};
}

/// Returns a socket that is bound to a free port of the address; -1 if the port
/// is taken.
int bindPort(const std::string &Ip, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Name.sin_addr);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Name), sizeof Name) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

int portOf(int Socket) {
  sockaddr_in Name{};
  socklen_t Length = sizeof Name;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Name), &Length);
  return ntohs(Name.sin_port);
}

struct Reply {
  int Status = 0; ///< 0: no answer.
  json Body;
};

/// Sends one request on a connection of its own.
Reply call(const Address &To, const std::string &Method,
           const std::string &Path, const std::string &Host,
           const std::string &Body, long TimeoutMs) {
  const auto Deadline = Clock::now() + milliseconds(TimeoutMs);
  const auto LeftMs = [&] {
    return static_cast<int>(std::max<long>(
        0, std::chrono::duration_cast<milliseconds>(Deadline - Clock::now())
               .count()));
  };
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct Closer {
    int Socket;
    ~Closer() { ::close(Socket); }
  } const Close{Socket};
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(static_cast<std::uint16_t>(To.Port));
  ::inet_pton(AF_INET, To.Ip.c_str(), &Name.sin_addr);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Name), sizeof Name) !=
          0 &&
      errno != EINPROGRESS)
    return {};
  std::string Out = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                    "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " +
                    std::to_string(TimeoutMs) +
                    "\r\nContent-Length: " + std::to_string(Body.size()) +
                    "\r\nConnection: close\r\n\r\n" + Body;
  std::size_t Sent = 0;
  while (Sent < Out.size()) {
    pollfd Wait{Socket, POLLOUT, 0};
    if (::poll(&Wait, 1, LeftMs()) <= 0 || (Wait.revents & POLLERR) != 0)
      return {};
    const auto Count =
        ::send(Socket, Out.data() + Sent, Out.size() - Sent, MSG_NOSIGNAL);
    if (Count < 0 && errno != EAGAIN)
      return {};
    if (Count > 0)
      Sent += static_cast<std::size_t>(Count);
  }
  std::string In;
  char Buffer[16384];
  while (true) {
    const auto HeaderEnd = In.find("\r\n\r\n");
    if (HeaderEnd != std::string::npos) {
      std::string Header = In.substr(0, HeaderEnd);
      for (char &Character : Header)
        Character = static_cast<char>(std::tolower(Character));
      const auto Field = Header.find("content-length:");
      const std::size_t Length = Field == std::string::npos
                                     ? 0
                                     : std::stoul(Header.substr(Field + 15));
      if (In.size() >= HeaderEnd + 4 + Length)
        return {std::stoi(In.substr(9, 3)),
                json::parse(In.substr(HeaderEnd + 4, Length), nullptr, false)};
    }
    pollfd Wait{Socket, POLLIN, 0};
    if (::poll(&Wait, 1, LeftMs()) <= 0)
      return {};
    const auto Count = ::recv(Socket, Buffer, sizeof Buffer, 0);
    if (Count < 0 && errno == EAGAIN)
      continue;
    if (Count <= 0)
      return {};
    In.append(Buffer, static_cast<std::size_t>(Count));
  }
}

struct Cell {
  std::string Name;
  Address Front;
  Address Ready;
  std::string Settings;
  pid_t Process = 0;
  bool Started = false;
  std::atomic<bool> InRotation{true};
  int Misses = 0;
};

/// Forwards the calls to the platform's store and refuses records that are
/// longer than `record-bytes`, which the emulated store takes.
class StoreProxy {
public:
  explicit StoreProxy(const Address &Store) : Store_(Store) {
    Listener_ = bindPort("127.0.0.1", 0);
    if (Listener_ < 0 || ::listen(Listener_, 128) != 0)
      throw CannotRun("the proxy cannot listen");
    std::thread([this] { accept(); }).detach();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(portOf(Listener_));
  }
  static constexpr std::size_t RecordBytes = 262144;
  static std::atomic<int> Refused;
  static std::atomic<std::size_t> LongestRecord;

private:
  void accept() {
    while (true) {
      const int Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket >= 0)
        std::thread([this, Socket] { serve(Socket); }).detach();
    }
  }

  /// Reads one message with its body. Returns an empty text at the end.
  static std::string readMessage(int Socket, std::string &Rest) {
    char Buffer[65536];
    while (true) {
      const auto HeaderEnd = Rest.find("\r\n\r\n");
      if (HeaderEnd != std::string::npos) {
        std::string Header = Rest.substr(0, HeaderEnd);
        for (char &Character : Header)
          Character = static_cast<char>(std::tolower(Character));
        const auto Field = Header.find("content-length:");
        const std::size_t Length =
            HeaderEnd + 4 +
            (Field == std::string::npos
                 ? 0
                 : std::stoul(Header.substr(Field + 15)));
        if (Rest.size() >= Length) {
          std::string Message = Rest.substr(0, Length);
          Rest.erase(0, Length);
          return Message;
        }
      }
      const auto Count = ::recv(Socket, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        return {};
      Rest.append(Buffer, static_cast<std::size_t>(Count));
    }
  }

  static bool writeAll(int Socket, const std::string &Text) {
    for (std::size_t Sent = 0; Sent < Text.size();) {
      const auto Count =
          ::send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Returns the length of the longest record of an append.
  static std::size_t longestRecord(const std::string &Body) {
    std::size_t Longest = 0;
    for (std::size_t At = 0; At + 4 <= Body.size();) {
      std::size_t Length = 0;
      for (std::size_t Byte = 0; Byte < 4; ++Byte)
        Length = (Length << 8U) | static_cast<unsigned char>(Body[At + Byte]);
      Longest = std::max(Longest, Length);
      At += 4 + Length;
    }
    return Longest;
  }

  void serve(int Client) {
    const int Server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Name{};
    Name.sin_family = AF_INET;
    Name.sin_port = htons(static_cast<std::uint16_t>(Store_.Port));
    ::inet_pton(AF_INET, Store_.Ip.c_str(), &Name.sin_addr);
    const bool Connected =
        ::connect(Server, reinterpret_cast<sockaddr *>(&Name), sizeof Name) ==
        0;
    std::string FromClient;
    std::string FromServer;
    while (Connected) {
      const std::string Request = readMessage(Client, FromClient);
      if (Request.empty())
        break;
      if (Request.starts_with("POST /api/log-append")) {
        const std::size_t Longest =
            longestRecord(Request.substr(Request.find("\r\n\r\n") + 4));
        std::size_t Known = LongestRecord;
        while (Known < Longest &&
               !LongestRecord.compare_exchange_weak(Known, Longest)) {
        }
        if (Longest > RecordBytes) {
          if (++Refused == 1)
            record("the store refuses a record of " + std::to_string(Longest) +
                   " bytes");
          if (!writeAll(Client, "HTTP/1.1 400 Bad Request\r\nContent-Type: "
                                "application/json\r\nContent-Length: "
                                "2\r\n\r\n{}"))
            break;
          continue;
        }
      }
      if (!writeAll(Server, Request))
        break;
      const std::string Answer = readMessage(Server, FromServer);
      if (Answer.empty() || !writeAll(Client, Answer))
        break;
    }
    ::close(Server);
    ::close(Client);
  }

  Address Store_;
  int Listener_ = -1;
};
std::atomic<int> StoreProxy::Refused{0};
std::atomic<std::size_t> StoreProxy::LongestRecord{0};

/// The platform, the cells and a client.
class Rig {
public:
  Rig(std::string Folder, std::string PlatformToml, int Cells)
      : Folder_(std::move(Folder)) {
    const std::string Root = std::filesystem::current_path().string();
    std::ofstream(Folder_ + "/platform.toml") << PlatformToml;
    Emulator_ = spawn({Root + "/target/rig-2/bin/platform-emulator",
                       "--settings=" + Folder_ + "/platform.toml",
                       "--ports-file=" + Folder_ + "/ports.json",
                       "--history=" + Folder_ + "/workers.jsonl",
                       "--callers=" + std::to_string(Cells), "--seed=1"},
                      "emulator.log", "");
    for (int Try = 0; !std::filesystem::exists(Folder_ + "/ports.json");
         ++Try) {
      if (Try > 200)
        throw CannotRun("the emulated platform did not start");
      sleepMs(50);
    }
    sleepMs(50);
    std::ifstream File(Folder_ + "/ports.json");
    Ports_ = json::parse(File);
    for (auto &Store : Ports_["stores"]) {
      Proxies_.push_back(
          std::make_unique<StoreProxy>(parseAddress(Store.get<std::string>())));
      Store = Proxies_.back()->address();
    }
    int Next = ::getpid() * 8;
    for (int Number = 0; Number < Cells; ++Number)
      addCell(Number, Next);
    for (auto &Each : Cells_)
      startCell(*Each);
    const auto Deadline = Clock::now() + std::chrono::seconds(30);
    for (auto &Each : Cells_)
      while (call(Each->Ready, "GET", "/api/readiness", "x", "", 500).Status !=
             200) {
        if (Clock::now() > Deadline)
          throw CannotRun(Each->Name + " did not become ready");
        sleepMs(100);
      }
    record("all processes are ready");
    Prober_ = std::thread([this] { probe(); });
  }
  ~Rig() {
    Stopping_ = true;
    if (Prober_.joinable())
      Prober_.join();
    for (auto &Each : Cells_)
      end(Each->Process);
    end(Emulator_);
    for (auto &Each : Proxies_)
      (void)Each.release();
  }

  std::vector<std::unique_ptr<Cell>> &cells() { return Cells_; }
  const std::string &folder() const { return Folder_; }

  void startCell(Cell &Each) {
    const std::string Root = std::filesystem::current_path().string();
    if (std::exchange(Each.Started, true)) {
      // True only when the whole system starts for the first time.
      std::ifstream File(Each.Settings);
      json Settings = json::parse(File);
      Settings["bootstrap"] = false;
      std::ofstream(Each.Settings) << Settings.dump(2);
    }
    Each.Process = spawn({Root + "/target/bin/hickory-cell"},
                         Each.Name + ".log", Each.Settings);
    record("started " + Each.Name);
  }

  void trouble(const json &Command, bool Recorded = true) {
    if (Recorded)
      record("trouble " + Command.dump());
    const Reply Got = call(parseAddress(Ports_.at("control")), "POST",
                           "/trouble", "x", Command.dump(), 2000);
    if (Got.Status != 200)
      throw CannotRun("the platform refused " + Command.dump());
  }

  /// Returns a front address as the platform's balancer would.
  Cell &pick(unsigned Number) {
    std::vector<Cell *> In;
    for (auto &Each : Cells_)
      if (Each->InRotation)
        In.push_back(Each.get());
    if (2 * In.size() < Cells_.size()) {
      In.clear();
      for (auto &Each : Cells_)
        In.push_back(Each.get());
    }
    return *In[Number % In.size()];
  }

  /// Sends a request of a client with its retries. Each goes to another daemon.
  /// Returns the last answer.
  Reply send(const std::string &Method, const std::string &Queue,
             const std::string &Id, const std::string &Body, int Tries,
             unsigned First, long DeadlineMs = 3000) {
    Reply Got;
    for (int Try = 0; Try < Tries; ++Try) {
      if (Try > 0)
        sleepMs(200);
      Cell &To = pick(First + static_cast<unsigned>(Try));
      Got = call(To.Front, Method, "/" + Queue + "/" + Id, Queue + ".example",
                 Body, DeadlineMs);
      record(Method + " " + Id + " at " + To.Name + " -> " +
             (Got.Status == 0 ? "no answer" : std::to_string(Got.Status)) +
             (Got.Body.is_object() && Got.Body.contains("state")
                  ? " " + Got.Body["state"].get<std::string>()
                  : ""));
      if (Got.Status != 0 && Got.Status != 502 && Got.Status != 504 &&
          Got.Status != 503 && Got.Status != 429)
        break;
    }
    return Got;
  }

  /// Processor time of the process in seconds.
  double processorTime(const Cell &Each) {
    std::ifstream Stat("/proc/" + std::to_string(Each.Process) + "/stat");
    std::string Field;
    double Ticks = 0;
    for (int Number = 1; Number <= 15 && Stat >> Field; ++Number)
      if (Number >= 14)
        Ticks += std::stod(Field);
    return Ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

  std::vector<json> history() {
    std::vector<json> Events;
    std::ifstream File(Folder_ + "/workers.jsonl");
    for (std::string Line; std::getline(File, Line);) {
      json Event = json::parse(Line, nullptr, false);
      if (Event.is_object())
        Events.push_back(std::move(Event));
    }
    return Events;
  }

private:
  pid_t spawn(const std::vector<std::string> &Command, const std::string &Log,
              const std::string &Settings) {
    const pid_t Child = ::fork();
    if (Child < 0)
      throw CannotRun("fork failed");
    if (Child > 0)
      return Child;
    // Ends with the driver, however that one ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != Driver_)
      ::_exit(127);
    const int File = ::open((Folder_ + "/" + Log).c_str(),
                            O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(File, 1);
    ::dup2(File, 2);
    if (!Settings.empty())
      ::setenv("HICKORYPICK_SETTINGS", Settings.c_str(), 1);
    std::vector<char *> Arguments;
    for (const std::string &Word : Command)
      Arguments.push_back(const_cast<char *>(Word.c_str()));
    Arguments.push_back(nullptr);
    ::execv(Arguments[0], Arguments.data());
    ::_exit(127);
  }

  static void end(pid_t Process) {
    if (Process <= 0)
      return;
    ::kill(Process, SIGCONT);
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }

  void addCell(int Number, int &Next) {
    for (int Try = 0; Try < 2000; ++Try, ++Next) {
      const std::string Ip = "127." + std::to_string(20 + Next / 62500 % 200) +
                             "." + std::to_string(Next / 250 % 250) + "." +
                             std::to_string(2 + Next % 250);
      std::vector<int> Sockets{bindPort(Ip, 9190)};
      for (int Index = 0; Index < 4; ++Index)
        Sockets.push_back(bindPort(Ip, 0));
      std::vector<int> Ports;
      bool Free = true;
      for (const int Socket : Sockets) {
        Free = Free && Socket >= 0;
        if (Socket >= 0) {
          Ports.push_back(portOf(Socket));
          ::close(Socket);
        }
      }
      if (!Free)
        continue;
      ++Next;
      auto New = std::make_unique<Cell>();
      New->Name = "cell-" + std::to_string(Number);
      New->Front = {Ip, Ports[1]};
      New->Ready = {Ip, Ports[2]};
      const auto At = [&Ip](int Port) {
        return Ip + ":" + std::to_string(Port);
      };
      const json Settings = {
          {"node", New->Name},
          {"role", "cell"},
          {"machine-class", "edge"},
          {"serves", {"edge"}},
          {"ip", Ip},
          {"zone", "zone-a"},
          {"region", "region-a"},
          {"zones", {{"zone-a", "region-a"}}},
          {"bind-addresses",
           {{"front", At(Ports[1])},
            {"ready", At(Ports[2])},
            {"control", At(Ports[3])}}},
          {"internal-ports", {Ports[4], Ports[4]}},
          {"seeds", json::array()},
          {"bootstrap", true},
          {"loss-counts", false},
          {"limits",
           {{"cpu-share", 0.25},
            {"cores", 1},
            {"memory-mb", 260},
            {"max-fds", 4200},
            {"link-mbps", 1000.0},
            {"disk-mb", 0}}},
          {"data-dir", nullptr},
          {"discovery", "platform"},
          {"entry", "vip"},
          {"heartbeat-ms", 1500},
          {"bounds",
           {{"contact-ms", 3000},
            {"ack-ms", 4000},
            {"drain-ms", 2500},
            {"grace-s", 6},
            {"config-apply-ms", 2500},
            {"recovery-s", 12},
            {"hold-max-ms", 10000},
            {"stop-ms", 400},
            {"gang-timeout-ms", 3000},
            {"cancel_ms", 3000},
            {"visible_ms", 3000},
            {"finish_s", 14},
            {"status_s", 120},
            {"fencing-required", true}}},
          {"orders", "call"},
          {"advice",
           Ports_.at("advisers").at(static_cast<std::size_t>(Number))},
          {"platform",
           {{"address",
             Ports_.at("stores").at(static_cast<std::size_t>(Number))},
            {"form", "log"},
            {"writes-per-s", 600},
            {"reads-per-s", 2000},
            {"parts", 24},
            {"append-ms", 1.0},
            {"record-bytes", 262144},
            {"call-bytes", 2097152},
            {"ttl-min-ms", 1000}}}};
      New->Settings = Folder_ + "/" + New->Name + ".json";
      std::ofstream(New->Settings) << Settings.dump(2);
      Cells_.push_back(std::move(New));
      return;
    }
    throw CannotRun("no loopback address is free");
  }

  /// The balancer's probes: once per second, out after two misses.
  void probe() {
    while (!Stopping_) {
      for (auto &Each : Cells_) {
        const bool Good =
            call(Each->Ready, "GET", "/api/readiness", "x", "", 500).Status ==
            200;
        Each->Misses = Good ? 0 : Each->Misses + 1;
        const bool In = Each->Misses < 2;
        if (In != Each->InRotation)
          record(Each->Name + (In ? " is in rotation" : " is out of rotation"));
        Each->InRotation = In;
      }
      for (int Step = 0; Step < 10 && !Stopping_; ++Step)
        sleepMs(100);
    }
  }

  const pid_t Driver_ = ::getpid();
  std::string Folder_;
  json Ports_;
  /// Never destroyed, as their threads run on.
  std::vector<std::unique_ptr<StoreProxy>> Proxies_;
  pid_t Emulator_ = 0;
  std::vector<std::unique_ptr<Cell>> Cells_;
  std::thread Prober_;
  std::atomic<bool> Stopping_{false};
};

std::string idOf(unsigned Kind, unsigned Number) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%08x%08x", 0xc0de0000U + Kind,
                Number * 2654435761U + 12345U);
  return Text;
}

/// A job for the emulated executors: their plan is in the job's spec.
json makeJob(const std::string &Queue, const json &Steps,
             std::size_t SpecBytes = 0) {
  json Plan = {{"queue", Queue}, {"steps", Steps}};
  // The executors need only the first of many like steps.
  std::string Spec = Plan.dump();
  if (SpecBytes > Spec.size()) {
    Plan["pad"] = std::string(SpecBytes - Spec.size() - 9, 'x');
    Spec = Plan.dump();
  }
  json Wire = json::array();
  for (json Step : Steps) {
    Step["estimated-ms"] = Step.value("ms", 100);
    Step.erase("ms");
    Wire.push_back(std::move(Step));
  }
  return {{"spec", Spec}, {"steps", std::move(Wire)}};
}

/// Steady traffic of small jobs: one each PeriodMs for Seconds.
class Traffic {
public:
  Traffic(Rig &Platform, double Seconds, long PeriodMs,
          const json &Steps =
              {{{"count", 1}, {"cpu", 500}, {"mem-mb", 64}, {"ms", 300}}},
          const std::string &Queue = "plain", unsigned Kind = 1)
      : Platform_(Platform), Seconds_(Seconds), PeriodMs_(PeriodMs),
        Queue_(Queue), Body_(makeJob(Queue, Steps).dump()), Kind_(Kind),
        Thread_([this] { run(); }) {}
  ~Traffic() { join(); }
  void join() {
    if (Thread_.joinable())
      Thread_.join();
    for (auto &Each : Clients_)
      if (Each.joinable())
        Each.join();
  }
  std::vector<std::string> accepted() {
    const std::lock_guard Lock(Mutex_);
    return Accepted_;
  }
  int sent() const { return Sent_; }

private:
  void run() {
    const auto Start = Clock::now();
    for (unsigned Number = 0; msSince(Start) < Seconds_ * 1000; ++Number) {
      ++Sent_;
      Clients_.emplace_back([this, Number] {
        const std::string Id = idOf(Kind_, Number);
        const Reply Got = Platform_.send("POST", Queue_, Id, Body_, 5, Number);
        if (Got.Status >= 200 && Got.Status < 300) {
          const std::lock_guard Lock(Mutex_);
          Accepted_.push_back(Id);
        }
      });
      sleepMs(PeriodMs_);
    }
  }

  Rig &Platform_;
  double Seconds_;
  long PeriodMs_;
  std::string Queue_;
  std::string Body_;
  unsigned Kind_;
  std::mutex Mutex_;
  std::vector<std::string> Accepted_;
  std::vector<std::thread> Clients_;
  std::atomic<int> Sent_{0};
  std::thread Thread_;
};

/// Asks for the states of the accepted jobs, each at all daemons in turn, as
/// the users do `finish_s` after the end of the traffic. Returns the number of
/// jobs that are not known or get no answer (answered with 200 by no daemon).
int askForJobs(Rig &Platform, const std::string &Queue,
               const std::vector<std::string> &Ids, int &Completed,
               int Tries = 5) {
  std::atomic<int> Lost{0};
  std::atomic<int> Done{0};
  std::vector<std::thread> Clients;
  for (std::size_t I = 0; I < Ids.size(); ++I)
    Clients.emplace_back([&, I] {
      const Reply Got = Platform.send("GET", Queue, Ids[I], "", Tries,
                                      static_cast<unsigned>(I));
      if (Got.Status != 200)
        ++Lost;
      else if (Got.Body.is_object() &&
               Got.Body.value("state", std::string()) == "completed")
        ++Done;
    });
  for (auto &Each : Clients)
    Each.join();
  Completed = Done;
  return Lost;
}

const char *const PlainPlatform = R"([platform]
workers = 8
cpu = 32000
mem-mb = 131072
admission-check = false
stop-ms = 100

[[platform.routes]]
name = "plain"
priority = 0
max-attempts = 3
target-latency-ms = 300

[[platform.routes]]
name = "batch"
priority = 2
max-attempts = 4
target-latency-ms = 3000
)";

/// What the executors have recorded of one job.
struct JobTrace {
  std::set<std::string> Done; ///< Tasks.
  std::map<std::string, int> Running;
  std::int64_t LastRunUs = 0; ///< When something of it ran last.
};

/// Returns the jobs of which nothing has run for the last 3 s although a task's
/// turn had come, while the executors had capacity: rule LOST, asked at the
/// time of the call. StepTasks: the tasks of each step; each step depends on
/// the one before. FreeShare: the least share of the capacity that was free.
std::vector<std::string> stalledJobs(Rig &Platform,
                                     const std::vector<std::string> &Ids,
                                     const std::vector<int> &StepTasks,
                                     double Capacity, double &LeastFree) {
  const std::int64_t Now =
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  constexpr std::int64_t Window = 3'000'000;
  std::map<std::string, JobTrace> Traces;
  std::map<std::string, double> RunningCpus; ///< By run.
  double Used = 0;
  double MostUsed = 0;
  bool InWindow = false;
  for (const json &Event : Platform.history()) {
    const auto Kind = Event.value("event", std::string());
    const auto At = Event.value("wall_us", std::int64_t{0});
    if (At > Now)
      break;
    if (At >= Now - Window && !std::exchange(InWindow, true))
      MostUsed = Used;
    if (Kind != "started" && Kind != "ended" && Kind != "dropped")
      continue;
    const auto Task = Event.at("task").get<std::string>();
    const std::string Run = Task + "#" + std::to_string(Event.value("run", 0)) +
                            "@" + Event.value("worker", std::string());
    JobTrace &Trace = Traces[Task.substr(0, Task.find('.'))];
    Trace.LastRunUs = At;
    if (Kind == "started") {
      ++Trace.Running[Task];
      RunningCpus[Run] = Event.value("cpus_milli", 0.0);
      Used += RunningCpus[Run];
    } else {
      if (--Trace.Running[Task] <= 0)
        Trace.Running.erase(Task);
      Used -= RunningCpus[Run];
      if (Event.value("how", std::string()) == "done")
        Trace.Done.insert(Task);
    }
    if (InWindow)
      MostUsed = std::max(MostUsed, Used);
  }
  if (!InWindow)
    MostUsed = Used;
  LeastFree = 1 - MostUsed / Capacity;
  std::vector<std::string> Stalled;
  for (const std::string &Id : Ids) {
    const JobTrace &Trace = Traces[Id];
    std::size_t Tasks = 0;
    for (const int Count : StepTasks)
      Tasks += static_cast<std::size_t>(Count);
    if (Trace.Done.size() < Tasks && Trace.Running.empty() &&
        Trace.LastRunUs < Now - Window)
      Stalled.push_back(Id);
  }
  return Stalled;
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// A scheduled job of 10,000 occurrences, all of which are due (TROUBLE=0: 20
/// of them), among steady jobs of two steps.
int runSchedule(const std::string &Folder, bool Trouble) {
  Rig Platform(Folder, PlainPlatform, 3);
  constexpr double Capacity = 8 * 32000.0;
  const json SmallSteps = {
      {{"count", 2}, {"cpu", 500}, {"mem-mb", 64}, {"ms", 300}},
      {{"count", 1},
       {"cpu", 500},
       {"mem-mb", 64},
       {"ms", 300},
       {"depends-on", {0}}}};
  Traffic Small(Platform, 25, 150, SmallSteps);
  sleepMs(5000);
  const char *Given = std::getenv("OCCURRENCES");
  const int Repetitions = Given == nullptr ? 10000 : std::stoi(Given);
  constexpr int IntervalMs = 1000;
  json Job = makeJob("batch",
                     {{{"count", 1}, {"cpu", 500}, {"mem-mb", 64}, {"ms", 100}},
                      {{"count", 1},
                       {"cpu", 500},
                       {"mem-mb", 64},
                       {"ms", 100},
                       {"depends-on", {0}}}});
  Job["repetitions"] = Repetitions;
  Job["interval-ms"] = IntervalMs;
  Job["first-run-ms"] = unixMs() - IntervalMs * static_cast<std::int64_t>(
                                                    Trouble ? Repetitions : 20);
  const std::string Id = idOf(3, 1);
  record("the scheduled job has a body of " +
         std::to_string(Job.dump().size()) + " bytes");
  const Reply Sent = Platform.send("POST", "batch", Id, Job.dump(), 5, 0);
  Small.join();
  record("the traffic has ended; finish_s begins");
  sleepMs(14000);
  const auto Ids = Small.accepted();
  double Free = 0;
  const auto Stalled = stalledJobs(Platform, Ids, {2, 1}, Capacity, Free);
  int Completed = 0;
  const int Lost = askForJobs(Platform, "plain", Ids, Completed);
  for (const std::string &Each : Stalled)
    record("stalled: " + Each);
  int Running = 0;
  askForJobs(Platform, "batch", {Id}, Running);
  char Text[400];
  std::snprintf(
      Text, sizeof Text,
      "small jobs: %d sent, %zu accepted, %d completed, %d not known or "
      "without an answer, %zu with nothing running for 3 s though a "
      "task's turn had come; free capacity at least %.0f%%; scheduled "
      "job: status %d; longest record %zu bytes, %d refused",
      Small.sent(), Ids.size(), Completed, Lost, Stalled.size(), 100 * Free,
      Sent.Status, StoreProxy::LongestRecord.load(),
      StoreProxy::Refused.load());
  record(Text);
  if (Ids.empty())
    throw CannotRun("no job was accepted");
  return Lost > 0 || (!Stalled.empty() && Free > 0.5) ? 1 : 0;
}

/// An executor, alone in its rack, is lost for good (TROUBLE=0: it is not)
/// while urgent jobs come that need its rack, and other jobs come that run
/// anywhere.
int runRack(const std::string &Folder, bool Trouble) {
  std::string Toml = PlainPlatform;
  Toml.replace(Toml.find("workers = 8"), 11, "workers = 7");
  Rig Platform(Folder, Toml, 3);
  constexpr double Capacity = 6 * 32000.0;
  sleepMs(1000);
  if (Trouble) {
    Platform.trouble(
        {{"kind", "cut-worker"}, {"worker", "w003"}, {"seconds", 600}});
    Platform.trouble(
        {{"kind", "put-entry"}, {"key", "77303033"}, {"value", ""}});
  }
  Traffic Urgent(Platform, 36, 40,
                 {{{"count", 1},
                   {"cpu", 500},
                   {"mem-mb", 64},
                   {"ms", 100},
                   {"requirements", "rack-3"}}},
                 "plain", 4);
  Traffic Other(Platform, 36, 500,
                {{{"count", 2}, {"cpu", 500}, {"mem-mb", 64}, {"ms", 300}}},
                "batch", 5);
  Urgent.join();
  Other.join();
  record("the traffic has ended; finish_s begins");
  sleepMs(14000);
  const auto Ids = Other.accepted();
  double Free = 0;
  const auto Stalled = stalledJobs(Platform, Ids, {2}, Capacity, Free);
  int Completed = 0;
  const int Lost = askForJobs(Platform, "batch", Ids, Completed);
  for (const std::string &Each : Stalled)
    record("stalled: " + Each);
  char Text[400];
  std::snprintf(Text, sizeof Text,
                "urgent jobs that need the rack: %d sent, %zu accepted; other "
                "jobs: %d sent, %zu accepted, %d completed, %d not known or "
                "without an answer, %zu with nothing running for 3 s though "
                "their turn had come; free capacity at least %.0f%%",
                Urgent.sent(), Urgent.accepted().size(), Other.sent(),
                Ids.size(), Completed, Lost, Stalled.size(), 100 * Free);
  record(Text);
  if (Ids.empty())
    throw CannotRun("no job was accepted");
  return Lost > 0 || (!Stalled.empty() && Free > 0.5) ? 1 : 0;
}

/// A pipeline whose steps name all earlier steps (TROUBLE=0: only the one
/// before) among steady traffic.
int runPipeline(const std::string &Folder, bool Trouble) {
  Rig Platform(Folder, PlainPlatform, 3);
  const char *Given = std::getenv("STEPS");
  const int Steps = Given == nullptr ? 32 : std::stoi(Given);
  json Pipeline = json::array();
  for (int Number = 0; Number < Steps; ++Number) {
    json Step = {{"count", 1}, {"cpu", 500}, {"mem-mb", 64}, {"ms", 40}};
    if (Number > 0) {
      Step["depends-on"] = json::array();
      for (int Earlier = Trouble ? 0 : Number - 1; Earlier < Number; ++Earlier)
        Step["depends-on"].push_back(Earlier);
    }
    Pipeline.push_back(std::move(Step));
  }
  json Job = makeJob("batch", Pipeline);
  // The executors read count, cpu, mem-mb and ms only.
  json Plan = {{"queue", "batch"}, {"steps", json::array()}};
  for (int Number = 0; Number < Steps; ++Number)
    Plan["steps"].push_back({{"cpu", 500}, {"mem-mb", 64}, {"ms", 40}});
  Job["spec"] = Plan.dump();
  if (Job["spec"].get<std::string>().size() > 4000)
    throw CannotRun("the spec is too long");
  Traffic Small(Platform, 20, 150);
  sleepMs(5000);
  const std::string Id = idOf(2, 1);
  record("the pipeline has " + std::to_string(Steps) + " steps, its body " +
         std::to_string(Job.dump().size()) + " bytes");
  const Reply Sent = Platform.send("POST", "batch", Id, Job.dump(), 5, 0);
  Small.join();
  record("the traffic has ended; finish_s begins");
  sleepMs(14000);
  std::vector<std::string> Ids = Small.accepted();
  std::vector<double> Before;
  for (auto &Each : Platform.cells())
    Before.push_back(Platform.processorTime(*Each));
  const auto MeasuredAt = Clock::now();
  int Completed = 0;
  const int Lost = askForJobs(Platform, "plain", Ids, Completed);
  int PipelineDone = 0;
  int PipelineLost = 0;
  if (Sent.Status >= 200 && Sent.Status < 300)
    PipelineLost = askForJobs(Platform, "batch", {Id}, PipelineDone);
  for (std::size_t I = 0; I < Platform.cells().size(); ++I) {
    Cell &Each = *Platform.cells()[I];
    char Text[160];
    std::snprintf(Text, sizeof Text,
                  "%s used %.2f s of processor time in %.2f s",
                  Each.Name.c_str(), Platform.processorTime(Each) - Before[I],
                  msSince(MeasuredAt) / 1000.0);
    record(Text);
  }
  record("small jobs: " + std::to_string(Small.sent()) + " sent, " +
         std::to_string(Ids.size()) + " accepted, " +
         std::to_string(Completed) + " completed, " + std::to_string(Lost) +
         " not known or without an answer; pipeline: status " +
         std::to_string(Sent.Status) +
         (PipelineDone > 0 ? ", completed" : ", not completed"));
  if (Ids.empty())
    throw CannotRun("no job was accepted");
  return Lost + PipelineLost > 0 ? 1 : 0;
}

/// A gang whose members need 31 of an executor's 32 cores (TROUBLE=0: 29) among
/// steady small jobs of the same queue.
int runWholeExecutor(const std::string &Folder, bool Trouble) {
  Rig Platform(Folder, PlainPlatform, 3);
  constexpr double Capacity = 8 * 32000.0;
  const char *Given = std::getenv("MEMBERS");
  const int Members = Given == nullptr ? 8 : std::stoi(Given);
  Traffic Small(Platform, 30, 400,
                {{{"count", 2}, {"cpu", 500}, {"mem-mb", 64}, {"ms", 300}}},
                "batch", 6);
  sleepMs(5000);
  json Job = makeJob("batch", {{{"count", Members},
                                {"cpu", Trouble ? 31000 : 29000},
                                {"mem-mb", 1024},
                                {"ms", 500},
                                {"gang", true}}});
  const std::string Id = idOf(7, 1);
  const Reply Sent = Platform.send("POST", "batch", Id, Job.dump(), 5, 0);
  Small.join();
  record("the traffic has ended; finish_s begins");
  sleepMs(14000);
  const auto Ids = Small.accepted();
  double Free = 0;
  auto Stalled = stalledJobs(Platform, Ids, {2}, Capacity, Free);
  const std::size_t SmallStalled = Stalled.size();
  // The rule asks for capacity for the job twice over.
  if (Sent.Status >= 200 && Sent.Status < 300 && 2 * Members <= 8)
    for (std::string &Each :
         stalledJobs(Platform, {Id}, {Members}, Capacity, Free))
      Stalled.push_back(std::move(Each));
  int Completed = 0;
  const int Lost = askForJobs(Platform, "batch", Ids, Completed);
  int GangDone = 0;
  askForJobs(Platform, "batch", {Id}, GangDone);
  for (const std::string &Each : Stalled)
    record("stalled: " + Each);
  char Text[400];
  std::snprintf(
      Text, sizeof Text,
      "small jobs: %d sent, %zu accepted, %d completed, %d not known or "
      "without an answer, %zu with nothing running for 3 s though "
      "their turn had come; gang: status %d, %s; free capacity at "
      "least %.0f%%",
      Small.sent(), Ids.size(), Completed, Lost, SmallStalled, Sent.Status,
      GangDone > 0 ? "completed" : "not completed", 100 * Free);
  record(Text);
  if (Ids.empty())
    throw CannotRun("no job was accepted");
  return Lost > 0 || (!Stalled.empty() && Free > 0.5) ? 1 : 0;
}

/// A lasting task of 18 cores is at work on one of 8 executors. A gang of 8
/// tasks of 17 cores comes, which waits for that executor (TROUBLE=0: of 7
/// tasks), among steady small jobs of the same queue.
int runBesideService(const std::string &Folder, bool Trouble) {
  Rig Platform(Folder, PlainPlatform, 3);
  constexpr double Capacity = 8 * 32000.0;
  json Service = makeJob("batch", {{{"count", 1},
                                    {"cpu", 18000},
                                    {"mem-mb", 1024},
                                    {"ms", 600000},
                                    {"long-running", true}}});
  const std::string ServiceId = idOf(20, 1);
  if (Platform.send("POST", "batch", ServiceId, Service.dump(), 5, 0).Status !=
      200)
    throw CannotRun("the lasting job was not accepted");
  Traffic Small(Platform, 30, 400,
                {{{"count", 2}, {"cpu", 500}, {"mem-mb", 64}, {"ms", 300}}},
                "batch", 21);
  sleepMs(5000);
  const int Members = Trouble ? 8 : 7;
  const json Gang = makeJob("batch", {{{"count", Members},
                                       {"cpu", 17000},
                                       {"mem-mb", 1024},
                                       {"ms", 500},
                                       {"gang", true}}});
  const std::string GangId = idOf(22, 1);
  const Reply Sent = Platform.send("POST", "batch", GangId, Gang.dump(), 5, 1);
  Small.join();
  record("the traffic has ended; finish_s begins");
  sleepMs(14000);
  const auto Ids = Small.accepted();
  double Free = 0;
  const auto Stalled = stalledJobs(Platform, Ids, {2}, Capacity, Free);
  int Completed = 0;
  const int Lost = askForJobs(Platform, "batch", Ids, Completed);
  int GangDone = 0;
  askForJobs(Platform, "batch", {GangId}, GangDone);
  for (const std::string &Each : Stalled)
    record("stalled: " + Each);
  char Text[400];
  std::snprintf(Text, sizeof Text,
                "small jobs: %d sent, %zu accepted, %d completed, %d not known "
                "or without an answer, %zu with nothing running for 3 s though "
                "their turn had come; gang of %d: status %d, %s; free capacity "
                "at least %.0f%%",
                Small.sent(), Ids.size(), Completed, Lost, Stalled.size(),
                Members, Sent.Status,
                GangDone > 0 ? "completed" : "not completed", 100 * Free);
  record(Text);
  if (Ids.empty())
    throw CannotRun("no job was accepted");
  return Lost > 0 || (!Stalled.empty() && Free > 0.5) ? 1 : 0;
}

std::int64_t unixUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string hexOf(const std::string &Text) {
  std::string Hex;
  for (const unsigned char Byte : Text) {
    char Digits[3];
    std::snprintf(Digits, sizeof Digits, "%02x", Byte);
    Hex += Digits;
  }
  return Hex;
}

/// Lasting jobs, an entry of another writer in the list of executors, and
/// processes that are killed one after the other and start again (TROUBLE=0:
/// they are not killed; FOREIGN=0: without the entry; STOP=term: they are
/// stopped as planned work).
int runForeignEntry(const std::string &Folder, bool Trouble) {
  const char *Setting = std::getenv("FOREIGN");
  const bool Foreign = Setting == nullptr || std::string(Setting) != "0";
  Rig Platform(Folder, PlainPlatform, 3);
  // Nobody listens there.
  const int Unused = bindPort("127.0.0.1", 0);
  json Entry = {{"service", "elsewhere"},
                {"address", "127.0.0.1:" + std::to_string(portOf(Unused))},
                {"zone", "zone-a"},
                {"version", "1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold-remaining-ms", 0},
                {"born", unixMs()},
                {"labels", {"a", "rack-0"}},
                {"capacity", {{"cpu", 32000}, {"mem-mb", 131072}, {"gpu", 0}}}};
  std::atomic<bool> Writing{Foreign};
  // Its writer keeps it up, as entries go after three intervals of silence.
  std::thread Writer([&] {
    for (int Sequence = 1; Writing; ++Sequence) {
      Entry["sequence"] = Sequence;
      try {
        Platform.trouble({{"kind", "put-entry"},
                          {"key", hexOf("i-elsewhere")},
                          {"value", hexOf(Entry.dump())}},
                         Sequence == 1);
      } catch (const CannotRun &Failure) {
        record(Failure.what());
      }
      for (int Step = 0; Step < 15 && Writing; ++Step)
        sleepMs(100);
    }
  });
  struct Joiner {
    std::atomic<bool> &Running;
    std::thread &Thread;
    ~Joiner() {
      Running = false;
      Thread.join();
    }
  } const Join{Writing, Writer};
  // Traffic starts 10 s after the machines do.
  sleepMs(10000);
  std::set<std::string> Accepted;
  for (unsigned Number = 0; Number < 24; ++Number) {
    const json Job = makeJob("plain", {{{"count", 3},
                                        {"cpu", 500},
                                        {"mem-mb", 64},
                                        {"ms", 2500},
                                        {"long-running", true}}});
    const std::string Id = idOf(30, Number);
    if (Platform.send("POST", "plain", Id, Job.dump(), 5, Number).Status == 200)
      Accepted.insert(Id);
  }
  // The entry's holder has waited for a former holder's lease by then.
  sleepMs(5000);
  struct Disruption {
    std::int64_t Begin;
    std::int64_t Back; ///< The process has started again.
  };
  std::vector<Disruption> Kills;
  const char *Stop = std::getenv("STOP");
  const bool Planned = Stop != nullptr && std::string(Stop) == "term";
  for (auto &Each : Platform.cells()) {
    if (Trouble) {
      record((Planned ? "SIGTERM to " : "SIGKILL to ") + Each->Name);
      const std::int64_t Begin = unixUs();
      ::kill(Each->Process, Planned ? SIGTERM : SIGKILL);
      for (int Step = 0; ::waitpid(Each->Process, nullptr, WNOHANG) == 0;
           ++Step) {
        if (Step == 300) // grace-s
          ::kill(Each->Process, SIGKILL);
        sleepMs(20);
      }
      Each->Process = 0;
      record(Each->Name + " has ended");
      sleepMs(1000);
      Platform.startCell(*Each);
      Kills.push_back({Begin, unixUs()});
    }
    sleepMs(19000);
  }
  const std::int64_t End = unixUs();
  struct Gap {
    std::int64_t Begin;
    std::int64_t End;
  };
  std::map<std::string, std::vector<Gap>> Gaps;
  std::map<std::string, int> Running;
  for (const json &Event : Platform.history()) {
    const auto Kind = Event.value("event", std::string());
    if (Kind != "started" && Kind != "ended" && Kind != "dropped")
      continue;
    const auto Task = Event.at("task").get<std::string>();
    const auto At = Event.value("wall_us", std::int64_t{0});
    auto &Of = Gaps[Task];
    if (Kind == "started") {
      if (Running[Task]++ == 0 && !Of.empty())
        Of.back().End = At;
    } else if (--Running[Task] == 0) {
      Of.push_back({At, End});
    }
  }
  int Broken = 0;
  std::int64_t Longest = 0;
  for (const auto &[Task, Of] : Gaps)
    for (const Gap &Each : Of) {
      Longest = std::max(Longest, Each.End - Each.Begin);
      // 3 s, from 6 s after the last run on, with 4 s before; all calm.
      std::int64_t CalmFrom = 0;
      std::int64_t CalmUntil = End;
      std::int64_t LatestKill = 0;
      for (const Disruption &Kill : Kills) {
        if (Kill.Begin <= Each.Begin + 6'000'000) {
          CalmFrom = Kill.Back + 500'000;
          LatestKill = Kill.Begin;
        } else {
          CalmUntil = std::min(CalmUntil, Kill.Begin);
        }
      }
      const std::int64_t From =
          std::max(Each.Begin + 6'000'000, CalmFrom + 4'000'000);
      if (std::min(Each.End, CalmUntil) >= From + 3'000'000) {
        ++Broken;
        char Text[200];
        std::snprintf(Text, sizeof Text,
                      "LOST: %s had no run for %.1f s, until %.1f s after the "
                      "latest kill",
                      Task.c_str(), (Each.End - Each.Begin) / 1e6,
                      (Each.End - LatestKill) / 1e6);
        record(Text);
      }
    }
  char Text[200];
  std::snprintf(Text, sizeof Text,
                "%zu lasting jobs of 3 tasks accepted; longest time without a "
                "run of a task %.1f s; %d times too long in calm time",
                Accepted.size(), Longest / 1e6, Broken);
  record(Text);
  ::close(Unused);
  if (Accepted.empty())
    throw CannotRun("no job was accepted");
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Values) {
  if (Count != 3) {
    std::cerr << "usage: driver SCENARIO FOLDER\n";
    return 2;
  }
  const std::string Scenario = Values[1];
  const std::string Folder = Values[2];
  const char *Setting = std::getenv("TROUBLE");
  const bool Trouble = Setting == nullptr || std::string(Setting) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  Record.open(Folder + "/record.txt");
  int Result = 2;
  try {
    if (Scenario == "pipeline")
      Result = runPipeline(Folder, Trouble);
    else if (Scenario == "schedule")
      Result = runSchedule(Folder, Trouble);
    else if (Scenario == "whole-executor")
      Result = runWholeExecutor(Folder, Trouble);
    else if (Scenario == "beside-service")
      Result = runBesideService(Folder, Trouble);
    else if (Scenario == "foreign-entry")
      Result = runForeignEntry(Folder, Trouble);
    else if (Scenario == "rack")
      Result = runRack(Folder, Trouble);
    else
      throw CannotRun("unknown scenario " + Scenario);
  } catch (const std::exception &Failure) {
    record(std::string("could not run: ") + Failure.what());
    std::cerr << "driver: " << Failure.what() << "\n";
    Result = 2;
  }
  record("exit status " + std::to_string(Result));
  return Result;
}
