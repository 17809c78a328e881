#include "basilchute/configfeed.h"

#include "basilchute/committer.h"
#include "libbasilchute/rows.h"

#include <algorithm>
#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

std::string logRowKey(uint64_t Revision) {
  return fmt::format("configlog/{:012}", Revision);
}

ServiceSpec toServiceSpec(const v1::Service &Service) {
  return {.Name = Service.name(),
          .Team = Service.team(),
          .WorkKind = Service.kind(),
          .Replicas = Service.replicas(),
          .Demand = fromProto(Service.demand())};
}

/// Adds the service or cordon of a serialised document to \p Target; a document
/// that cannot be parsed adds nothing.
void addDocument(Configuration &Target, const std::string &Body) {
  v1::Document Document;
  if (!Document.ParseFromString(Body))
    return;
  if (Document.has_service())
    Target.Services.push_back(toServiceSpec(Document.service()));
  if (Document.has_cordon())
    Target.Cordons.push_back({.Worker = Document.cordon().worker(),
                              .ShouldDrain = Document.cordon().drain()});
}

} // namespace

class ConfigFeed::Impl : public std::enable_shared_from_this<ConfigFeed::Impl> {
public:
  Impl(ConfigFeedOptions Options, TableStore &Store, const Clock &Time)
      : m_options(std::move(Options)), m_store(Store), m_time(Time),
        m_committer(
            {.WriterId = m_options.WriterId + ".config", .BatchWindow = {}},
            Store, Time) {}

  std::function<void(const Configuration &)> OnChange;

  void tick() {
    m_committer.tick();
    TimePoint Now = m_time.now();
    expireChanges(Now);
    if (m_isPolling || Now < m_pollAt)
      return;
    m_isPolling = true;
    m_pollAt = Now + m_options.PollInterval;
    m_store.get(
        std::string(ConfigHeadKey),
        [Weak = weak_from_this(), Now](Result<std::optional<Row>> Reply) {
          if (auto Self = Weak.lock())
            Self->onHead(Now, std::move(Reply));
        });
  }

  void noteNewerRevision(uint64_t Revision) {
    if (Revision > m_current.Revision)
      m_pollAt = {};
  }

  void recordPeerReport(const PeerConfigReport &Report, TimePoint AskedAt) {
    noteNewerRevision(Report.Revision);
    // The other process computed Age after AskedAt, so its proof is not older
    // than AskedAt - Age.
    if (Report.Revision == m_current.Revision && m_isLoaded)
      m_provenAt = std::max(m_provenAt, AskedAt - Report.ProofAge);
    m_peerReports[Report.Member] = {.Report = Report, .AskedAt = AskedAt};
  }

  bool isFresh(const std::vector<std::string> &Others) const {
    if (!m_isLoaded)
      return false;
    TimePoint Now = m_time.now();
    if (Now - m_provenAt < m_options.MaxProofAge)
      return true;
    return std::all_of(
        Others.begin(), Others.end(),
        [&](const std::string &Member) { return confirmsOutage(Member, Now); });
  }

  milliseconds proofAge() const {
    if (!m_isLoaded)
      return std::chrono::hours(24);
    return std::chrono::ceil<milliseconds>(m_time.now() - m_provenAt);
  }

  const Configuration &current() const { return m_current; }

  void apply(ConfigChange Change, milliseconds Timeout,
             std::function<void(Result<uint64_t>)> Done) {
    // Only one change is written at a time, so that the expected versions of a
    // change do not depend on another change in flight.
    m_changes.push_back({.Change = std::move(Change),
                         .Done = std::move(Done),
                         .Deadline = m_time.now() + Timeout});
    if (m_changes.size() == 1)
      startChange();
  }

private:
  /// Latest report of another process.
  struct PeerReport {
    PeerConfigReport Report;
    TimePoint AskedAt;
  };
  /// A change that is queued or being written.
  struct PendingChange {
    ConfigChange Change;
    std::function<void(Result<uint64_t>)> Done;
    TimePoint Deadline;
    /// True if Done was called already because the deadline passed.
    bool IsAnswered = false;
  };

  /// Returns true if \p Member recently reported the present revision without a
  /// recent proof, which means that it cannot reach the store.
  bool confirmsOutage(const std::string &Member, TimePoint Now) const {
    auto It = m_peerReports.find(Member);
    if (It == m_peerReports.end())
      return false;
    const PeerReport &Latest = It->second;
    return Now - Latest.AskedAt < m_options.MaxProofAge &&
           Latest.Report.Revision == m_current.Revision &&
           Latest.Report.ProofAge >= m_options.MaxProofAge;
  }

  void onHead(TimePoint AskedAt, Result<std::optional<Row>> Reply) {
    m_isPolling = false;
    if (!Reply.has_value())
      return;
    uint64_t Revision = 0;
    if (Reply.value()) {
      Result<v1::ConfigHead> Head = decodeRow<v1::ConfigHead>(*Reply.value());
      if (!Head.has_value())
        return;
      Revision = Head.value().revision();
    }
    // A stale read does not prove that the present revision is the newest.
    if (Revision < m_current.Revision)
      return;
    if (Revision == m_current.Revision) {
      m_isLoaded = true;
      m_provenAt = std::max(m_provenAt, AskedAt);
      return;
    }
    readAll([](bool) {});
  }

  /// Reads all configuration rows; \p Done gets false if the store could not be
  /// read.
  void readAll(std::function<void(bool)> Done) {
    TimePoint Now = m_time.now();
    m_store.scan(std::string(ConfigPrefix),
                 [Weak = weak_from_this(), Now,
                  Done = std::move(Done)](Result<std::vector<Row>> Rows) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (Rows.has_value())
                     Self->onRows(Now, Rows.value());
                   Done(Rows.has_value());
                 });
  }

  void onRows(TimePoint AskedAt, const std::vector<Row> &Rows) {
    Configuration Next;
    std::map<std::string, uint64_t> Versions;
    for (const Row &Stored : Rows) {
      Versions[Stored.Key] = Stored.Version;
      if (Stored.Key == ConfigHeadKey) {
        Result<v1::ConfigHead> Head = decodeRow<v1::ConfigHead>(Stored);
        Next.Revision = Head.has_value() ? Head.value().revision() : 0;
        continue;
      }
      if (!Stored.Key.starts_with(DocumentPrefix))
        continue;
      Next.Documents[Stored.Key.substr(DocumentPrefix.size())] = Stored.Value;
      addDocument(Next, Stored.Value);
    }
    if (Next.Revision < m_current.Revision)
      return;
    m_isLoaded = true;
    m_provenAt = std::max(m_provenAt, AskedAt);
    m_versions = std::move(Versions);
    if (Next.Revision == m_current.Revision)
      return;
    m_current = std::move(Next);
    if (OnChange)
      OnChange(m_current);
  }

  uint64_t versionOf(const std::string &Key) const {
    auto It = m_versions.find(Key);
    return It == m_versions.end() ? 0 : It->second;
  }

  void startChange() {
    readAll([this](bool WasRead) {
      if (m_changes.empty())
        return;
      if (WasRead)
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
    // The log row is the first write, because the committer reads the first
    // stored row back and the log row is never changed later: its writer token
    // shows reliably whether this change took effect.
    std::vector<Write> Writes = {
        {.Key = logRowKey(Revision), .Value = Head.SerializeAsString()},
        {.Key = std::string(ConfigHeadKey),
         .Value = Head.SerializeAsString(),
         .ExpectedVersion = versionOf(std::string(ConfigHeadKey))}};
    for (const auto &[Name, Body] : Change.Documents) {
      std::string Key = std::string(DocumentPrefix) + Name;
      Writes.push_back({.Key = Key,
                        .Value = withRevision(Body, Revision),
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
    // This process loads the new configuration before it reports success to the
    // operator.
    if (Reply.has_value())
      return readAll([this, Revision](bool) { finishChange(Revision); });
    // A change without a base revision is tried again on the newer revision.
    if (m_changes.front().Change.BaseRevision == 0 &&
        m_time.now() < m_changes.front().Deadline)
      return startChange();
    readAll([this](bool) { finishChange(conflict()); });
  }

  static std::string withRevision(const std::string &Body, uint64_t Revision) {
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

  void finishChange(Result<uint64_t> Outcome) {
    PendingChange Finished = std::move(m_changes.front());
    m_changes.erase(m_changes.begin());
    if (!Finished.IsAnswered)
      Finished.Done(std::move(Outcome));
    if (!m_changes.empty())
      startChange();
  }

  /// Answers the changes whose deadline has passed. They stay queued and may
  /// still take effect.
  void expireChanges(TimePoint Now) {
    for (PendingChange &Change : m_changes) {
      if (Change.IsAnswered || Now < Change.Deadline)
        continue;
      Change.IsAnswered = true;
      Change.Done(
          makeError(ResultCode::OutcomeUnknown,
                    "the table store did not answer in time; the change "
                    "may still take effect"));
    }
  }

  ConfigFeedOptions m_options;
  TableStore &m_store;
  const Clock &m_time;
  Committer m_committer;
  Configuration m_current;
  /// Versions of the configuration rows by key.
  std::map<std::string, uint64_t> m_versions;
  /// Latest reports of other processes by member.
  std::map<std::string, PeerReport> m_peerReports;
  /// The first change is being written, the others are queued.
  std::vector<PendingChange> m_changes;
  /// Latest time at which the present revision was known to be the newest.
  TimePoint m_provenAt{};
  TimePoint m_pollAt{};
  bool m_isLoaded = false;
  bool m_isPolling = false;

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
void ConfigFeed::noteNewerRevision(uint64_t Revision) {
  m_impl->noteNewerRevision(Revision);
}
void ConfigFeed::recordPeerReport(const PeerConfigReport &Report,
                                  TimePoint AskedAt) {
  m_impl->recordPeerReport(Report, AskedAt);
}
bool ConfigFeed::isFresh(const std::vector<std::string> &Others) const {
  return m_impl->isFresh(Others);
}
milliseconds ConfigFeed::proofAge() const { return m_impl->proofAge(); }
const Configuration &ConfigFeed::current() const { return m_impl->current(); }
void ConfigFeed::apply(ConfigChange Change, milliseconds Timeout,
                       std::function<void(Result<uint64_t>)> Done) {
  m_impl->apply(std::move(Change), Timeout, std::move(Done));
}

BASILCHUTE_NAMESPACE_END
