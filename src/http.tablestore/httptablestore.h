/// \file
/// Implementation of TableStore over HTTP with binary protobuf bodies.
#pragma once

#include "basilchute/tablestore.h"
#include "libutil/eventloop.h"
#include "libutil/httpclient.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Settings of an HttpTableStore.
struct HttpTableStoreOptions {
  /// HOST:PORT of the table service.
  std::string Address;
  milliseconds Timeout{2000};
};

/// Reads and writes rows with POST /store/scan and POST /store/commit.
class HttpTableStore final : public TableStore {
public:
  /// Callbacks run on \p Loop.
  HttpTableStore(HttpTableStoreOptions Options, HttpClient &Client,
                 EventLoop &Loop)
      : m_options(std::move(Options)), m_client(Client), m_loop(Loop) {}

  void get(const std::string &Key, GetDone Done) override;
  void scan(const std::string &Prefix, ScanDone Done) override;
  void commit(Transaction Tx, CommitDone Done) override;

private:
  /// Reads the rows whose keys start with \p Prefix, or only the row with that
  /// key if \p IsExact.
  void read(const std::string &Prefix, bool IsExact, ScanDone Done);

  HttpTableStoreOptions m_options;
  HttpClient &m_client;
  EventLoop &m_loop;
};

BASILCHUTE_NAMESPACE_END
