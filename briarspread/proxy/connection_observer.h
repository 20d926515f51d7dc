#ifndef BRIARSPREAD_PROXY_CONNECTION_OBSERVER_H_
#define BRIARSPREAD_PROXY_CONNECTION_OBSERVER_H_

#include "briarspread/core/upstream.h"

namespace briarspread::proxy {

/// Learns which endpoints can be reached from the connections of a pool. Called
/// on the event loop's thread, before the listener of the exchange concerned.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  /// Called when a connection to `to` is established.
  virtual void OnConnected(const Endpoint& to) = 0;
  /// Called when a connection to `to` could not be established.
  virtual void OnNotConnected(const Endpoint& to) = 0;
  /// Called when the head of a response is received.
  virtual void OnResponseHead(const Endpoint& from) = 0;
};

}  // namespace briarspread::proxy

#endif  // BRIARSPREAD_PROXY_CONNECTION_OBSERVER_H_
