#include "review/common-3/lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "briarspread/core/base64.h"

namespace briarspread::review {
namespace {

/// Time that the store takes for an answer.
constexpr milliseconds kStoreDelay{4};
/// Number of changes that the store remembers.
constexpr std::size_t kHistory = 20000;
/// Items in one page of a listing.
constexpr std::size_t kPageItems = 500;
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kRestartDelay{500};
constexpr seconds kReadyLimit{20};

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TimePoint Steady() { return std::chrono::steady_clock::now(); }

void SendJson(proxy::Responder& responder, int status, const Json& body) {
  responder.Send(proxy::MakeResponse(status, body.dump()));
}

std::string Parameter(std::string_view query, std::string_view name) {
  return proxy::FindParameter(query, name).value_or("");
}

/// Calls `action` after `delay`, with a timer that keeps itself alive.
void Later(asio::io_context& loop, Duration delay,
           std::function<void()> action) {
  auto timer = std::make_shared<LoopTimer>(loop);
  timer->After(delay, [timer, action = std::move(action)] { action(); });
}

/// Returns the words of the run command of the edge role.
std::vector<std::string> RunCommand() {
  std::ifstream in("deploy/system.toml");
  bool is_edge = false;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("[")) is_edge = line == "[roles.edge]";
    const std::size_t begin = line.find('"');
    if (!is_edge || !line.starts_with("run") || begin == std::string::npos) {
      continue;
    }
    std::istringstream words(
        line.substr(begin + 1, line.rfind('"') - begin - 1));
    std::vector<std::string> all;
    for (std::string word; words >> word;) all.push_back(word);
    return all;
  }
  return {};
}

}  // namespace

bool HasTrouble() { return NumberFrom("TROUBLE", 1) != 0; }

std::int64_t NumberFrom(const char* name, std::int64_t otherwise) {
  const char* text = std::getenv(name);
  if (text == nullptr) return otherwise;
  return std::strtoll(text, nullptr, 10);
}

std::uint16_t FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  auto* const any = reinterpret_cast<sockaddr*>(&address);
  if (bind(fd, any, size) != 0 || getsockname(fd, any, &size) != 0) {
    std::exit(kCouldNotRun);
  }
  close(fd);
  return ntohs(address.sin_port);
}

const std::vector<std::pair<std::string, std::string>>& Zones() {
  static const std::vector<std::pair<std::string, std::string>> zones = {
      {"lim-a", "lim"}, {"aqp-a", "aqp"}, {"lim-b", "lim"},
      {"aqp-b", "aqp"}, {"lim-c", "lim"}, {"aqp-c", "aqp"}};
  return zones;
}

// --- Recorder

Recorder::Recorder(const std::string& path) : out_(path), start_(Steady()) {}

std::int64_t Recorder::Now() const {
  return std::chrono::duration_cast<milliseconds>(Steady() - start_).count();
}

void Recorder::Write(const std::string& line) {
  out_ << Now() << " " << line << "\n";
  out_.flush();
}

// --- Store

Store::Store(asio::io_context& loop, const std::string& host)
    : loop_(loop), host_(host), listener_(loop, *this), timer_(loop) {
  if (!IsOk(listener_.Start(Endpoint{host_, 0}))) std::exit(kCouldNotRun);
  timer_.Every(milliseconds(20), [this] { Tick(); });
}

std::string Store::address() const {
  return host_ + ":" + std::to_string(listener_.port());
}

void Store::Put(const std::string& key, const std::string& value) {
  Write(key, value, 0, ++revision_);
  AnswerWatches();
}

void Store::Remove(const std::string& key) {
  if (items_.contains(key)) Erase(key, ++revision_);
  AnswerWatches();
}

void Store::Write(const std::string& key, const std::string& value,
                  std::uint64_t lease, std::uint64_t revision) {
  Item& item = items_[key];
  if (item.created == 0) item.created = revision;
  item.value = value;
  item.revision = revision;
  item.lease = lease;
  history_.push_back({key, revision, item});
  if (history_.size() > kHistory) history_.pop_front();
}

void Store::Erase(const std::string& key, std::uint64_t revision) {
  if (items_.erase(key) == 0) return;
  history_.push_back({key, revision, std::nullopt});
}

Json Store::ItemJson(const std::string& key) const {
  const auto it = items_.find(key);
  if (it == items_.end()) return {{"Key", key}, {"Revision", 0}};
  return {{"Key", key},
          {"Value", EncodeBase64(it->second.value)},
          {"Revision", it->second.revision},
          {"Created", it->second.created},
          {"Lease", it->second.lease}};
}

Json Store::Commit(const Json& call, int& status) {
  const auto list = [&call](const char* name) {
    return call.contains(name) ? call.at(name) : Json::array();
  };
  bool holds = true;
  Json current = Json::array();
  for (const Json& row : list("Expected")) {
    const std::string key = row.at("Key");
    const auto it = items_.find(key);
    const std::uint64_t has = it == items_.end() ? 0 : it->second.revision;
    holds = holds && has == row.at("Revision").get<std::uint64_t>();
    current.push_back(ItemJson(key));
  }
  if (!holds) {
    status = 412;
    return {{"Items", current}, {"StoreRevision", revision_}};
  }
  for (const Json& put : list("Put")) {
    const auto lease = put.value("Lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      status = 404;
      return Json::object();
    }
  }
  ++revision_;
  for (const Json& put : list("Put")) {
    Write(put.at("Key"),
          DecodeBase64(put.at("Value").get<std::string>()).value_or(""),
          put.value("Lease", std::uint64_t{0}), revision_);
  }
  for (const Json& key : list("Remove")) Erase(key, revision_);
  status = 200;
  return {{"Revision", revision_}};
}

void Store::EndLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> ended;
  for (const auto& [key, item] : items_) {
    if (item.lease == id) ended.push_back(key);
  }
  if (ended.empty()) return;
  ++revision_;
  for (const std::string& key : ended) Erase(key, revision_);
}

bool Store::TryAnswer(const Watch& watch, bool is_due) {
  if (!history_.empty() && history_.front().revision > watch.after + 1 &&
      history_.size() >= kHistory) {
    SendJson(*watch.responder, 410, Json::object());
    return true;
  }
  Json events = Json::array();
  for (const Change& change : history_) {
    const bool is_news = change.revision > watch.after;
    if (!is_news || !change.key.starts_with(watch.prefix)) continue;
    Json event = {{"Key", change.key}, {"Revision", change.revision}};
    if (change.item.has_value()) {
      event["Value"] = EncodeBase64(change.item->value);
      event["Created"] = change.item->created;
      event["Lease"] = change.item->lease;
    } else {
      event["Removed"] = true;
    }
    events.push_back(std::move(event));
  }
  if (events.empty() && !is_due) return false;
  SendJson(*watch.responder, 200,
           {{"events", std::move(events)}, {"StoreRevision", revision_}});
  return true;
}

void Store::AnswerWatches() {
  const TimePoint now = Steady();
  std::vector<Watch> all = std::exchange(watches_, {});
  std::erase_if(all, [this, now](const Watch& watch) {
    return TryAnswer(watch, now >= watch.deadline);
  });
  watches_.insert(watches_.end(), all.begin(), all.end());
}

void Store::Tick() {
  const TimePoint now = Steady();
  std::vector<std::uint64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (now >= lease.until) over.push_back(id);
  }
  for (const std::uint64_t id : over) EndLease(id);
  AnswerWatches();
}

void Store::OnRequest(proxy::Request request, ResponderPtr responder) {
  Later(loop_, kStoreDelay,
        [this, request = std::make_shared<proxy::Request>(std::move(request)),
         responder] { Serve(*request, responder); });
}

void Store::Serve(const proxy::Request& request,
                  const ResponderPtr& responder) {
  const std::string path(proxy::SplitTarget(request.head.target).path);
  const auto id = [&path] {
    return proxy::ParseNumber(path.substr(path.rfind('/') + 1)).value_or(0);
  };
  if (path == "/briarspread/kv-txn") {
    int status = 0;
    const Json answer = Commit(Json::parse(request.body), status);
    SendJson(*responder, status, answer);
    AnswerWatches();
  } else if (path == "/briarspread/kv-lease") {
    const milliseconds ttl(
        Json::parse(request.body).at("TtlMs").get<std::int64_t>());
    leases_[next_lease_] = {ttl, Steady() + ttl};
    SendJson(*responder, 200,
             {{"Lease", next_lease_++}, {"TtlMs", ttl.count()}});
  } else if (path.starts_with("/briarspread/kv-keep/")) {
    const auto it = leases_.find(id());
    if (it == leases_.end()) {
      SendJson(*responder, 404, Json::object());
      return;
    }
    it->second.until = Steady() + it->second.ttl;
    SendJson(*responder, 200,
             {{"Lease", it->first}, {"TtlMs", it->second.ttl.count()}});
  } else if (path.starts_with("/briarspread/kv-lease-end/")) {
    EndLease(id());
    SendJson(*responder, 200, Json::object());
    AnswerWatches();
  } else {
    Read(request, responder);
  }
}

void Store::Read(const proxy::Request& request, const ResponderPtr& responder) {
  const auto target = proxy::SplitTarget(request.head.target);
  const auto number = [&target](std::string_view name) {
    return proxy::ParseNumber(Parameter(target.query, name)).value_or(0);
  };
  if (target.path == "/briarspread/kv-key") {
    const std::string key = Parameter(target.query, "Key");
    Json item = ItemJson(key);
    item["StoreRevision"] = revision_;
    SendJson(*responder, items_.contains(key) ? 200 : 404, item);
    return;
  }
  const std::string prefix = Parameter(target.query, "Prefix");
  if (target.path == "/briarspread/kv-watch") {
    Watch watch{
        prefix, number("After"),
        Steady() + milliseconds(static_cast<std::int64_t>(number("WaitMs"))),
        responder};
    if (!TryAnswer(watch, false)) watches_.push_back(std::move(watch));
    return;
  }
  const std::string after = Parameter(target.query, "After");
  Json items = Json::array();
  bool has_more = false;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    if (it->first <= after) continue;
    has_more = items.size() == kPageItems;
    if (has_more) break;
    items.push_back(ItemJson(it->first));
  }
  SendJson(*responder, 200,
           {{"Items", std::move(items)},
            {"MorePages", has_more},
            {"StoreRevision", revision_}});
}

// --- Replica

Replica::Replica(asio::io_context& loop, Store& store, Recorder& record,
                 Settings settings)
    : loop_(loop),
      store_(store),
      record_(record),
      settings_(std::move(settings)),
      listener_(loop, *this),
      heartbeat_(loop),
      born_(UnixMs()) {
  if (!IsOk(listener_.Start(Endpoint{settings_.host, 0}))) {
    std::exit(kCouldNotRun);
  }
  Register();
  heartbeat_.Every(kHeartbeat, [this] { Register(); });
}

void Replica::Crash() {
  record_.Write("crash replica=" + settings_.id +
                " requests=" + std::to_string(active_));
  is_down_ = true;
  heartbeat_.Cancel();
  listener_.Stop();
  Later(loop_, 3 * kHeartbeat,
        [this] { store_.Remove("servers/" + settings_.id); });
}

Json Replica::Entry() const {
  return {{"Service", settings_.service},
          {"Address", settings_.host + ":" + std::to_string(listener_.port())},
          {"Zone", settings_.zone},
          {"Version", "r1"},
          {"Slots", settings_.slots},
          {"State", "ready"},
          {"ColdRemainingMs", 0},
          {"Sequence", sequence_},
          {"born", born_}};
}

void Replica::Register() {
  ++sequence_;
  store_.Put("servers/" + settings_.id, Entry().dump());
}

void Replica::OnRequest(proxy::Request request, ResponderPtr responder) {
  const auto find = [&request](std::string_view name) {
    const std::string* value = request.head.headers.Find(name);
    return value == nullptr ? std::string() : *value;
  };
  const std::string id = find("X-Attempt-Id");
  const std::string expected = find("X-Expect-Instance");
  proxy::Response response = proxy::MakeResponse(200, "whole answer");
  response.head.headers.Add("X-Attempt-Id", id);
  if (!expected.empty() && expected != settings_.id) {
    response.head.status = 421;
    responder->Send(response);
    return;
  }
  ++runs_[id];
  ++active_;
  record_.Write("run request=" + id + " replica=" + settings_.id);
  if (answer) {
    --active_;
    answer(request, responder);
    return;
  }
  Later(loop_, settings_.work, [this, id, responder, response]() mutable {
    if (is_down_) return;
    --active_;
    response.head.headers.Add("X-Server-Stamp", "stamp-" + id);
    response.head.headers.Add(
        "X-Instance-Load",
        std::to_string(active_) + ",0," + std::to_string(settings_.slots));
    responder->Send(response);
  });
}

// --- EdgeProcess

EdgeProcess::EdgeProcess(asio::io_context& loop, Recorder& record,
                         const Store& store, Settings settings)
    : record_(record),
      store_(store.address()),
      settings_(std::move(settings)),
      reaper_(loop),
      restart_(loop) {
  std::ofstream out(settings_.folder + "/" + settings_.name + ".conf");
  const auto at = [this](std::uint16_t port) {
    return settings_.ip + ":" + std::to_string(port);
  };
  out << "NodeName=" << settings_.name << "\nRole=edge\nMachineClass=edge\n"
      << "Serves=edge,control\nIp=" << settings_.ip
      << "\nZone=" << settings_.zone << "\nRegion=" << settings_.region << "\n";
  for (const auto& [zone, region] : Zones()) {
    out << "Zones." << zone << "=" << region << "\n";
  }
  out << "Listen.Frontend=" << at(settings_.frontend)
      << "\nListen.Ready=" << at(settings_.ready)
      << "\nListen.ControlPlane=" << at(settings_.control)
      << "\nSeedNodes=" << settings_.seeds
      << "\nBootstrap=true\nToleranceCounted=false\n"
      << "Limits.CpuFraction=0.25\nLimits.CpuCores=1\nLimits.MemoryMb=260\n"
      << "Limits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n"
      << "Discovery=platform\nEntry=vip\nHeartbeatMs=1200\n"
      << "Contracts=base,drain,config,cost,recover,samples,stream,engine,"
      << "batch,platform\nFaultTolerance.Machines=1\n"
      << "Bounds.StableMs=4000\nBounds.AckMs=5000\nBounds.DrainMs=2500\n"
      << "Bounds.GraceS=8\nBounds.ConfigApplyMs=2500\nBounds.StatusS=120\n"
      << "Bounds.CancelMs=3000\nBounds.SettleMs=1000\n"
      << "Bounds.FencingEnforced=false\nBounds.LeaseMs=3000\n"
      << "Bounds.ThawMs=300\nPlatform.Address=" << store_
      << "\nPlatform.form=kv\nPlatform.WritesPerS=400\n"
      << "Platform.ReadsPerS=2000\nPlatform.HistoryS=20\n"
      << "Platform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n";
}

EdgeProcess::~EdgeProcess() {
  if (pid_ == 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool EdgeProcess::Start() {
  const std::vector<std::string> command = RunCommand();
  if (command.empty()) return false;
  std::vector<char*> words;
  words.reserve(command.size() + 1);
  for (const std::string& word : command) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  std::string file = "BRIARSPREAD_SETTINGS=" + settings_.folder + "/" +
                     settings_.name + ".conf";
  std::string path = "PATH=/usr/bin:/bin";
  std::array<char*, 3> environment = {file.data(), path.data(), nullptr};
  const std::string log = settings_.folder + "/" + settings_.name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, command.front().c_str(), &actions,
                                nullptr, words.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = 0;
    return false;
  }
  ++starts_;
  record_.Write("start edge=" + settings_.name);
  // The script ends what is left if this program is cut off.
  std::ofstream(settings_.folder + "/pids", std::ios::app) << pid_ << "\n";
  reaper_.Every(milliseconds(10), [this] { Reap(); });
  return true;
}

void EdgeProcess::Signal(int signal) const {
  record_.Write("signal edge=" + settings_.name +
                " number=" + std::to_string(signal));
  if (pid_ != 0) kill(pid_, signal);
}

void EdgeProcess::Reap() {
  int status = 0;
  if (pid_ == 0 || waitpid(pid_, &status, WNOHANG) != pid_) return;
  pid_ = 0;
  reaper_.Cancel();
  const int signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  const bool is_own = signal != SIGKILL && signal != SIGTERM;
  own_ends_ += is_own;
  record_.Write("ended edge=" + settings_.name +
                " signal=" + std::to_string(signal) +
                " exit=" + std::to_string(WEXITSTATUS(status)));
  restart_.After(kRestartDelay, [this] { Start(); });
}

// --- Fleet

Fleet::Fleet(asio::io_context& loop, Recorder& record, const Store& store,
             const std::string& folder, int count)
    : pool_(loop, {}), timer_(loop) {
  std::vector<EdgeProcess::Settings> all;
  std::string seeds;
  for (int i = 0; i < count; ++i) {
    EdgeProcess::Settings settings;
    settings.name = "edge-" + std::to_string(i + 1);
    settings.ip = "127.0.1." + std::to_string(i + 1);
    const auto& place = Zones().at(static_cast<std::size_t>(i));
    settings.zone = place.first;
    settings.region = place.second;
    settings.folder = folder;
    settings.frontend = FreePort(settings.ip);
    settings.ready = FreePort(settings.ip);
    settings.control = FreePort(settings.ip);
    seeds += (seeds.empty() ? "" : ",") + settings.ip + ":" +
             std::to_string(settings.control);
    all.push_back(std::move(settings));
  }
  for (EdgeProcess::Settings& settings : all) {
    settings.seeds = seeds;
    edges_.push_back(
        std::make_unique<EdgeProcess>(loop, record, store, settings));
  }
}

bool Fleet::Start() {
  return std::all_of(edges_.begin(), edges_.end(),
                     [](const auto& edge) { return edge->Start(); });
}

void Fleet::AwaitReady(std::function<void(bool)> done) {
  done_ = std::move(done);
  give_up_ = Steady() + kReadyLimit;
  AskNext();
}

void Fleet::AskNext() {
  if (next_ == edges_.size() || Steady() > give_up_) {
    done_(next_ == edges_.size());
    return;
  }
  proxy::RequestHead head;
  head.method = "GET";
  head.target = "/briarspread/readyz";
  proxy::ExchangeRequest request;
  request.to = edges_.at(next_)->ready();
  request.bytes = proxy::RequestBytes::Make(head, "");
  request.timeout = milliseconds(500);
  proxy::StartCall(pool_, std::move(request),
                   [this](const proxy::CallResult& result) {
                     const auto* got = std::get_if<proxy::Response>(&result);
                     if (got != nullptr && got->head.status == 200) ++next_;
                     timer_.After(milliseconds(50), [this] { AskNext(); });
                   });
}

}  // namespace briarspread::review
