// Stand-ins for the platform's store, for workers and for clients, as the
// users' pages describe them, and the start of the project's own program.
#pragma once

#include "net.h"

#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <tuple>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
using Json = rapidjson::Writer<rapidjson::StringBuffer>;
using std::chrono::milliseconds;

inline const Clock::time_point Began = Clock::now();
inline double seconds() {
  return std::chrono::duration<double>(Clock::now() - Began).count();
}
inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

// What was sent, answered and run, with the seconds since the start.
class Record {
public:
  void open(const std::string &Path) { m_file = fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) {
    std::lock_guard Guard(m_lock);
    if (!m_file)
      return;
    fprintf(m_file, "%8.3f ", seconds());
    va_list Arguments;
    va_start(Arguments, Format);
    vfprintf(m_file, Format, Arguments);
    va_end(Arguments);
    fputc('\n', m_file);
    fflush(m_file);
  }

private:
  std::mutex m_lock;
  FILE *m_file = nullptr;
};
inline Record Log;

inline std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 | (I + J < Bytes.size()
                                ? static_cast<unsigned char>(Bytes[I + J])
                                : 0U);
    for (size_t J = 0; J < 4; ++J)
      Out += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Out;
}

inline size_t decodedSize(const std::string &Text) {
  size_t Padding = Text.size() >= 2 && Text[Text.size() - 2] == '=' ? 2
                   : !Text.empty() && Text.back() == '='            ? 1
                                                                    : 0;
  return Text.size() / 4 * 3 - Padding;
}

inline std::string text(const rapidjson::Value &Value, const char *Name) {
  auto It = Value.FindMember(Name);
  return It == Value.MemberEnd() || !It->value.IsString()
             ? std::string()
             : std::string(It->value.GetString(), It->value.GetStringLength());
}
inline int64_t number(const rapidjson::Value &Value, const char *Name,
                      int64_t Default) {
  auto It = Value.FindMember(Name);
  return It == Value.MemberEnd() || !It->value.IsNumber()
             ? Default
             : static_cast<int64_t>(It->value.GetDouble());
}
inline void put(Json &Out, const char *Name, const std::string &Value) {
  Out.Key(Name);
  Out.String(Value.data(), static_cast<rapidjson::SizeType>(Value.size()));
}

// The platform's store (PROTOCOL, "The platform's metadata store").
class Store {
public:
  static constexpr size_t RowBytes = 65536;
  static constexpr size_t CallBytes = 1'000'000;
  static constexpr size_t CallEntries = 100;
  static constexpr size_t PageRows = 500;

  Store() : m_server([this](const net::Request &R) { return serve(R); }) {}
  bool start() { return m_server.start(); }
  int port() const { return m_server.port(); }
  // While this is set, calls get 503 and have no effect.
  std::atomic<bool> IsDown{false};

  // Writes a row for the operator or a worker.
  void write(const std::string &Table, const std::string &Key,
             const std::string &Value) {
    if (IsDown)
      return;
    std::lock_guard Guard(m_lock);
    ++m_version;
    set({Table, "", Key}, base64(Value));
    m_changed.notify_all();
  }
  void remove(const std::string &Table, const std::string &Key) {
    std::lock_guard Guard(m_lock);
    ++m_version;
    drop({Table, "", Key});
    m_changed.notify_all();
  }

private:
  using Address = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string Value;
    uint64_t Version;
  };
  struct Change {
    uint64_t Version;
    Address Where;
    std::string Value;
    bool IsRemoved;
  };

  void set(const Address &Where, const std::string &Value) {
    m_rows[Where] = {Value, m_version};
    m_log.push_back({m_version, Where, Value, false});
  }
  void drop(const Address &Where) {
    m_rows.erase(Where);
    m_log.push_back({m_version, Where, "", true});
  }

  net::Response serve(const net::Request &R) {
    if (IsDown)
      return {.Status = 503, .Body = "{}"};
    if (R.Path == "/basilchute/rows-tx")
      return transact(R);
    if (R.Path == "/basilchute/rows-get")
      return get(R);
    if (R.Path == "/basilchute/rows-feed")
      return feed(R);
    return {.Status = 404, .Body = "{}"};
  }

  static std::string query(const net::Request &R, const char *Name) {
    auto It = R.Query.find(Name);
    return It == R.Query.end() ? "" : It->second;
  }

  static void rowHead(Json &Out, const Address &Where) {
    put(Out, "table", std::get<0>(Where));
    put(Out, "part", std::get<1>(Where));
    put(Out, "key", std::get<2>(Where));
  }
  void tail(Json &Out) const {
    Out.Key("schema_version");
    Out.Uint64(m_version);
    Out.Key("current_time_ms");
    Out.Int64(static_cast<int64_t>(seconds() * 1000));
  }

  static Address addressOf(const rapidjson::Value &Entry) {
    return {text(Entry, "table"), text(Entry, "part"), text(Entry, "key")};
  }

  net::Response transact(const net::Request &R) {
    rapidjson::Document Body;
    Body.Parse(R.Body.data(), R.Body.size());
    size_t Entries = 0;
    for (const char *List : {"precondition", "writes", "remove"})
      Entries += Body.HasMember(List) ? Body[List].Size() : 0;
    if (Entries > CallEntries || R.Body.size() > CallBytes) {
      Log.line("store: 400, a call of %zu entries and %zu bytes", Entries,
               R.Body.size());
      return {.Status = 400, .Body = "{}"};
    }
    for (const auto &Entry : Body["writes"].GetArray()) {
      size_t Size = decodedSize(text(Entry, "value"));
      if (Size <= RowBytes)
        continue;
      Log.line("store: 400, the row %s/%s has %zu bytes",
               text(Entry, "table").c_str(), text(Entry, "key").c_str(), Size);
      return {.Status = 400, .Body = "{}"};
    }
    sleepFor(0.003);
    std::lock_guard Guard(m_lock);
    rapidjson::StringBuffer Buffer;
    Json Out(Buffer);
    bool Holds = true;
    for (const auto &Entry : Body["precondition"].GetArray()) {
      auto It = m_rows.find(addressOf(Entry));
      auto Version = static_cast<uint64_t>(number(Entry, "schema_version", 0));
      Holds &= Version == (It == m_rows.end() ? 0 : It->second.Version);
    }
    Out.StartObject();
    if (!Holds) {
      Out.Key("rows");
      Out.StartArray();
      for (const auto &Entry : Body["precondition"].GetArray()) {
        auto It = m_rows.find(addressOf(Entry));
        if (It != m_rows.end())
          writeRow(Out, It->first, It->second);
      }
      Out.EndArray();
    } else {
      ++m_version;
      for (const auto &Entry : Body["writes"].GetArray())
        set(addressOf(Entry), text(Entry, "value"));
      for (const auto &Entry : Body["remove"].GetArray())
        drop(addressOf(Entry));
      m_changed.notify_all();
    }
    tail(Out);
    Out.EndObject();
    return {.Status = Holds ? 200 : 412, .Body = Buffer.GetString()};
  }

  static void writeRow(Json &Out, const Address &Where, const Row &Row) {
    Out.StartObject();
    rowHead(Out, Where);
    put(Out, "value", Row.Value);
    Out.Key("schema_version");
    Out.Uint64(Row.Version);
    Out.EndObject();
  }

  net::Response get(const net::Request &R) {
    sleepFor(0.002);
    std::lock_guard Guard(m_lock);
    std::string Table = query(R, "table");
    std::string Part = query(R, "part");
    std::string To = query(R, "to");
    rapidjson::StringBuffer Buffer;
    Json Out(Buffer);
    Out.StartObject();
    Out.Key("rows");
    Out.StartArray();
    size_t Rows = 0;
    bool HasMore = false;
    for (auto It = m_rows.lower_bound({Table, Part, query(R, "from")});
         It != m_rows.end(); ++It) {
      const auto &[RowTable, RowPart, Key] = It->first;
      if (RowTable != Table || RowPart != Part || (!To.empty() && Key >= To))
        break;
      HasMore = Rows == PageRows || Buffer.GetSize() > CallBytes;
      if (HasMore)
        break;
      ++Rows;
      writeRow(Out, It->first, It->second);
    }
    Out.EndArray();
    Out.Key("has_more");
    Out.Bool(HasMore);
    tail(Out);
    Out.EndObject();
    return {.Status = 200, .Body = Buffer.GetString()};
  }

  net::Response feed(const net::Request &R) {
    std::string Table = query(R, "table");
    uint64_t After = std::stoull("0" + query(R, "after"));
    auto Until = Clock::now() + milliseconds(std::stoi("0" + query(R, "wait_ms")));
    std::unique_lock Guard(m_lock);
    auto HasChange = [&] {
      for (auto It = m_log.rbegin(); It != m_log.rend() && It->Version > After;
           ++It)
        if (std::get<0>(It->Where) == Table)
          return true;
      return false;
    };
    while (!HasChange() && !IsDown &&
           m_changed.wait_until(Guard, Until) != std::cv_status::timeout)
      ;
    if (IsDown)
      return {.Status = 503, .Body = "{}"};
    rapidjson::StringBuffer Buffer;
    Json Out(Buffer);
    Out.StartObject();
    Out.Key("rows");
    Out.StartArray();
    auto First = m_log.end();
    while (First != m_log.begin() && std::prev(First)->Version > After)
      --First;
    for (auto It = First; It != m_log.end(); ++It) {
      if (std::get<0>(It->Where) != Table)
        continue;
      Out.StartObject();
      rowHead(Out, It->Where);
      if (It->IsRemoved) {
        Out.Key("deleted");
        Out.Bool(true);
      } else {
        put(Out, "value", It->Value);
      }
      Out.Key("schema_version");
      Out.Uint64(It->Version);
      Out.EndObject();
    }
    Out.EndArray();
    tail(Out);
    Out.EndObject();
    return {.Status = 200, .Body = Buffer.GetString()};
  }

  std::mutex m_lock;
  std::condition_variable m_changed;
  std::map<Address, Row> m_rows;
  std::vector<Change> m_log;
  uint64_t m_version = 100;
  net::Server m_server;
};

// A step of a submission, as its client sent it, with the time that each of its
// tasks works.
struct Step {
  int Count = 1;
  int Cpu = 1000;
  int MemMb = 500;
  int WorkMs = 1000;
  std::vector<int> After;
  bool IsCheckpointing = false;
  bool IsLongRunning = false;
  std::string Requirements;
  int MaxPerServer = 0;
  int EstimateMs = 0;
};

struct Submission {
  std::string Id;
  std::string Spec = "work";
  std::vector<Step> Steps;

  std::string body() const {
    rapidjson::StringBuffer Buffer;
    Json Out(Buffer);
    Out.StartObject();
    put(Out, "spec", Spec);
    Out.Key("steps");
    Out.StartArray();
    for (const Step &Step : Steps) {
      Out.StartObject();
      auto Integer = [&](const char *Name, int Value) {
        Out.Key(Name);
        Out.Int(Value);
      };
      Integer("count", Step.Count);
      Integer("cpu", Step.Cpu);
      Integer("mem_mb", Step.MemMb);
      Integer("estimate_ms", Step.EstimateMs ? Step.EstimateMs : Step.WorkMs);
      if (Step.MaxPerServer > 0)
        Integer("max_per_server", Step.MaxPerServer);
      if (!Step.After.empty()) {
        Out.Key("after");
        Out.StartArray();
        for (int Earlier : Step.After)
          Out.Int(Earlier);
        Out.EndArray();
      }
      if (Step.IsCheckpointing) {
        Out.Key("checkpointing");
        Out.Bool(true);
      }
      if (Step.IsLongRunning) {
        Out.Key("long_running");
        Out.Bool(true);
      }
      if (!Step.Requirements.empty())
        put(Out, "requirements", Step.Requirements);
      Out.EndObject();
    }
    Out.EndArray();
    Out.EndObject();
    return Buffer.GetString();
  }
};

// All submissions that clients have sent, by ID.
class Submissions {
public:
  void add(const Submission &Sent) {
    std::lock_guard Guard(m_lock);
    m_sent[Sent.Id] = Sent;
  }
  // Returns the step of a task named ID.K.STEP.INDEX.
  Step stepOf(const std::string &Task) {
    std::lock_guard Guard(m_lock);
    auto It = m_sent.find(Task.substr(0, 16));
    if (It == m_sent.end())
      return {};
    size_t Dot = Task.find('.', 17);
    auto Number = static_cast<size_t>(std::stoi(Task.substr(Dot + 1)));
    return Number < It->second.Steps.size() ? It->second.Steps[Number] : Step{};
  }

private:
  std::mutex m_lock;
  std::map<std::string, Submission> m_sent;
};
inline Submissions Sent;

// A worker (PROTOCOL, "Running tasks"). It doesn't guard its capacity.
class Worker {
public:
  static constexpr int MaxHoldMs = 10000;
  static constexpr int StopMs = 50;
  static constexpr double HeartbeatS = 1.5;

  struct Run {
    int Number;
    Step What;
    Clock::time_point StartedAt;
    std::optional<Clock::time_point> StopAt;
    std::string Checkpoint;
  };

  Worker(Store &Platform, std::string Id, std::string Rack)
      : Id(std::move(Id)), m_store(Platform), m_rack(std::move(Rack)) {
    m_ticker = std::thread([this] { tickLoop(); });
    m_ticker.detach();
  }

  const std::string Id;
  // Called under the worker's lock after a task has begun, with the millicores
  // in use.
  std::function<void(const std::string &Task, int Run, int64_t UsedCpu)> OnStart;
  // Called under the worker's lock when a run has ended.
  std::function<void(const std::string &Task, const std::string &How)> OnEnd;
  // Called before a request is handled. Returns a response to give instead.
  std::function<std::optional<net::Response>(const net::Request &)> Before;
  // Called with a handled request and its answer. Returns what is delivered.
  std::function<net::Response(const net::Request &, net::Response)> Deliver;

  // Starts a life of the worker: it registers, and then takes calls.
  void start(int Cpu, int MemMb, const std::string &Kind) {
    {
      std::lock_guard Guard(m_lock);
      m_born = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
      m_bornAt = Clock::now();
      m_cpu = Cpu;
      m_memMb = MemMb;
      m_kind = Kind;
      m_token = 0;
      m_leaseMs = 0;
      m_sequence = 0;
      m_lastNumber = 0;
      m_runs.clear();
      m_finished.clear();
      m_highest.clear();
      ++m_life;
      m_isUp = true;
      if (m_port == 0)
        m_port = net::freePort();
    }
    beat();
    auto Server = std::make_shared<net::Server>(
        [this, Life = m_life](const net::Request &R) { return serve(R, Life); });
    if (!Server->start(m_port))
      Log.line("worker %s: can't listen", Id.c_str());
    m_servers.push_back(Server); // its threads may outlive its end
    Log.line("worker %s: up, kind %s, %d millicores, born %lld", Id.c_str(),
             Kind.c_str(), Cpu, static_cast<long long>(m_born));
  }

  // The process ends at once. Its entry stays until it is silent for three
  // status reports.
  void crash() {
    size_t Lost = 0;
    {
      std::lock_guard Guard(m_lock);
      m_isUp = false;
      ++m_life;
      Lost = m_runs.size();
      m_runs.clear();
      m_finished.clear();
      m_changed.notify_all();
    }
    m_servers.back()->stop();
    Log.line("worker %s: crashed with %zu tasks", Id.c_str(), Lost);
  }

  std::vector<std::string> running() {
    std::lock_guard Guard(m_lock);
    std::vector<std::string> Out;
    for (const auto &[Task, Run] : m_runs)
      Out.push_back(Task);
    return Out;
  }
  // Seconds since the last start among the tasks at work; zero if there is none.
  double youngest() {
    std::lock_guard Guard(m_lock);
    auto Last = Clock::time_point::min();
    for (const auto &[Task, Run] : m_runs)
      Last = std::max(Last, Run.StartedAt);
    return m_runs.empty() ? 0
                          : std::chrono::duration<double>(Clock::now() - Last)
                                .count();
  }
  int64_t usedCpu() {
    std::lock_guard Guard(m_lock);
    return used();
  }
  size_t unacknowledged() {
    std::lock_guard Guard(m_lock);
    return m_finished.size();
  }
  // Only for OnStart, which is called under the lock.
  int cpuNow() const { return m_cpu; }
  const std::string &kindNow() const { return m_kind; }
  // Keeps the worker's reports from the store. Returns the time of the last.
  double cutFromStore(bool IsCut) {
    std::lock_guard Guard(m_lock);
    m_isCutFromStore = IsCut;
    return m_beatAt;
  }
  bool isUp() {
    std::lock_guard Guard(m_lock);
    return m_isUp;
  }
  int cpu() {
    std::lock_guard Guard(m_lock);
    return m_cpu;
  }

private:
  struct Finished {
    int64_t Number;
    std::string Task;
    int Run;
    std::string How;
    std::string Checkpoint;
  };

  int64_t clock() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - m_bornAt)
        .count();
  }
  int64_t used() const {
    int64_t Out = 0;
    for (const auto &[Task, Run] : m_runs)
      Out += Run.What.Cpu;
    return Out;
  }

  void beat() {
    rapidjson::StringBuffer Buffer;
    Json Out(Buffer);
    {
      std::lock_guard Guard(m_lock);
      m_nextBeat = Clock::now() + std::chrono::milliseconds(
                                      static_cast<int>(HeartbeatS * 1000));
      if (!m_isUp || m_isCutFromStore)
        return;
      m_beatAt = seconds();
      Out.StartObject();
      put(Out, "service", "desk");
      put(Out, "address", "127.0.0.1:" + std::to_string(m_port));
      put(Out, "zone", "zone-a");
      put(Out, "version", "v1");
      Out.Key("slots");
      Out.Int(8);
      put(Out, "state", "ready");
      Out.Key("cold_remaining_ms");
      Out.Int(0);
      Out.Key("capacity");
      Out.StartObject();
      Out.Key("cpu");
      Out.Int(m_cpu);
      Out.Key("mem_mb");
      Out.Int(m_memMb);
      Out.Key("gpus");
      Out.Int(0);
      Out.EndObject();
      Out.Key("labels");
      Out.StartArray();
      Out.String(m_kind.c_str());
      Out.String(m_rack.c_str());
      Out.EndArray();
      Out.Key("clock_ms");
      Out.Int64(clock());
      Out.Key("born");
      Out.Int64(m_born);
      Out.Key("sequence");
      Out.Int(++m_sequence);
      Out.EndObject();
    }
    m_store.write("servers", Id, Buffer.GetString());
  }

  void end(const std::string &Task, const std::string &How) {
    auto It = m_runs.find(Task);
    Run Ended = It->second;
    m_runs.erase(It);
    m_highest[Task] = std::max(m_highest[Task], Ended.Number);
    m_finished.push_back(
        {++m_lastNumber, Task, Ended.Number, How, Ended.Checkpoint});
    Log.line("worker %s: %s run %d ends %s", Id.c_str(), Task.c_str(),
             Ended.Number, How.c_str());
    if (OnEnd)
      OnEnd(Task, How);
    m_changed.notify_all();
  }

  void tickLoop() {
    for (;;) {
      sleepFor(0.005);
      bool IsBeatDue = false;
      {
        std::lock_guard Guard(m_lock);
        if (!m_isUp)
          continue;
        auto Now = Clock::now();
        IsBeatDue = Now >= m_nextBeat;
        std::vector<std::pair<std::string, std::string>> Ends;
        for (auto &[Task, Run] : m_runs) {
          auto Age = Now - Run.StartedAt;
          if (clock() > m_leaseMs)
            Ends.push_back({Task, "lapsed"});
          else if (Run.StopAt && Now >= *Run.StopAt)
            Ends.push_back({Task, "stopped"});
          else if (!Run.What.IsLongRunning &&
                   Age >= milliseconds(Run.What.WorkMs))
            Ends.push_back({Task, "done"});
          else if (Run.What.IsCheckpointing && Run.Checkpoint.empty() &&
                   Age >= milliseconds(Run.What.WorkMs / 2))
            Run.Checkpoint = "0123456789abcdef";
        }
        for (const auto &[Task, How] : Ends)
          end(Task, How);
      }
      if (IsBeatDue)
        beat();
    }
  }

  net::Response answer(int Status, const std::string &Reason = "") const {
    std::string Body = "{\"clock_ms\":" + std::to_string(clock());
    if (!Reason.empty())
      Body += ",\"reason\":\"" + Reason + "\"";
    return {.Status = Status, .Body = Body + "}"};
  }

  net::Response serve(const net::Request &R, int Life) {
    if (Before)
      if (std::optional<net::Response> Instead = Before(R))
        return *Instead;
    net::Response Out = handle(R, Life);
    return Deliver ? Deliver(R, std::move(Out)) : Out;
  }

  net::Response handle(const net::Request &R, int Life) {
    std::unique_lock Guard(m_lock);
    if (!m_isUp || Life != m_life)
      return {.Reset = true};
    auto Expected = R.Headers.find("expected-instance");
    if (Expected != R.Headers.end() && Expected->second != Id)
      return answer(421);
    rapidjson::Document Body;
    Body.Parse(R.Body.data(), R.Body.size());
    if (Body.HasParseError() || !Body.IsObject())
      return answer(400);
    int64_t Token = number(Body, "fencing_token", 0);
    if (Token < m_token)
      return answer(409, "fence");
    m_token = Token;
    if (R.Path == "/basilchute/run-start")
      return startTask(Body);
    if (R.Path == "/basilchute/run-stop")
      return stopTask(Body);
    if (R.Path == "/basilchute/hold")
      return hold(Body, Guard, Life);
    if (R.Path == "/basilchute/pace")
      return answer(200);
    return answer(400);
  }

  // A lease is never shortened, and is at most MaxHoldMs.
  void extend(const rapidjson::Document &Body) {
    int64_t Until = number(Body, "deadline_ms", 0);
    m_leaseMs = std::max(m_leaseMs, std::min(Until, clock() + MaxHoldMs));
  }

  net::Response startTask(const rapidjson::Document &Body) {
    std::string Task = text(Body, "task");
    auto Number = static_cast<int>(number(Body, "run", 0));
    auto Present = m_runs.find(Task);
    if (Present != m_runs.end() && Present->second.Number == Number) {
      extend(Body);
      return answer(200);
    }
    auto Highest = m_highest.find(Task);
    if (Highest != m_highest.end() && Number <= Highest->second) {
      extend(Body);
      return answer(409, "old");
    }
    if (number(Body, "deadline_ms", 0) <= clock())
      return answer(409, "late");
    extend(Body);
    m_runs[Task] = {.Number = Number,
                    .What = Sent.stepOf(Task),
                    .StartedAt = Clock::now(),
                    .StopAt = std::nullopt,
                    .Checkpoint = text(Body, "checkpoint")};
    Log.line("worker %s: %s run %d starts, %lld of %d millicores in use",
             Id.c_str(), Task.c_str(), Number, static_cast<long long>(used()),
             m_cpu);
    if (OnStart)
      OnStart(Task, Number, used());
    return answer(200);
  }

  net::Response stopTask(const rapidjson::Document &Body) {
    std::string Task = text(Body, "task");
    auto Number = static_cast<int>(number(Body, "run", 0));
    m_highest[Task] = std::max(m_highest[Task], Number);
    auto Present = m_runs.find(Task);
    if (Present != m_runs.end() && Present->second.Number <= Number &&
        !Present->second.StopAt)
      Present->second.StopAt = Clock::now() + milliseconds(StopMs);
    Log.line("worker %s: told to stop %s run %d", Id.c_str(), Task.c_str(),
             Number);
    return answer(200);
  }

  net::Response hold(const rapidjson::Document &Body,
                     std::unique_lock<std::mutex> &Guard, int Life) {
    if (Body.HasMember("deadline_ms"))
      extend(Body);
    int64_t Seen = number(Body, "last_seen", 0);
    std::erase_if(m_finished,
                  [&](const Finished &End) { return End.Number <= Seen; });
    auto Until = Clock::now() + milliseconds(std::min<int64_t>(
                                    number(Body, "wait_ms", 0), 2000));
    while (m_finished.empty() && Life == m_life &&
           m_changed.wait_until(Guard, Until) != std::cv_status::timeout)
      ;
    if (Life != m_life)
      return {.Reset = true};
    rapidjson::StringBuffer Buffer;
    Json Out(Buffer);
    Out.StartObject();
    Out.Key("clock_ms");
    Out.Int64(clock());
    Out.Key("born");
    Out.Int64(m_born);
    Out.Key("running");
    Out.StartArray();
    for (const auto &[Task, Run] : m_runs) {
      Out.StartArray();
      Out.String(Task.c_str());
      Out.Int(Run.Number);
      Out.String(Run.Checkpoint.c_str());
      auto Age = std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                          Run.StartedAt);
      Out.Int(Run.What.IsLongRunning
                  ? 100
                  : std::min<int>(99, static_cast<int>(Age.count() * 100 /
                                                       Run.What.WorkMs)));
      Out.Int(Run.What.Cpu);
      Out.EndArray();
    }
    Out.EndArray();
    Out.Key("finished");
    Out.StartArray();
    size_t Listed = 0;
    for (const Finished &End : m_finished) {
      if (++Listed > 500)
        break;
      Out.StartArray();
      Out.Int64(End.Number);
      Out.String(End.Task.c_str());
      Out.Int(End.Run);
      Out.String(End.How.c_str());
      Out.String(End.Checkpoint.c_str());
      Out.EndArray();
    }
    Out.EndArray();
    Out.EndObject();
    return {.Status = 200, .Body = Buffer.GetString()};
  }

  Store &m_store;
  std::string m_rack;
  std::mutex m_lock;
  std::condition_variable m_changed;
  std::vector<std::shared_ptr<net::Server>> m_servers;
  std::thread m_ticker;
  bool m_isUp = false;
  bool m_isCutFromStore = false;
  double m_beatAt = 0;
  int m_life = 0;
  int m_port = 0;
  int64_t m_born = 0;
  Clock::time_point m_bornAt;
  Clock::time_point m_nextBeat;
  int m_cpu = 0;
  int m_memMb = 0;
  std::string m_kind;
  int64_t m_token = 0;
  int64_t m_leaseMs = 0;
  int m_sequence = 0;
  std::map<std::string, Run> m_runs;
  std::vector<Finished> m_finished;
  int64_t m_lastNumber = 0;
  std::map<std::string, int> m_highest;
};

// A process of the project's program, with settings made from the template of
// the deploy file as the platform does.
class Host {
public:
  Host(std::string Program, const std::string &Template, std::string Folder,
       std::string Name, int StorePort)
      : m_program(std::move(Program)), m_name(std::move(Name)),
        m_file(Folder + "/" + m_name + ".toml"),
        m_logFile(Folder + "/" + m_name + ".log"), Front(net::freePort()),
        Ready(net::freePort()) {
    std::ifstream In(Template);
    std::stringstream Text;
    Text << In.rdbuf();
    std::string Out = Text.str();
    auto Fill = [&](const std::string &Field, const std::string &Value) {
      for (size_t At; (At = Out.find(Field)) != std::string::npos;)
        Out.replace(At, Field.size(), Value);
    };
    std::string Loopback = "127.0.0.1:";
    Fill("{{node_name}}", m_name);
    Fill("{{limits.cpu_share}}", "0.1");
    Fill("{{listen_addresses.front}}", Loopback + std::to_string(Front));
    Fill("{{listen_addresses.ready}}", Loopback + std::to_string(Ready));
    Fill("{{platform.address}}", Loopback + std::to_string(StorePort));
    Fill("{{#platform.cross_shard}}true{{/platform.cross_shard}}", "true");
    Fill("{{^platform.cross_shard}}false{{/platform.cross_shard}}", "");
    Fill("{{recommendation}}", "");
    Fill("{{bounds.max_hold_ms}}", std::to_string(Worker::MaxHoldMs));
    std::ofstream(m_file) << Out;
  }

  void start() {
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Output = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Output, 1);
      dup2(Output, 2);
      execl(m_program.c_str(), m_program.c_str(), "--config", m_file.c_str(),
            static_cast<char *>(nullptr));
      _exit(127);
    }
    Log.line("host %s: started", m_name.c_str());
  }
  void signal(int Number) {
    kill(m_pid, Number);
    Log.line("host %s: signal %d", m_name.c_str(), Number);
  }
  // Returns true if the process has ended by itself.
  bool hasEnded() {
    if (m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) != m_pid)
      return m_pid <= 0;
    m_pid = 0;
    return true;
  }
  void killAndWait() {
    if (m_pid <= 0)
      return;
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }
  bool isReady() const {
    return net::call(Ready, "GET", "/basilchute/readiness", "x", "", 500)
               .Status == 200;
  }
  ~Host() { killAndWait(); }

private:
  std::string m_program;
  std::string m_name;
  std::string m_file;
  std::string m_logFile;
  pid_t m_pid = 0;

public:
  const int Front;
  const int Ready;
};

// Clients of one queue. They ask one host after the other, as retries through
// the platform's balancer do.
class Client {
public:
  Client(std::vector<Host *> Hosts, std::string HostName, std::string Prefix)
      : m_hosts(std::move(Hosts)), m_hostName(std::move(HostName)),
        m_prefix(std::move(Prefix)) {}

  net::Response send(const std::string &Method, const std::string &Id,
                     const std::string &Body = "", int Tries = 5) {
    net::Response Out{.Status = 0};
    for (int Try = 0; Try < Tries; ++Try) {
      Host *Target = m_hosts[m_next++ % m_hosts.size()];
      Out = net::call(Target->Front, Method, m_prefix + Id, m_hostName, Body,
                      3000);
      Log.line("client: %s %s -> %d %s", Method.c_str(), Id.c_str(), Out.Status,
               Out.Body.substr(0, 100).c_str());
      bool MayAskAgain = Out.Status == 0 || Out.Status == 502 ||
                         Out.Status == 503 || Out.Status == 504;
      if (!MayAskAgain)
        break;
      sleepFor(0.2);
    }
    return Out;
  }
  // Returns true if the submission was accepted.
  bool submit(const Submission &Value, int Tries = 5) {
    Sent.add(Value);
    return send("POST", Value.Id, Value.body(), Tries).Status == 200;
  }
  std::string state(const std::string &Id) {
    net::Response Answer = send("GET", Id);
    rapidjson::Document Body;
    Body.Parse(Answer.Body.data(), Answer.Body.size());
    if (Answer.Status != 200 || Body.HasParseError() || !Body.IsObject())
      return "status " + std::to_string(Answer.Status);
    return text(Body, "state");
  }

private:
  std::vector<Host *> m_hosts;
  std::string m_hostName;
  std::string m_prefix;
  size_t m_next = 0;
};

inline std::string route(const std::string &Name, const std::string &Prefix,
                         int Priority) {
  return "{\"name\":\"" + Name +
         "\",\"host\":\"desk.example\",\"prefix\":\"" + Prefix +
         "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
         "\"target_duration_ms\":1000,\"priority\":" +
         std::to_string(Priority) +
         ",\"service\":\"desk\",\"max_attempts\":3,\"slack_factor\":2.0}";
}

// Writes the operator's configuration.
inline void configure(Store &Platform, int Version,
                      const std::vector<std::string> &Routes) {
  std::string All;
  for (const std::string &Route : Routes)
    All += (All.empty() ? "" : ",") + Route;
  Platform.write(
      "op", "config",
      "{\"version\":" + std::to_string(Version) + ",\"routes\":[" + All +
          "],\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
          "\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
          "\"rejects_overload\":false,\"standby\":false}],\"limits\":{"
          "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
          "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
  Log.line("operator: configuration %d with %zu routes", Version,
           Routes.size());
}

// ID of submission \p Number.
inline std::string idOf(int Number) {
  char Text[32];
  snprintf(Text, sizeof Text, "%016llx",
           0x9e3779b97f4a7c15ULL * static_cast<unsigned long long>(Number + 1));
  return Text;
}

} // namespace world
