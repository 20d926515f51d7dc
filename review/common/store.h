#ifndef REVIEW_COMMON_STORE_H_
#define REVIEW_COMMON_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/common/http.h"

namespace review {

using Json = nlohmann::json;

/// A call to the store, as a fault sees it.
struct StoreCall {
  /// The machine that calls; each has an address of its own to call.
  std::string caller;
  /// Last part of the path, such as `kv-txn`.
  std::string name;
  /// Keys that the call puts.
  std::vector<std::string> puts;

  bool is_write() const { return name == "kv-txn" || name == "kv-lease"; }
  bool Puts(const std::string& prefix) const;
};

/// What happens to a call.
enum class StoreFault {
  kNone,
  /// 503: nothing was done.
  kRefuse,
  /// The call is executed, and its connection returns nothing further.
  kLoseAnswer,
  /// The call is executed, and its connection is reset.
  kReset,
};

/// Stand-in of the platform's store, as PROTOCOL.md describes it: linearizable,
/// with leases, watches and transactions. Thread-safe.
class Store {
 public:
  using Fault = std::function<StoreFault(const StoreCall&)>;

  /// `value_bytes` is the largest value in bytes; a transaction with a larger
  /// one gets 400 and changes nothing.
  explicit Store(std::size_t value_bytes = 1048576);

  /// Returns a new address of the store for a machine. Each answer to it takes
  /// `delay` seconds longer than the store's own 4 ms.
  std::string AddressFor(const std::string& caller, const std::string& ip,
                         double delay = 0);
  /// Sets what happens to calls; called with the store locked.
  void SetFault(Fault fault);

  /// Calls of the operator, the replicas and the test itself.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Get(const std::string& key);
  std::vector<std::string> Keys(const std::string& prefix);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    /// Null for a removal.
    std::shared_ptr<Item> item;
  };
  struct Lease {
    double ttl_s = 0;
    double expires = 0;
  };
  struct Result {
    int status = 200;
    Json body = Json::object();
  };

  bool Handle(const std::string& caller, double delay, Connection& connection,
              const RequestHead& head);
  Result Execute(const std::string& name, const RequestHead& head,
                 const Json& body, std::unique_lock<std::mutex>& lock);
  Result ReadItem(const RequestHead& head);
  Result ReadRange(const RequestHead& head);
  Result Watch(const RequestHead& head, std::unique_lock<std::mutex>& lock);
  Result Commit(const Json& body);
  Result GrantLease(const Json& body);
  Result KeepLease(const RequestHead& head);
  Result EndLease(const RequestHead& head);
  void PutItem(const std::string& key, std::string value, std::uint64_t lease);
  void RemoveItem(const std::string& key);
  void RemoveLease(std::uint64_t id);
  void ExpireLeases();
  static Json ToJson(const std::string& key, const Item& item);

  const std::size_t value_bytes_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Fault fault_;
  std::uint64_t revision_ = 100;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace review

#endif  // REVIEW_COMMON_STORE_H_
