#include "http.tablestore/httptablestore.h"

#include "schema/basilchute.pb.h"

#include <fmt/format.h>

BASILCHUTE_NAMESPACE_BEGIN

namespace {

ClientRequest makePost(const HttpTableStoreOptions &Options,
                       std::string_view Path, std::string Body,
                       bool IsIdempotent) {
  return {.Method = "POST",
          .Address = Options.Address + std::string(Path),
          .Headers = {{"Content-Type", "application/proto"}},
          .Body = std::move(Body),
          .ConnectTimeout = Options.Timeout,
          .Timeout = Options.Timeout,
          .IsIdempotent = IsIdempotent};
}

/// Decodes the body of a response with status 200. Any other status means that
/// the table store did not carry out the request.
template <typename Message>
Result<Message> decodeResponse(const Result<HttpResponse> &Response) {
  if (!Response.has_value())
    return Response.error();
  if (Response.value().Status != 200)
    return makeError(ResultCode::Unavailable,
                     fmt::format("table store returned HTTP status {}",
                                 Response.value().Status));
  Message Out;
  if (!Out.ParseFromString(Response.value().Body))
    return makeError(ResultCode::OutcomeUnknown,
                     "table store response cannot be decoded");
  return Out;
}

Result<std::vector<Row>> decodeRows(const Result<HttpResponse> &Response) {
  auto Decoded = decodeResponse<v1::StoreScanResponse>(Response);
  if (!Decoded.has_value())
    return Decoded.error();
  std::vector<Row> Out;
  for (const v1::StoreRow &StoredRow : Decoded.value().rows())
    Out.push_back({.Key = StoredRow.key(),
                   .Value = StoredRow.value(),
                   .Version = StoredRow.version(),
                   .WriteToken = StoredRow.writer()});
  return Out;
}

Result<uint64_t> decodeVersion(const Result<HttpResponse> &Response) {
  auto Decoded = decodeResponse<v1::StoreCommitResponse>(Response);
  if (!Decoded.has_value())
    // A truncated response leaves the outcome of the commit as unknown as a
    // missing one does.
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

void HttpTableStore::read(const std::string &Prefix, bool IsExact,
                          ScanDone Done) {
  v1::StoreScanRequest Request;
  Request.set_prefix(Prefix);
  Request.set_exact(IsExact);
  m_client.send(makePost(m_options, "/store/scan", Request.SerializeAsString(),
                         /*IsIdempotent=*/true),
                [this, Done = std::move(Done)](Result<HttpResponse> Response) {
                  m_loop.post(
                      [Done, Rows = decodeRows(Response)] { Done(Rows); });
                });
}

void HttpTableStore::get(const std::string &Key, GetDone Done) {
  read(Key, true, [Done = std::move(Done)](Result<std::vector<Row>> Rows) {
    if (!Rows.has_value())
      return Done(Rows.error());
    std::optional<Row> FoundRow;
    if (!Rows.value().empty())
      FoundRow = Rows.value().front();
    Done(FoundRow);
  });
}

void HttpTableStore::scan(const std::string &Prefix, ScanDone Done) {
  read(Prefix, false, std::move(Done));
}

void HttpTableStore::commit(Transaction Tx, CommitDone Done) {
  v1::StoreCommitRequest Request;
  for (const Write &RowWrite : Tx.Writes) {
    v1::StoreWrite *Out = Request.add_writes();
    Out->set_key(RowWrite.Key);
    Out->set_value(RowWrite.Value);
    Out->set_remove(RowWrite.Remove);
    Out->set_expected_version(RowWrite.ExpectedVersion);
    Out->set_writer(RowWrite.WriteToken);
  }
  for (const RowVersionCheck &RowCheck : Tx.Checks) {
    v1::StoreCheck *Out = Request.add_checks();
    Out->set_key(RowCheck.Key);
    Out->set_expected_version(RowCheck.ExpectedVersion);
  }
  m_client.send(makePost(m_options, "/store/commit",
                         Request.SerializeAsString(),
                         /*IsIdempotent=*/false),
                [this, Done = std::move(Done)](Result<HttpResponse> Response) {
                  m_loop.post([Done, Version = decodeVersion(Response)] {
                    Done(Version);
                  });
                });
}

BASILCHUTE_NAMESPACE_END
