#include "http.tablestore/httptablestore.h"

#include "schema/basilchute.pb.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

ClientRequest makePost(const HttpTableStoreOptions &Options,
                       std::string_view Path, std::string Body) {
  return {.Method = "POST",
          .Address = Options.Address + std::string(Path),
          .Headers = {{"Content-Type", "application/proto"}},
          .Body = std::move(Body),
          .ConnectTimeout = Options.Timeout,
          .Timeout = Options.Timeout};
}

/// Decodes a 200 answer; any other status counts as not done.
template <typename Message>
Result<Message> decodeAnswer(const Result<HttpResponse> &Answer) {
  if (!Answer.has_value())
    return Answer.error();
  if (Answer.value().Status != 200)
    return makeError(
        ResultCode::Unavailable,
        fmt::format("table store answered status {}", Answer.value().Status));
  Message Out;
  if (!Out.ParseFromString(Answer.value().Body))
    return makeError(ResultCode::OutcomeUnknown,
                     "the table store's answer cannot be decoded");
  return Out;
}

Result<std::vector<Row>> rowsOf(const Result<HttpResponse> &Answer) {
  auto Decoded = decodeAnswer<v1::StoreScanResponse>(Answer);
  if (!Decoded.has_value())
    return Decoded.error();
  std::vector<Row> Out;
  for (const v1::StoreRow &Each : Decoded.value().rows())
    Out.push_back({.Key = Each.key(),
                   .Value = Each.value(),
                   .Version = Each.version(),
                   .Writer = Each.writer()});
  return Out;
}

Result<uint64_t> versionOf(const Result<HttpResponse> &Answer) {
  auto Decoded = decodeAnswer<v1::StoreCommitResponse>(Answer);
  if (!Decoded.has_value())
    // A cut answer tells no more than a missing one.
    return makeError(Decoded.error().Code == ResultCode::Unavailable
                         ? ResultCode::Unavailable
                         : ResultCode::OutcomeUnknown,
                     Decoded.error().Message);
  if (Decoded.value().conflict())
    return makeError(
        ResultCode::Conflict,
        fmt::format("row \"{}\" changed", Decoded.value().conflict_key()));
  return Decoded.value().version();
}

} // namespace

void HttpTableStore::read(const std::string &Prefix, bool Exact,
                          ScanDone Done) {
  v1::StoreScanRequest Request;
  Request.set_prefix(Prefix);
  Request.set_exact(Exact);
  m_client.send(makePost(m_options, "/store/scan", Request.SerializeAsString()),
                [this, Done = std::move(Done)](Result<HttpResponse> Answer) {
                  m_loop.post([Done, Rows = rowsOf(Answer)] { Done(Rows); });
                });
}

void HttpTableStore::get(const std::string &Key, GetDone Done) {
  read(Key, true, [Done = std::move(Done)](Result<std::vector<Row>> Rows) {
    if (!Rows.has_value())
      return Done(Rows.error());
    std::optional<Row> Found;
    if (!Rows.value().empty())
      Found = Rows.value().front();
    Done(Found);
  });
}

void HttpTableStore::scan(const std::string &Prefix, ScanDone Done) {
  read(Prefix, false, std::move(Done));
}

void HttpTableStore::commit(Transaction Tx, CommitDone Done) {
  v1::StoreCommitRequest Request;
  for (const Write &Each : Tx.Writes) {
    v1::StoreWrite *Out = Request.add_writes();
    Out->set_key(Each.Key);
    Out->set_value(Each.Value);
    Out->set_remove(Each.Remove);
    Out->set_expected_version(Each.ExpectedVersion);
    Out->set_writer(Each.Writer);
  }
  for (const Check &Each : Tx.Checks) {
    v1::StoreCheck *Out = Request.add_checks();
    Out->set_key(Each.Key);
    Out->set_expected_version(Each.ExpectedVersion);
  }
  m_client.send(
      makePost(m_options, "/store/commit", Request.SerializeAsString()),
      [this, Done = std::move(Done)](Result<HttpResponse> Answer) {
        m_loop.post([Done, Version = versionOf(Answer)] { Done(Version); });
      });
}

BASILCHUTE_NAMESPACE_END
