/// \file
/// Implementation of WorkerPort over HTTP with binary protobuf bodies.
#pragma once

#include "basilchute/workerport.h"
#include "libutil/eventloop.h"
#include "libutil/httpclient.h"

BASILCHUTE_NAMESPACE_BEGIN

/// Sends POST /sync to each worker's own address.
class HttpWorkerPort final : public WorkerPort {
public:
  /// Callbacks run on \p Loop.
  HttpWorkerPort(milliseconds Timeout, HttpClient &Client, EventLoop &Loop)
      : m_timeout(Timeout), m_client(Client), m_loop(Loop) {}

  void sync(const std::string &Address, SyncRequest Request,
            SyncDone Done) override;

private:
  milliseconds m_timeout;
  HttpClient &m_client;
  EventLoop &m_loop;
};

BASILCHUTE_NAMESPACE_END
