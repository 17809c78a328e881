#include "basilchute-entry/operatorapi.h"

#include "basilchute-entry/documents.h"
#include "libbasilchute/jobstore.h"

#include <fmt/format.h>
#include <fstream>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

constexpr milliseconds ApplyTimeout{5000};
constexpr milliseconds PeerTimeout{1000};

} // namespace

class OperatorApi::Impl {
public:
  explicit Impl(DaemonBase &Base)
      : m_base(Base), m_layout(configuredLayout(Base.Values)),
        m_jobs(Base.Id, Base.Store, Base.Time) {
    add<v1::ApplyRequest, v1::ApplyResponse>("OperatorService/Apply",
                                             &Impl::apply);
    add<v1::ListDocumentsRequest, v1::ListDocumentsResponse>(
        "OperatorService/ListDocuments", &Impl::listDocuments);
    add<v1::SubmitJobRequest, v1::SubmitJobResponse>(
        "OperatorService/SubmitJob", &Impl::submitJob);
    add<v1::GetJobRequest, v1::JobStatus>("OperatorService/GetJob",
                                          &Impl::getJob);
    add<v1::ListJobsRequest, v1::ListJobsResponse>("OperatorService/ListJobs",
                                                   &Impl::listJobs);
    add<v1::CancelJobRequest, v1::CancelJobResponse>(
        "OperatorService/CancelJob", &Impl::cancelJob);
    add<v1::ExplainRequest, v1::ExplainResponse>("OperatorService/Explain",
                                                 &Impl::explain);
    add<v1::StatusRequest, v1::StatusResponse>("StatusService/Status",
                                               &Impl::status);
  }

  void start(Membership &Members) { m_membership = &Members; }
  void tick() { m_jobs.tick(); }
  void setHosts(std::vector<Host> Hosts) { m_hosts = std::move(Hosts); }

private:
  template <typename Response>
  using Reply = ConnectRouter::ResponseCallback<Response>;

  /// Registers \p Method, which \p Handler serves on the event loop.
  template <typename Request, typename Response>
  void add(const std::string &Method,
           void (Impl::*Handler)(const Request &, Reply<Response>)) {
    m_base.OperatorCalls.add<Request, Response>(
        "basilchute.v1." + Method,
        [this, Handler](const Request &Body, Reply<Response> Answer) {
          m_base.Loop.post([this, Handler, Body, Answer] {
            if (m_membership)
              return (this->*Handler)(Body, Answer);
            Answer(makeError(ResultCode::NotReady,
                             "this entry process is still starting"));
          });
        });
  }

  void apply(const v1::ApplyRequest &Body, Reply<v1::ApplyResponse> Answer) {
    ConfigChange Change{.BaseRevision = Body.base_revision()};
    for (const v1::Document &Document : Body.documents()) {
      Result<std::string> Key = checkDocument(Document);
      if (!Key.has_value())
        return Answer(Key.error());
      Change.Documents[Key.value()] = Document.SerializeAsString();
    }
    for (const std::string &Key : Body.deletions()) {
      Status Validity = checkDeletion(Key);
      if (!Validity.has_value())
        return Answer(Validity.error());
      Change.Deletions.push_back(Key);
    }
    v1::ApplyResponse Out;
    if (Body.dry_run()) {
      Out.set_revision(m_base.Config.current().Revision);
      return Answer(Out);
    }
    m_base.Config.apply(std::move(Change), ApplyTimeout,
                        [this, Answer](const Result<uint64_t> &Revision) {
                          if (!Revision.has_value())
                            return Answer(Revision.error());
                          notifyPeers({}, Revision.value());
                          v1::ApplyResponse Out;
                          Out.set_revision(Revision.value());
                          Answer(Out);
                        });
  }

  void listDocuments(const v1::ListDocumentsRequest &Body,
                     Reply<v1::ListDocumentsResponse> Answer) {
    const Configuration &Current = m_base.Config.current();
    v1::ListDocumentsResponse Out;
    Out.set_revision(Current.Revision);
    std::string Prefix = Body.kind().empty() ? "" : Body.kind() + "/";
    for (const auto &[Key, Document] : Current.Documents) {
      if (!Key.starts_with(Prefix))
        continue;
      Out.add_documents()->ParseFromString(Document);
    }
    Answer(Out);
  }

  void submitJob(const v1::SubmitJobRequest &Body,
                 Reply<v1::SubmitJobResponse> Answer) {
    Status Validity = checkJob(Body, m_hosts);
    if (!Validity.has_value())
      return Answer(Validity.error());
    std::vector<ShardSummary> Summaries;
    for (const Member &Peer : m_membership->liveMembers())
      Summaries.insert(Summaries.end(), Peer.Shards.begin(), Peer.Shards.end());
    std::vector<JobShare> Shares =
        divideJob(Body.name(), Body.tasks(), fromProto(Body.demand()), m_layout,
                  Summaries);
    m_jobs.submit(Body, Shares,
                  [this, Body, Shares, Answer](Status WriteStatus) {
                    if (!WriteStatus.has_value())
                      return Answer(WriteStatus.error());
                    std::vector<std::string> Shards;
                    Shards.reserve(Shares.size());
                    for (const JobShare &Share : Shares)
                      Shards.push_back(Share.Shard);
                    notifyPeers(Shards, 0);
                    v1::SubmitJobResponse Out;
                    Out.set_name(Body.name());
                    Answer(Out);
                  });
  }

  void getJob(const v1::GetJobRequest &Body, Reply<v1::JobStatus> Answer) {
    m_jobs.status(Body.name(), Answer);
  }

  void listJobs(const v1::ListJobsRequest &,
                Reply<v1::ListJobsResponse> Answer) {
    m_jobs.list([Answer](const Result<std::vector<v1::JobRow>> &Jobs) {
      if (!Jobs.has_value())
        return Answer(Jobs.error());
      v1::ListJobsResponse Out;
      for (const v1::JobRow &Job : Jobs.value())
        *Out.add_jobs() = Job;
      Answer(Out);
    });
  }

  void cancelJob(const v1::CancelJobRequest &Body,
                 Reply<v1::CancelJobResponse> Answer) {
    m_jobs.cancel(
        Body.name(),
        [this, Answer](const Result<std::vector<std::string>> &Shards) {
          if (!Shards.has_value())
            return Answer(Shards.error());
          notifyPeers(Shards.value(), 0);
          Answer(v1::CancelJobResponse());
        });
  }

  void explain(const v1::ExplainRequest &Body,
               Reply<v1::ExplainResponse> Answer) {
    v1::PeerRequest Request;
    *Request.mutable_explain() = Body;
    auto PendingReplies = std::make_shared<size_t>(0);
    auto IsAnswered = std::make_shared<bool>(false);
    auto OnReply = [PendingReplies, IsAnswered, Answer,
                    Task = Body.task()](const Result<std::string> &Reply) {
      --*PendingReplies;
      v1::PeerResponse Message;
      bool HasReasons = Reply.has_value() &&
                        Message.ParseFromString(Reply.value()) &&
                        Message.explain().reasons_size() > 0;
      if (*IsAnswered || (!HasReasons && *PendingReplies > 0))
        return;
      *IsAnswered = true;
      if (HasReasons)
        return Answer(Message.explain());
      Answer(
          makeError(ResultCode::NotFound,
                    fmt::format("no live scheduler knows task \"{}\"", Task)));
    };
    std::vector<std::string> Addresses = schedulerAddresses();
    *PendingReplies = Addresses.size();
    if (Addresses.empty())
      return Answer(
          makeError(ResultCode::Unavailable, "no live scheduler is known"));
    for (const std::string &Address : Addresses)
      m_base.Peers.call(Address, Request.SerializeAsString(), PeerTimeout,
                        OnReply);
  }

  void status(const v1::StatusRequest &, Reply<v1::StatusResponse> Answer) {
    v1::StatusResponse Out;
    Out.set_process(m_base.Id);
    Out.set_config_revision(m_base.Config.current().Revision);
    Out.set_ready(m_base.IsReady);
    for (const Member &Peer : m_membership->liveMembers()) {
      v1::MemberRow *Row = Out.add_members();
      Row->set_id(Peer.Id);
      Row->set_role(Peer.Role == MemberRole::Entry ? v1::MemberRow::ENTRY
                                                   : v1::MemberRow::SCHEDULER);
      Row->set_failure_domain(Peer.FailureDomain);
      Row->set_peer_address(Peer.PeerAddress);
      Row->set_operator_address(Peer.OperatorAddress);
      Row->set_draining(Peer.IsDraining);
      Row->set_config_revision(Peer.ConfigRevision);
      for (const ShardSummary &Summary : Peer.Shards) {
        v1::ShardStatus *Shard = Out.add_shards();
        Shard->set_shard(Summary.Shard);
        Shard->set_owner(Peer.Id);
      }
    }
    Answer(Out);
  }

  std::vector<std::string> schedulerAddresses() const {
    std::vector<std::string> Out;
    for (const Member &Peer : m_membership->liveMembers())
      if (Peer.Role == MemberRole::Scheduler)
        Out.push_back(Peer.PeerAddress);
    return Out;
  }

  // Tells peers of changed shards or of a new configuration revision before
  // their next poll. A lost message only delays them until that poll.
  void notifyPeers(const std::vector<std::string> &Shards, uint64_t Revision) {
    v1::PeerRequest Request;
    v1::Nudge *Nudge = Request.mutable_nudge();
    for (const std::string &Shard : Shards)
      Nudge->add_shards(Shard);
    Nudge->set_config_revision(Revision);
    for (const Member &Peer : m_membership->liveMembers()) {
      bool IsAffected = Revision != 0 || Peer.Role == MemberRole::Scheduler;
      if (!IsAffected || Peer.Id == m_base.Id)
        continue;
      m_base.Peers.call(Peer.PeerAddress, Request.SerializeAsString(),
                        PeerTimeout, [](const Result<std::string> &) {});
    }
  }

  DaemonBase &m_base;
  Layout m_layout;
  JobStore m_jobs;
  Membership *m_membership = nullptr;
  std::vector<Host> m_hosts;
};

OperatorApi::OperatorApi(DaemonBase &Base)
    : m_impl(std::make_unique<Impl>(Base)) {}
OperatorApi::~OperatorApi() = default;
void OperatorApi::start(Membership &Members) { m_impl->start(Members); }
void OperatorApi::tick() { m_impl->tick(); }
void OperatorApi::setHosts(std::vector<Host> Hosts) {
  m_impl->setHosts(std::move(Hosts));
}

Result<std::string> OperatorApi::readToken(const std::string &File) {
  if (File.empty())
    return std::string();
  std::ifstream In(File);
  std::string Token;
  if (!In || !std::getline(In, Token) || Token.empty())
    return makeError(ResultCode::SettingsInvalid,
                     fmt::format("setting \"operator.token_file\": file "
                                 "\"{}\" is unreadable or has no token in its "
                                 "first line",
                                 File));
  return Token;
}

BASILCHUTE_NAMESPACE_END
