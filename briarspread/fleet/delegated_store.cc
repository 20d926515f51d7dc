#include "briarspread/fleet/delegated_store.h"

#include <glog/logging.h>

#include <utility>

#include "briarspread/fleet/watch_hub.h"

namespace briarspread {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

DelegatedStore::DelegatedStore(AsyncStore& store, PeerClient& peers,
                               const Clock& clock, FindDelegate find_delegate,
                               const DelegatedStoreSettings& settings)
    : store_(store),
      peers_(peers),
      clock_(clock),
      find_delegate_(std::move(find_delegate)),
      settings_(settings) {}

std::optional<Endpoint> DelegatedStore::CurrentDelegate() const {
  if (clock_.Now() < bypass_until_) return std::nullopt;
  return find_delegate_();
}

void DelegatedStore::BypassDelegate() {
  LOG_EVERY_N(INFO, 10) << "event=delegate_failed";
  bypass_until_ = clock_.Now() + settings_.bypass_time;
}

void DelegatedStore::List(const std::string& prefix, Done<StoreListing> done) {
  const auto delegate = CurrentDelegate();
  if (!delegate.has_value()) {
    store_.List(prefix, std::move(done));
    return;
  }
  PeerCall call;
  call.target = std::string(WatchHub::kListingPath) +
                "?prefix=" + proxy::EncodeParameter(prefix);
  call.timeout = settings_.slack;
  peers_.Call(*delegate, std::move(call),
              [this, prefix,
               done = std::move(done)](const Result<proxy::Response>& answer) {
                if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
                  auto listing = DecodeListing(ValueOf(answer).body);
                  if (listing.has_value()) {
                    done(std::move(*listing));
                    return;
                  }
                }
                BypassDelegate();
                store_.List(prefix, done);
              });
}

void DelegatedStore::Watch(const std::string& prefix, StoreIndex after,
                           milliseconds wait, Done<StoreChanges> done) {
  const auto delegate = CurrentDelegate();
  if (!delegate.has_value()) {
    store_.Watch(prefix, after, wait, std::move(done));
    return;
  }
  PeerCall call;
  call.target = std::string(WatchHub::kChangesPath) +
                "?prefix=" + proxy::EncodeParameter(prefix) +
                "&after=" + std::to_string(after.value()) +
                "&wait=" + std::to_string(settings_.wait.count());
  call.timeout = settings_.wait + settings_.slack;
  peers_.Call(*delegate, std::move(call),
              [this, prefix, after, wait,
               done = std::move(done)](const Result<proxy::Response>& answer) {
                if (IsOk(answer) && ValueOf(answer).head.status == kOk) {
                  auto changes = DecodeChanges(ValueOf(answer).body);
                  if (changes.has_value()) {
                    done(std::move(*changes));
                    return;
                  }
                }
                if (IsOk(answer) && ValueOf(answer).head.status == kGone) {
                  done(Error{ErrorCode::kStale, Verdict::kNotRun,
                             "delegate no longer holds the changes"});
                  return;
                }
                BypassDelegate();
                store_.Watch(prefix, after, wait, done);
              });
}

}  // namespace briarspread
