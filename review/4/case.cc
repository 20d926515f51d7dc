// A replica rejects a long request before all of it is in, keeps the connection
// and reads on later. Does it get the rest of that request's body?

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/common/fleet.h"

namespace review {
namespace {

constexpr char kZone[] = "lim-a";
/// Under `MaxBodyBytes` of the configuration, 33554432.
constexpr std::size_t kLongBytes = std::size_t{12} << 20U;
constexpr std::size_t kLongLimit = std::size_t{1} << 20U;
constexpr std::size_t kReadBefore = std::size_t{64} << 10U;
constexpr double kReadLaterSeconds = 0.25;
constexpr int kLongRequests = 20;
constexpr double kLongInterval = 0.25;
/// Limits of `garble`: how long it lasts, and one answer in so many.
constexpr double kFaultSeconds = 5.5;
constexpr std::size_t kAnswersForEach = 50;

/// Returns the byte at a position of a long body.
char ByteAt(std::size_t position) {
  return static_cast<char>('a' + (position / 7 + position % 23) % 26);
}

std::string LongBody() {
  std::string body(kLongBytes, ' ');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = ByteAt(i);
  return body;
}

/// What a replica read where the rest of a long body was due.
struct Findings {
  std::atomic<int> early{0};
  std::atomic<double> first_early{0};
  std::atomic<int> foreign{0};
  std::atomic<int> whole{0};
  std::atomic<int> broken_off{0};
};

std::string Printable(const std::string& bytes) {
  std::string text;
  for (const char c : bytes) text += c >= ' ' && c <= '~' ? c : '.';
  return text;
}

/// Reads the rest of a long body, from `at` on, and compares it with what the
/// client sent.
void ReadRest(Deployment& deployment, Connection& connection,
              const std::string& id, std::size_t at, Findings& findings) {
  while (at < kLongBytes) {
    const std::string bytes = connection.ReadSome(
        std::min<std::size_t>(65536, kLongBytes - at), Now() + 5);
    if (bytes.empty()) {
      ++findings.broken_off;
      deployment.record().Line("the rest of " + id + " ends at byte " +
                               std::to_string(at));
      return;
    }
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      if (bytes[i] == ByteAt(at + i)) continue;
      ++findings.foreign;
      deployment.record().Line("the rest of " + id +
                               " has other bytes from byte " +
                               std::to_string(at + i) + " on: \"" +
                               Printable(bytes.substr(i, 120)) + "\"");
      return;
    }
    at += bytes.size();
  }
  ++findings.whole;
  deployment.record().Line("the rest of " + id + " is the client's");
}

/// Lets the replica reject each long request before it is in, keep the
/// connection, and read on later.
void RejectEarly(Deployment& deployment, Replica& replica, Findings& findings) {
  replica.SetHook([&](Connection& connection,
                      const RequestHead& head) -> std::optional<bool> {
    const std::size_t length =
        std::strtoull(head.headers.Get("Content-Length").c_str(), nullptr, 10);
    if (length < kLongLimit) return std::nullopt;
    const auto early = static_cast<std::size_t>(findings.early.load());
    const bool is_share_used =
        (early + 1) * kAnswersForEach > replica.runs().size();
    const double first = findings.first_early;
    const bool is_over = first > 0 && Now() > first + kFaultSeconds;
    if (is_share_used || is_over) return std::nullopt;
    if (first == 0) findings.first_early = Now();
    const std::string id = head.headers.Get("X-Attempt-Id");
    const auto begin = connection.ReadBytes(kReadBefore, Now() + 5);
    if (!begin.has_value()) return false;
    ++findings.early;
    HeaderLines headers = replica.AnswerHeaders(head);
    headers.Add("X-Not-Executed", "1");
    headers.Add("Keep-Alive", "timeout=20");
    deployment.record().Line(replica.spec().id + " rejects " + id + " after " +
                             std::to_string(kReadBefore) +
                             " bytes of its body");
    if (!connection.SendResponse(503, headers, "")) return false;
    SleepFor(kReadLaterSeconds);
    ReadRest(deployment, connection, id, kReadBefore, findings);
    return false;
  });
}

void SendShort(Deployment& deployment, const std::atomic<bool>& is_over) {
  for (int n = 0; !is_over; ++n) {
    Node* node = deployment.edges()[static_cast<std::size_t>(n) % 2];
    const std::string id = "s" + std::to_string(n);
    HeaderLines headers = ClientHeaders(id);
    headers.Add("X-Deadline-Ms", "2000");
    const auto answer =
        Call(node->frontend(), "POST", std::string(kPlainPrefix) + "s/" + id,
             headers, "short body of " + id, Now() + 2.5);
    deployment.record().Line(
        "answer to " + id + ": " +
        (answer.has_value() ? std::to_string(answer->status) : "none"));
    SleepFor(0.05);
  }
}

void PlayCase(Deployment& deployment) {
  deployment.MakeStore(MakeConfiguration(7, {"daka510000"}));
  Findings findings;
  for (int i = 0; i < 2; ++i) {
    ReplicaSpec service;
    service.id = "i-02d9e6b" + std::to_string(i);
    service.service = kPlainService;
    service.zone = kZone;
    Replica& replica = deployment.AddReplica(service);
    if (i == 0 && deployment.has_trouble()) {
      RejectEarly(deployment, replica, findings);
    }
  }
  deployment.StartNodes({{"edge-lim-a-1", kZone, "lim"},
                         {"edge-lim-a-2", kZone, "lim"},
                         {"storage-lim-a-1", kZone, "lim", "storage"}});
  std::atomic<bool> is_over{false};
  constexpr std::size_t kShortClients = 24;
  std::vector<std::thread> threads;
  threads.reserve(kShortClients);
  for (std::size_t k = 0; k < kShortClients; ++k) {
    threads.emplace_back([&] { SendShort(deployment, is_over); });
  }
  SleepFor(2);
  const std::string body = LongBody();
  int answered = 0;
  for (int n = 0; n < kLongRequests; ++n) {
    const std::string id = "long" + std::to_string(n);
    Node* node = deployment.edges()[static_cast<std::size_t>(n) % 2];
    HeaderLines headers = ClientHeaders(id);
    headers.Add("X-Deadline-Ms", "4000");
    const auto answer =
        Call(node->frontend(), "POST", std::string(kPlainPrefix) + "l/" + id,
             headers, body, Now() + 5);
    answered += answer.has_value() && answer->status == 200;
    deployment.record().Line(
        "answer to " + id + ": " +
        (answer.has_value() ? std::to_string(answer->status) : "none"));
    SleepFor(kLongInterval);
  }
  SleepFor(3);
  is_over = true;
  for (auto& thread : threads) thread.join();
  int own_ends = 0;
  for (Node* node : deployment.edges()) {
    if (node->IsRunning()) continue;
    ++own_ends;
    deployment.record().Line(node->name() + " ended: " + node->LastEnd());
  }
  int changed = 0;
  for (const auto& replica : deployment.replicas()) {
    for (const auto& run : replica->runs()) {
      changed +=
          run.target.find("/l/") != std::string::npos && run.body != body;
    }
  }
  const std::size_t answers = deployment.replicas()[0]->runs().size();
  const std::string seen =
      std::to_string(findings.early.load()) +
      " long requests answered early, of " + std::to_string(answers) +
      " answers of that replica; the rest of their bodies was: " +
      std::to_string(findings.foreign.load()) + " other bytes, " +
      std::to_string(findings.whole.load()) + " the client's, " +
      std::to_string(findings.broken_off.load()) + " broken off; " +
      std::to_string(changed) + " bodies changed otherwise, " +
      std::to_string(answered) + " of " + std::to_string(kLongRequests) +
      " answered 200, " + std::to_string(own_ends) + " processes ended";
  if (deployment.has_trouble() && findings.early == 0) {
    deployment.CannotRun("no long request reached the replica");
  }
  const bool is_broken = findings.foreign > 0 || changed > 0;
  deployment.Finish(is_broken ? 1 : 0,
                    (is_broken ? "UNASKED broken: " : "UNASKED held: ") + seen);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Deployment deployment(argc, argv);
  review::PlayCase(deployment);
}
