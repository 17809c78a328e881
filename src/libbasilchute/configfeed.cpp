#include "basilchute/configfeed.h"

#include "basilchute/committer.h"
#include "libbasilchute/rows.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

std::string logKey(uint64_t Revision) {
  return fmt::format("configlog/{:012}", Revision);
}

ServiceSpec specOf(const v1::Service &From) {
  return {.Name = From.name(),
          .Team = From.team(),
          .WorkKind = From.kind(),
          .Replicas = From.replicas(),
          .Demand = fromProto(From.demand())};
}

void addParsed(Configuration &To, const std::string &Body) {
  v1::Document Document;
  if (!Document.ParseFromString(Body))
    return;
  if (Document.has_service())
    To.Services.push_back(specOf(Document.service()));
  if (Document.has_cordon())
    To.Cordons.push_back({.Worker = Document.cordon().worker(),
                          .Drain = Document.cordon().drain()});
}

} // namespace

class ConfigFeed::Impl : public std::enable_shared_from_this<ConfigFeed::Impl> {
public:
  Impl(ConfigFeedOptions Options, TableStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time),
        m_committer({.WriterId = m_options.WriterId + ".config", .Window = {}},
                    Store, Time) {}

  std::function<void(const Configuration &)> OnChange;

  void tick() {
    m_committer.tick();
    TimePoint Now = m_time.now();
    expireChanges(Now);
    if (m_polling || Now < m_pollAt)
      return;
    m_polling = true;
    m_pollAt = Now + m_options.PollEvery;
    m_store.get(
        std::string(ConfigHeadKey),
        [Self = weak_from_this(), Now](Result<std::optional<Row>> Reply) {
          if (auto Live = Self.lock())
            Live->onHead(Now, std::move(Reply));
        });
  }

  void hint(uint64_t Revision) {
    if (Revision > m_current.Revision)
      m_pollAt = {};
  }

  void noteWitness(const ConfigWitness &From, TimePoint AskedAt) {
    hint(From.Revision);
    // The proof is at least as old as the answer says, and the question was
    // sent before the answer was made.
    if (From.Revision == m_current.Revision && m_loaded)
      m_provenAt = std::max(m_provenAt, AskedAt - From.Age);
    m_witnesses[From.Member] = {.Said = From, .AskedAt = AskedAt};
  }

  bool fresh(const std::vector<std::string> &Others) const {
    if (!m_loaded)
      return false;
    TimePoint Now = m_time.now();
    if (Now - m_provenAt < m_options.FreshFor)
      return true;
    return std::all_of(
        Others.begin(), Others.end(),
        [&](const std::string &Each) { return witnessesOutage(Each, Now); });
  }

  milliseconds proofAge() const {
    if (!m_loaded)
      return std::chrono::hours(24);
    return std::chrono::ceil<milliseconds>(m_time.now() - m_provenAt);
  }

  const Configuration &current() const { return m_current; }

  void apply(ConfigChange Change, milliseconds Limit,
             std::function<void(Result<uint64_t>)> Done) {
    // One change at a time keeps the expected versions simple.
    m_changes.push_back({.Change = std::move(Change),
                         .Done = std::move(Done),
                         .GiveUpAt = m_time.now() + Limit});
    if (m_changes.size() == 1)
      startChange();
  }

private:
  /// What one process said last.
  struct Heard {
    ConfigWitness Said;
    TimePoint AskedAt;
  };
  /// A change that waits or is being written.
  struct PendingChange {
    ConfigChange Change;
    std::function<void(Result<uint64_t>)> Done;
    TimePoint GiveUpAt;
    bool Answered = false;
  };

  bool witnessesOutage(const std::string &Member, TimePoint Now) const {
    auto Found = m_witnesses.find(Member);
    if (Found == m_witnesses.end())
      return false;
    const Heard &Of = Found->second;
    return Now - Of.AskedAt < m_options.FreshFor &&
           Of.Said.Revision == m_current.Revision &&
           Of.Said.Age >= m_options.FreshFor;
  }

  void onHead(TimePoint AskedAt, Result<std::optional<Row>> Reply) {
    m_polling = false;
    if (!Reply.has_value())
      return;
    uint64_t Revision = 0;
    if (Reply.value()) {
      Result<v1::ConfigHead> Head = decodeRow<v1::ConfigHead>(*Reply.value());
      if (!Head.has_value())
        return;
      Revision = Head.value().revision();
    }
    // A reader behind the newest rows proves nothing.
    if (Revision < m_current.Revision)
      return;
    if (Revision == m_current.Revision) {
      m_loaded = true;
      m_provenAt = std::max(m_provenAt, AskedAt);
      return;
    }
    readAll([](bool) {});
  }

  void readAll(std::function<void(bool)> Done) {
    TimePoint Now = m_time.now();
    m_store.scan(std::string(ConfigPrefix),
                 [Self = weak_from_this(), Now,
                  Done = std::move(Done)](Result<std::vector<Row>> Rows) {
                   auto Live = Self.lock();
                   if (!Live)
                     return;
                   if (Rows.has_value())
                     Live->onRows(Now, Rows.value());
                   Done(Rows.has_value());
                 });
  }

  void onRows(TimePoint AskedAt, const std::vector<Row> &Rows) {
    Configuration Next;
    std::map<std::string, uint64_t> Versions;
    for (const Row &Each : Rows) {
      Versions[Each.Key] = Each.Version;
      if (Each.Key == ConfigHeadKey) {
        Result<v1::ConfigHead> Head = decodeRow<v1::ConfigHead>(Each);
        Next.Revision = Head.has_value() ? Head.value().revision() : 0;
        continue;
      }
      if (!Each.Key.starts_with(DocumentPrefix))
        continue;
      Next.Documents[Each.Key.substr(DocumentPrefix.size())] = Each.Value;
      addParsed(Next, Each.Value);
    }
    if (Next.Revision < m_current.Revision)
      return;
    m_loaded = true;
    m_provenAt = std::max(m_provenAt, AskedAt);
    m_versions = std::move(Versions);
    if (Next.Revision == m_current.Revision)
      return;
    m_current = std::move(Next);
    if (OnChange)
      OnChange(m_current);
  }

  uint64_t versionOf(const std::string &Key) const {
    auto Found = m_versions.find(Key);
    return Found == m_versions.end() ? 0 : Found->second;
  }

  void startChange() {
    readAll([this](bool Good) {
      if (m_changes.empty())
        return;
      if (Good)
        return writeChange();
      finishChange(makeError(ResultCode::Unavailable,
                             "the table store cannot be reached"));
    });
  }

  void writeChange() {
    const ConfigChange &Change = m_changes.front().Change;
    if (Change.BaseRevision != 0 && Change.BaseRevision != m_current.Revision)
      return finishChange(conflict());
    uint64_t Revision = m_current.Revision + 1;
    v1::ConfigHead Head;
    Head.set_revision(Revision);
    // The log row comes first because it never changes again: reading it back
    // tells for sure whether this change took effect.
    std::vector<Write> Writes = {
        {.Key = logKey(Revision), .Value = Head.SerializeAsString()},
        {.Key = std::string(ConfigHeadKey),
         .Value = Head.SerializeAsString(),
         .ExpectedVersion = versionOf(std::string(ConfigHeadKey))}};
    for (const auto &[Name, Body] : Change.Documents) {
      std::string Key = std::string(DocumentPrefix) + Name;
      Writes.push_back({.Key = Key,
                        .Value = stamped(Body, Revision),
                        .ExpectedVersion = versionOf(Key)});
    }
    for (const std::string &Name : Change.Deletions) {
      std::string Key = std::string(DocumentPrefix) + Name;
      if (versionOf(Key) == 0)
        return finishChange(
            makeError(ResultCode::NotFound,
                      fmt::format("document \"{}\" does not exist", Name)));
      Writes.push_back(
          {.Key = Key, .Remove = true, .ExpectedVersion = versionOf(Key)});
    }
    m_committer.commit(std::move(Writes),
                       [this, Revision](const Result<uint64_t> &Reply) {
                         onWritten(Revision, Reply);
                       });
  }

  void onWritten(uint64_t Revision, const Result<uint64_t> &Reply) {
    // The change is in force here before its operator hears of it.
    if (Reply.has_value())
      return readAll([this, Revision](bool) { finishChange(Revision); });
    // A change without a base is made again on the newer revision.
    if (m_changes.front().Change.BaseRevision == 0 &&
        m_time.now() < m_changes.front().GiveUpAt)
      return startChange();
    readAll([this](bool) { finishChange(conflict()); });
  }

  static std::string stamped(const std::string &Body, uint64_t Revision) {
    v1::Document Document;
    Document.ParseFromString(Body);
    Document.set_revision(Revision);
    return Document.SerializeAsString();
  }

  Error conflict() const {
    return makeError(ResultCode::Conflict,
                     fmt::format("the configuration is at revision {} now",
                                 m_current.Revision));
  }

  void finishChange(Result<uint64_t> With) {
    PendingChange Done = std::move(m_changes.front());
    m_changes.erase(m_changes.begin());
    if (!Done.Answered)
      Done.Done(std::move(With));
    if (!m_changes.empty())
      startChange();
  }

  void expireChanges(TimePoint Now) {
    for (PendingChange &Each : m_changes) {
      if (Each.Answered || Now < Each.GiveUpAt)
        continue;
      Each.Answered = true;
      Each.Done(makeError(ResultCode::OutcomeUnknown,
                          "the table store did not answer in time; the change "
                          "may still take effect"));
    }
  }

  ConfigFeedOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  Committer m_committer;
  Configuration m_current;
  std::map<std::string, uint64_t> m_versions;
  std::map<std::string, Heard> m_witnesses;
  std::vector<PendingChange> m_changes;
  TimePoint m_provenAt{};
  TimePoint m_pollAt{};
  bool m_loaded = false;
  bool m_polling = false;

  friend class ConfigFeed;
};

ConfigFeed::ConfigFeed(ConfigFeedOptions Options, TableStore &Store,
                       const Clock &Time)
    : m_impl(std::make_shared<Impl>(std::move(Options), Store, Time)) {
  m_impl->OnChange = [this](const Configuration &Next) {
    if (OnChange)
      OnChange(Next);
  };
}
ConfigFeed::~ConfigFeed() = default;
void ConfigFeed::tick() { m_impl->tick(); }
void ConfigFeed::hint(uint64_t Revision) { m_impl->hint(Revision); }
void ConfigFeed::noteWitness(const ConfigWitness &From, TimePoint AskedAt) {
  m_impl->noteWitness(From, AskedAt);
}
bool ConfigFeed::fresh(const std::vector<std::string> &Others) const {
  return m_impl->fresh(Others);
}
milliseconds ConfigFeed::proofAge() const { return m_impl->proofAge(); }
const Configuration &ConfigFeed::current() const { return m_impl->current(); }
void ConfigFeed::apply(ConfigChange Change, milliseconds Limit,
                       std::function<void(Result<uint64_t>)> Done) {
  m_impl->apply(std::move(Change), Limit, std::move(Done));
}

BASILCHUTE_NAMESPACE_END
