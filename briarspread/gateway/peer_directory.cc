#include "briarspread/gateway/peer_directory.h"

#include <memory>
#include <utility>

#include "briarspread/core/http_headers.h"
#include "briarspread/gateway/peer_seal.h"

namespace briarspread {
namespace {

/// Returns the text that a signature covers.
std::string SignedText(const std::string& path, const std::string& body) {
  return path + "\n" + body;
}

}  // namespace

PeerDirectory::PeerDirectory(InstanceId self, std::string key,
                             const Clock& clock)
    : self_(std::move(self)),
      key_(std::move(key)),
      clock_(clock),
      peers_(std::make_unique<const Peers>()) {}

void PeerDirectory::OnList(const std::vector<ListedInstance>& listed) {
  auto peers = std::make_unique<Peers>(*peers_.Read());
  for (const ListedInstance& instance : listed) {
    const InstanceId id(instance.name);
    if (instance.kind != InstanceKind::kEntry || id == self_) continue;
    (*peers)[id] = {instance.endpoint, instance.locality.zone, clock_.Now()};
  }
  peers_.Publish(std::move(peers));
}

std::optional<PeerAddress> PeerDirectory::Find(
    const InstanceId& instance) const {
  const auto peers = peers_.Read();
  const auto it = peers->find(instance);
  if (it == peers->end()) return std::nullopt;
  return it->second;
}

std::map<InstanceId, PeerAddress> PeerDirectory::All() const {
  return *peers_.Read();
}

void PeerDirectory::Sign(UpstreamRequest& request) const {
  if (key_.empty()) return;
  request.headers.push_back(
      {headers::kPeerSignature,
       SealOf(key_, SignedText(request.path, request.body))});
}

bool PeerDirectory::IsSigned(const std::string& path, const std::string& body,
                             const std::string& signature) const {
  return key_.empty() || IsSealOf(key_, SignedText(path, body), signature);
}

}  // namespace briarspread
