/// \file
/// Implementation of PeerPort over HTTP/2, and the server that answers its
/// calls.
#pragma once

#include "basilchute/peerport.h"

#include <functional>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Sends the response to a call from a peer; only the first invocation has an
/// effect.
using PeerReply = std::function<void(std::string Response)>;
/// Handles one call from a peer, on the thread of the PeerTransport.
using PeerHandler = std::function<void(std::string Request, PeerReply Reply)>;

/// Serves and makes calls between processes on a thread of its own. It keeps
/// one connection to each peer; a connection whose peer stops answering PING
/// frames is closed and replaced at the next call.
class PeerTransport final : public PeerPort {
public:
  /// \p Post runs a function on the caller's own thread; the callbacks of
  /// call() are run through it.
  explicit PeerTransport(std::function<void(std::function<void()>)> Post);
  ~PeerTransport() override;
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Listens on \p Address, given as HOST:PORT. Returns the bound address, or
  /// BindFailed.
  Result<std::string> listen(const std::string &Address, PeerHandler Handler);
  void call(const std::string &Address, std::string Request,
            milliseconds Timeout, CallDone Done) override;
  /// Closes all connections; calls in flight fail with OutcomeUnknown.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
