/// \file
/// Adapter of PeerPort on HTTP/2 streams, and the server for the other side.
#pragma once

#include "basilchute/peerport.h"

#include <functional>
#include <memory>
#include <string>

BASILCHUTE_NAMESPACE_BEGIN

/// Answers one peer's call; only the first use has an effect.
using PeerReply = std::function<void(std::string Response)>;
/// Handles one call on the links' thread.
using PeerHandler = std::function<void(std::string Request, PeerReply Reply)>;

/// Serves and makes calls between processes on one thread of its own. One
/// connection is kept to each peer; a silent one is replaced.
class PeerLinks final : public PeerPort {
public:
  /// \p Post carries the callbacks of call() to the caller's own thread.
  explicit PeerLinks(std::function<void(std::function<void()>)> Post);
  ~PeerLinks() override;
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Listens on HOST:PORT; returns the address taken, or BindFailed.
  Result<std::string> listen(const std::string &Address, PeerHandler Handler);
  void call(const std::string &Address, std::string Request,
            milliseconds Timeout, CallDone Done) override;
  /// Closes everything; calls under way fail with OutcomeUnknown.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

BASILCHUTE_NAMESPACE_END
