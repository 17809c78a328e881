/// \file
/// One request of an HttpClient while it is in progress, as a libcurl transfer.
#pragma once

#include "libutil/httpclient.h"
#include "libutil/keptconnections.h"

#include <algorithm>
#include <atomic>
#include <curl/curl.h>
#include <optional>
#include <string>
#include <urcu/wfcqueue.h>

BASILCHUTE_NAMESPACE_BEGIN

struct Transfer;

/// Node of the queue of new transfers.
struct QueueNode {
  cds_wfcq_node Link{};
  /// Written before the node is queued. The queue's own barriers are not part
  /// of the C++ memory model, and ThreadSanitizer does not see them.
  std::atomic<Transfer *> Owner{nullptr};
};

/// A request in progress.
struct Transfer {
  QueueNode Node;
  ClientRequest Request;
  HttpClient::Callback OnDone;
  HttpResponse Response;
  std::string Url;
  CURL *Easy = nullptr;
  curl_slist *HeaderLines = nullptr;
  size_t MaxBody = 0;
  /// As in HttpClientOptions.
  milliseconds AckTimeout{0};
  /// True if the response has a header that delimits its body.
  bool HasFraming = false;
  bool IsTooLarge = false;
  /// Connections on which libcurl began to send the request.
  int Sends = 0;
  KeptConnections *Kept = nullptr;
  /// Connection on which the request was sent last, when (or when it was
  /// started, before that), and when that connection had last answered.
  int LocalPort = 0;
  TimePoint SentAt{};
  std::optional<TimePoint> LastAnswer;
  /// When the last bytes of a response were received; SentAt if there were
  /// none.
  TimePoint LastReceived{};

  /// True if the connection that libcurl chose is suspect, or another one than
  /// the request may use. Nothing was sent on it, and libcurl has closed it.
  bool IsRefused = false;
  /// Bytes that were sent before the transfer was begun again.
  long EarlierBytes = 0;
  /// The same request on another connection; null if there is none. Whichever
  /// is answered first ends both.
  Transfer *Twin = nullptr;
  /// True for the second of two twins.
  bool IsHedge = false;

  /// Returns false if the request must not be sent again. libcurl sends one
  /// again by itself if a kept connection ends before the first byte of the
  /// response, also a POST that the server may have carried out.
  bool maySend() const {
    return isIdempotent() || Sends == 0 || sentBytes() == 0;
  }
  /// Returns true if the request may be sent on the connection from
  /// \p Port.
  bool mayUse(int Port) const {
    const std::vector<int> &Allowed = Request.LocalPorts;
    return Allowed.empty() ||
           std::find(Allowed.begin(), Allowed.end(), Port) != Allowed.end();
  }
  /// Returns HOST:PORT of the server.
  std::string peer() const {
    return Request.Address.substr(0, Request.Address.find('/'));
  }
  /// Returns true if the transfer ended with \p Code because its connection
  /// was silent: nothing was received for all the time that a response may
  /// take, or TCP gave it up.
  bool wasSilent(CURLcode Code, TimePoint Now) const {
    if (Code == CURLE_OK || Sends == 0)
      return false;
    nanoseconds Silence = Now - LastReceived;
    return Code == CURLE_OPERATION_TIMEDOUT
               ? Silence >= Request.Timeout - Request.ServerWait
               : wasGivenUp(Now);
  }
  /// Returns true if TCP closed the connection that has just ended without a
  /// whole response, as far as the time tells: bytes that were on their way may
  /// have arrived for a while after the first one that was not acknowledged.
  bool wasGivenUp(TimePoint Now) const {
    return AckTimeout.count() > 0 && Now - LastReceived >= AckTimeout / 2;
  }
  /// Returns when the next bytes of the response were due.
  TimePoint dueAt() const {
    return hasResponse() ? LastReceived : SentAt + Request.ServerWait;
  }
  /// Returns up to when a connection that was silent may have been sound.
  TimePoint silentSince(TimePoint Now) const {
    return std::min(dueAt(), Now - AckTimeout / 2);
  }
  bool isOverdue(TimePoint Now) const {
    return Sends > 0 && dueAt() + Request.HedgeAfter <= Now;
  }
  bool mayHedge() const {
    return isIdempotent() && Request.HedgeAfter.count() > 0;
  }
  /// Returns when the request is to be sent a second time: at once if another
  /// connection has fallen silent since this one was last proven.
  TimePoint hedgeAt() const {
    bool IsSuspect = Sends > 0 && Kept->hasFallenSilent(peer(), provenAt());
    return IsSuspect ? SentAt : dueAt() + Request.HedgeAfter;
  }
  /// Returns when the connection was last known to be sound.
  TimePoint provenAt() const {
    return hasResponse() ? LastReceived : LastAnswer.value_or(SentAt);
  }
  bool hasResponse() const { return !Response.Headers.empty(); }
  bool isIdempotent() const {
    return Request.IsIdempotent || Request.Method == "GET" ||
           Request.Method == "HEAD";
  }
  /// Returns the number of bytes that were sent on all connections; zero if the
  /// kept connection had been reset while it was idle.
  long sentBytes() const {
    long Bytes = 0;
    curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &Bytes);
    return EarlierBytes + Bytes;
  }

  ~Transfer() {
    curl_slist_free_all(HeaderLines);
    if (Easy)
      curl_easy_cleanup(Easy);
  }
};

/// Creates the libcurl handle of \p New, whose request, callback and record of
/// connections are set.
void prepareTransfer(Transfer &New, const HttpClientOptions &Options);
/// Returns the response of \p Ended, or an error as described at HttpClient if
/// \p Code is one or the response is not delimited.
Result<HttpResponse> transferResult(Transfer &Ended, CURLcode Code);

BASILCHUTE_NAMESPACE_END
