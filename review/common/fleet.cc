#include "review/common/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr std::uint16_t kMetricsPorts[] = {9464, 9465};
constexpr double kBodySeconds = 20;
constexpr double kReadySeconds = 20;

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

/// Returns the `run` command of a role of the deploy file.
std::vector<std::string> CommandOf(const std::string& role) {
  std::ifstream in("deploy/system.toml");
  bool is_in_role = false;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind('[', 0) == 0) is_in_role = line == "[roles." + role + "]";
    const std::string key = "run = \"";
    if (!is_in_role || line.rfind(key, 0) != 0) continue;
    return Split(line.substr(key.size(), line.rfind('"') - key.size()), ' ');
  }
  return {};
}

std::string FormatTime(double time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%8.3f", time);
  return text.data();
}

std::uint64_t NumberOf(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string FormatChunk(const std::string& data) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return size.data() + data + "\r\n";
}

std::filesystem::path TemporaryFolder() {
  static const std::filesystem::path folder = [] {
    std::string path =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) std::_Exit(2);
    return std::filesystem::path(path);
  }();
  return folder;
}

}  // namespace

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << FormatTime(Now()) << " " << text << "\n" << std::flush;
}

// --- Addresses and nodes

Addresses::Addresses() : block_(getpid() % 60000) {}

std::string Addresses::Next() {
  while (true) {
    ++next_;
    const int host = next_ % 250 + 2;
    std::string ip = "127." + std::to_string(block_ / 256 + 10) + "." +
                     std::to_string(block_ % 256) + "." + std::to_string(host);
    const bool is_free =
        std::all_of(std::begin(kMetricsPorts), std::end(kMetricsPorts),
                    [&ip](std::uint16_t port) { return IsPortFree(ip, port); });
    if (is_free) return ip;
  }
}

Node::Node(NodeSpec spec, std::string ip)
    : spec_(std::move(spec)), ip_(std::move(ip)) {
  while (ports_.size() < 3) {
    const int port = FindFreePort(ip_);
    if (std::find(ports_.begin(), ports_.end(), port) == ports_.end()) {
      ports_.push_back(port);
    }
  }
}

void Node::WriteSettings(const std::string& folder, const std::string& store,
                         const std::map<std::string, std::string>& zones,
                         const std::vector<std::string>& seeds) {
  settings_path_ = folder + "/" + spec_.name + ".conf";
  log_path_ = folder + "/" + spec_.name + ".log";
  std::ofstream out(settings_path_);
  const bool is_edge = spec_.role == "edge";
  out << "NodeName=" << spec_.name << "\nRole=" << spec_.role
      << "\nMachineClass=" << spec_.role
      << "\nServes=" << (is_edge ? "edge,control" : "storage") << "\nIp=" << ip_
      << "\nZone=" << spec_.zone << "\nRegion=" << spec_.region << "\n";
  for (const auto& [zone, region] : zones) {
    out << "Zones." << zone << "=" << region << "\n";
  }
  if (is_edge) {
    out << "Listen.Frontend=" << frontend() << "\nListen.Ready=" << ready()
        << "\nListen.ControlPlane=" << control() << "\n";
  }
  out << "PortRange=7380,7395\nSeedNodes=";
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    out << (i > 0 ? "," : "") << seeds[i];
  }
  out << "\nBootstrap=true\nToleranceCounted=" << (is_edge ? "false" : "true")
      << "\nLimits.CpuFraction=0.25\nLimits.CpuCores=1\nLimits.MemoryMb=260\n"
         "Limits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n"
         "Discovery=platform\nEntry=vip\nHeartbeatMs=1200\n"
         "Contracts=base,drain,config,cost,recover,samples,stream,engine,"
         "batch,platform\nFaultTolerance.Machines=1\n"
         "FaultTolerance.Zones=0\nFaultTolerance.Regions=0\n"
         "Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.StableMs=4000\n"
         "Bounds.AckMs=5000\nBounds.CatchUpS=4.6\nBounds.DrainMs=2500\n"
         "Bounds.GraceS=8\nBounds.LossSlackMs=200\n"
         "Bounds.ConfigApplyMs=2500\nBounds.RevertSlackMs=250\n"
         "Bounds.OuterBoundMs=6000\nBounds.RecoverS=12\nBounds.PassMs=300\n"
         "Bounds.RetryAfterS=0\nBounds.FinishS=10\nBounds.StatusS=120\n"
         "Bounds.CancelMs=3000\nBounds.SettleMs=1000\n"
         "Bounds.QuotaOvershoot=0.1\nBounds.FencingEnforced=false\n"
         "Bounds.LeaseMs=3000\nBounds.ThawMs=300\n"
      << "Platform.Address=" << store
      << "\nPlatform.form=kv\nPlatform.WritesPerS=400\n"
         "Platform.ReadsPerS=2000\nPlatform.HistoryS=20\n"
         "Platform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n";
}

void Node::Start() {
  const std::vector<std::string> command = CommandOf(spec_.role);
  std::vector<std::string> environment = {"BRIARSPREAD_SETTINGS=" +
                                          settings_path_};
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    const char* value = std::getenv(name);
    if (value == nullptr) continue;
    environment.push_back(std::string(name) + "=" + value);
  }
  last_end_.clear();
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  std::vector<char*> variables;
  variables.reserve(environment.size() + 1);
  for (const auto& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  for (const auto& line : environment) {
    variables.push_back(const_cast<char*>(line.c_str()));
  }
  arguments.push_back(nullptr);
  variables.push_back(nullptr);
  execve(arguments[0], arguments.data(), variables.data());
  _exit(127);
}

void Node::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool Node::IsRunning() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  pid_ = -1;
  last_end_ = WIFSIGNALED(status)
                  ? "signal " + std::string(strsignal(WTERMSIG(status)))
                  : "exit code " + std::to_string(WEXITSTATUS(status));
  return false;
}

bool Node::AwaitEnd(double deadline) {
  while (IsRunning()) {
    if (Now() >= deadline) return false;
    SleepFor(0.01);
  }
  return true;
}

// --- Replicas

Replica::Replica(ReplicaSpec spec, const std::string& ip, Store& store,
                 Record& record)
    : spec_(std::move(spec)), store_(store), record_(record), born_(UnixMs()) {
  for (const std::string& model : spec_.models) versions_[model] = 1;
  server_ = std::make_unique<Server>(
      ip, [this](Connection& connection, const RequestHead& head) {
        return Handle(connection, head);
      });
  Register();
}

Json Replica::Models() {
  Json models = Json::array();
  for (const auto& [model, version] : versions_) {
    models.push_back(
        {{"Name", model}, {"Version", version}, {"Adapters", Json::array()}});
  }
  return models;
}

void Replica::Register() {
  Json entry = {{"Service", spec_.service},
                {"Address", server_->address()},
                {"Zone", spec_.zone},
                {"Version", "v1"},
                {"Slots", spec_.slots},
                {"State", "ready"},
                {"ColdRemainingMs", 0},
                {"Sequence", orders_accepted_},
                {"born", born_}};
  if (!spec_.models.empty()) {
    entry["Stage"] = "both";
    entry["Models"] = Models();
  }
  store_.Put("servers/" + spec_.id, entry.dump());
}

void Replica::SetHook(Hook hook) {
  const std::lock_guard<std::mutex> lock(mutex_);
  hook_ = std::move(hook);
}

std::vector<Run> Replica::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::vector<Replica::Order> Replica::orders() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return orders_;
}

std::set<std::string> Replica::finished() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return finished_;
}

double Replica::LastAt(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = last_at_.find(id);
  return it == last_at_.end() ? 0 : it->second;
}

void Replica::NoteAt(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  last_at_[id] = Now();
}

HeaderLines Replica::AnswerHeaders(const RequestHead& head) {
  HeaderLines headers;
  headers.Add("X-Attempt-Id", head.headers.Get("X-Attempt-Id"));
  headers.Add("X-Server-Stamp",
              spec_.id + "." + head.headers.Get("X-Attempt-Id"));
  headers.Add("X-Instance-Load", std::to_string(active_.load()) + ",0," +
                                     std::to_string(spec_.slots));
  return headers;
}

void Replica::RecordRun(const RequestHead& head, std::uint64_t first_event,
                        const std::string& body) {
  const std::string id = head.headers.Get("X-Attempt-Id");
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back({Now(), spec_.id, id, head.target, first_event, body});
  record_.Line("run at " + spec_.id + ": " + head.method + " " + head.target +
               " id=" + id + " first_event=" + std::to_string(first_event));
}

bool Replica::Handle(Connection& connection, const RequestHead& head) {
  const std::string expected = head.headers.Get("X-Expect-Instance");
  Hook hook;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    hook = hook_;
  }
  if (!expected.empty() && expected != spec_.id) {
    if (!connection.ReadBody(head.headers, Now() + kBodySeconds)) return false;
    HeaderLines headers;
    headers.Add("X-Instance-Id", spec_.id);
    return connection.SendResponse(421, headers, "");
  }
  if (hook) {
    const auto handled = hook(connection, head);
    if (handled.has_value()) return *handled;
  }
  if (head.path == "/briarspread/order") return HandleOrder(connection, head);
  const auto body = connection.ReadBody(head.headers, Now() + kBodySeconds);
  if (!body.has_value()) return false;
  if (head.path == "/briarspread/report") return SendReport(connection);
  if (head.path == "/healthz") {
    HeaderLines headers;
    headers.Add("X-Instance-Id", spec_.id);
    return connection.SendResponse(200, headers, "");
  }
  if (head.headers.Get("X-Attempt-Id").empty()) {
    HeaderLines headers;
    headers.Add("X-Not-Executed", "1");
    return connection.SendResponse(400, headers, "");
  }
  bool is_loading = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_loading = is_busy_;
  }
  if (is_loading || active_.load() >= spec_.slots * 4) {
    HeaderLines headers = AnswerHeaders(head);
    headers.Add("X-Not-Executed", "1");
    return connection.SendResponse(503, headers, "");
  }
  const std::size_t position = active_.fetch_add(1);
  for (std::size_t i = 0; position >= spec_.slots && i < 1000; ++i) {
    if (active_.load() <= spec_.slots || connection.IsClosedByPeer()) break;
    SleepFor(0.005);
  }
  const bool keeps = spec_.models.empty() ? RunPlain(connection, head, *body)
                                          : RunItem(connection, head, *body);
  active_.fetch_sub(1);
  return keeps;
}

bool Replica::RunPlain(Connection& connection, const RequestHead& head,
                       const std::string& body) {
  RecordRun(head, 1, body);
  SleepFor(spec_.work_s);
  return connection.SendResponse(200, AnswerHeaders(head),
                                 "done " + head.headers.Get("X-Attempt-Id"));
}

bool Replica::RunItem(Connection& connection, const RequestHead& head,
                      const std::string& body) {
  const std::string id = head.headers.Get("X-Attempt-Id");
  const std::string model = head.headers.Get("X-Model");
  const auto counts = Split(head.headers.Get("X-Token-Count"), ',');
  const std::uint64_t events = counts.size() == 2 ? NumberOf(counts[1]) : 1;
  const std::uint64_t first = NumberOf(head.headers.Get("Last-Event-Id")) + 1;
  RecordRun(head, first, body);
  HeaderLines headers = AnswerHeaders(head);
  std::uint64_t version = 1;
  const auto current = [this, &model] {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = versions_.find(model);
    return it == versions_.end() ? std::uint64_t{1} : it->second;
  };
  version = current();
  headers.Add("X-Weight-Versions", std::to_string(version));
  std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  for (const auto& [name, value] : headers.lines()) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
  out += "Transfer-Encoding: chunked\r\n\r\n";
  if (!connection.Send(out)) return false;
  for (std::uint64_t event = first; event <= events; ++event) {
    SleepFor(spec_.event_s);
    NoteAt(id);
    if (connection.IsClosedByPeer()) return false;
    std::string text;
    const std::uint64_t now = current();
    if (now != version) {
      version = now;
      text = "x-weight-versions: " + std::to_string(version) + "\n";
    }
    text += "id: " + std::to_string(event) +
            "\ndata: " + EventData(id, event, spec_.event_bytes) + "\n\n";
    if (!connection.Send(FormatChunk(text))) return false;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    finished_.insert(id);
  }
  record_.Line("last event at " + spec_.id + " id=" + id);
  return connection.Send("0\r\n\r\n");
}

bool Replica::SendReport(Connection& connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Json report = {{"Stage", "both"},  {"Models", Models()},
                       {"Busy", is_busy_}, {"Sequence", orders_accepted_},
                       {"Queued", 0},      {"Active", active_.load()},
                       {"KvUsed", 0},      {"KvTotal", 90000},
                       {"Handles", 0}};
  HeaderLines headers;
  headers.Add("Content-Type", "application/json");
  return connection.SendResponse(200, headers, report.dump());
}

bool Replica::HandleOrder(Connection& connection, const RequestHead& head) {
  const auto text = connection.ReadBody(head.headers, Now() + kBodySeconds);
  if (!text.has_value()) return false;
  const Json body = Json::parse(*text, nullptr, false);
  Order order;
  order.time = Now();
  const std::string model = body.value("Model", "");
  order.holder = body.value("Holder", "");
  order.fence = body.value("Fence", std::uint64_t{0});
  order.version = body.value("Version", std::uint64_t{0});
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool is_expected =
        !body.contains("Expected") ||
        body.at("Expected").get<std::uint64_t>() == orders_accepted_;
    if (order.holder.empty() || order.fence == 0 ||
        !versions_.contains(model)) {
      order.status = 400;
    } else if (is_busy_ || !is_expected) {
      order.status = 409;
    } else if (versions_[model] == order.version) {
      order.status = 200;
    } else {
      order.status = 202;
      is_busy_ = true;
      ++orders_accepted_;
    }
    orders_.push_back(order);
  }
  record_.Line("order at " + spec_.id + ": model=" + model + " version=" +
               std::to_string(order.version) + " holder=" + order.holder +
               " fence=" + std::to_string(order.fence) +
               " status=" + std::to_string(order.status));
  if (order.status == 202) {
    std::thread([this, model, version = order.version] {
      SleepFor(spec_.load_s);
      const std::lock_guard<std::mutex> lock(mutex_);
      versions_[model] = version;
      is_busy_ = false;
      Register();
    }).detach();
  }
  return connection.SendResponse(order.status, HeaderLines{}, "");
}

std::string EventData(const std::string& item, std::uint64_t event,
                      std::size_t bytes) {
  std::string data = item + "-" + std::to_string(event);
  if (data.size() < bytes) data.append(bytes - data.size(), 'x');
  return data;
}

std::string WholeText(const std::string& item, std::uint64_t events,
                      std::size_t bytes) {
  std::string text;
  for (std::uint64_t event = 1; event <= events; ++event) {
    if (event > 1) text += "\n";
    text += EventData(item, event, bytes);
  }
  return text;
}

// --- Ingress

Ingress::Ingress(const std::vector<Node*>& edges) : edges_(edges) {
  for (const Node* node : edges) misses_[node] = 2;
  std::thread([this] {
    while (true) {
      Check();
      SleepFor(1);
    }
  }).detach();
}

void Ingress::Check() {
  for (const Node* node : edges_) {
    const auto answer = Call(node->ready(), "GET", "/briarspread/readyz",
                             HeaderLines{}, "", Now() + 0.5);
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool is_ready = answer.has_value() && answer->status == 200;
    misses_[node] = is_ready ? 0 : misses_[node] + 1;
  }
}

bool Ingress::IsReady(const Node* node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return misses_[node] < 2;
}

Node* Ingress::NodeFor(const std::string& zone, std::size_t client,
                       std::size_t retry) {
  std::vector<Node*> all;
  std::vector<Node*> ready;
  for (Node* node : edges_) {
    if (node->spec().zone != zone) continue;
    all.push_back(node);
    if (IsReady(node)) ready.push_back(node);
  }
  if (ready.empty()) {
    for (Node* node : edges_) {
      if (IsReady(node)) ready.push_back(node);
    }
  } else if (ready.size() * 2 < all.size()) {
    ready = all;
  }
  if (ready.empty()) ready = edges_;
  return ready[(client + retry) % ready.size()];
}

bool Ingress::AwaitAll(double deadline) {
  while (true) {
    const bool is_all =
        std::all_of(edges_.begin(), edges_.end(),
                    [this](const Node* node) { return IsReady(node); });
    if (is_all) return true;
    if (Now() >= deadline) return false;
    SleepFor(0.1);
  }
}

// --- Deployment

Deployment::Deployment(int argc, char** argv)
    : folder_(argc > 1 ? argv[1] : "."), record_(folder_ + "/record.txt") {
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  has_trouble_ = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  for (const char* role : {"edge", "storage"}) {
    const auto command = CommandOf(role);
    if (command.empty() || access(command[0].c_str(), X_OK) != 0) {
      CannotRun(std::string("no program of the role ") + role);
    }
  }
}

Deployment::~Deployment() { EndAll(); }

std::vector<Node*> Deployment::edges() {
  std::vector<Node*> edges;
  for (const auto& node : nodes_) {
    if (node->spec().role == "edge") edges.push_back(node.get());
  }
  return edges;
}

Node* Deployment::FindEdge(const std::string& name) {
  for (Node* node : edges()) {
    if (node->name() == name) return node;
  }
  return nullptr;
}

Replica& Deployment::AddReplica(ReplicaSpec spec) {
  replicas_.push_back(std::make_unique<Replica>(
      std::move(spec), addresses_.Next(), *store_, record_));
  return *replicas_.back();
}

void Deployment::MakeStore(const Json& configuration, std::size_t value_bytes) {
  store_ = std::make_unique<Store>(value_bytes);
  store_->Put("op/config", configuration.dump());
}

void Deployment::StartNodes(const std::vector<NodeSpec>& specs) {
  std::map<std::string, std::string> zones;
  std::vector<std::string> seeds;
  const std::string store_ip = addresses_.Next();
  for (const NodeSpec& spec : specs) {
    zones[spec.zone] = spec.region;
    nodes_.push_back(std::make_unique<Node>(spec, addresses_.Next()));
    if (spec.role == "edge" && seeds.size() < 3) {
      seeds.push_back(nodes_.back()->control());
    }
  }
  for (const auto& node : nodes_) {
    node->WriteSettings(
        TemporaryFolder().string(),
        store_->AddressFor(node->name(), store_ip, node->spec().store_delay),
        zones, seeds);
    node->Start();
  }
  ingress_ = std::make_unique<Ingress>(edges());
  if (!ingress_->AwaitAll(Now() + kReadySeconds)) {
    CannotRun("the edges are not ready");
  }
  record_.Line("all edges are ready");
}

void Deployment::EndAll() {
  for (const auto& node : nodes_) node->Signal(SIGCONT);
  for (const auto& node : nodes_) node->Signal(SIGKILL);
  for (const auto& node : nodes_) node->AwaitEnd(Now() + 5);
  std::error_code ec;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(TemporaryFolder(), ec);
  } else {
    std::cerr << "logs: " << TemporaryFolder().string() << "\n";
  }
}

void Deployment::Finish(int code, const std::string& verdict) {
  record_.Line("verdict: " + verdict);
  std::cout << verdict << std::endl;
  EndAll();
  std::_Exit(code);
}

void Deployment::CannotRun(const std::string& why) {
  Finish(2, "the case could not run: " + why);
}

// --- Configuration, jobs and clients

Json MakeConfiguration(std::uint64_t version,
                       const std::vector<std::string>& models) {
  Json names = Json::array();
  for (const auto& model : models) names.push_back({{"Name", model}});
  return {{"Version", version},
          {"Routes",
           {{{"Name", "r-plain"},
             {"Host", kHost},
             {"Prefix", kPlainPrefix},
             {"Type", "safe"},
             {"TimeoutMs", 4000},
             {"LatencyGoalMs", 400},
             {"Priority", 2},
             {"Service", kPlainService},
             {"MaxAttempts", 4}},
            {{"Name", "r-rollout"},
             {"Host", kHost},
             {"Prefix", kRolloutPrefix},
             {"Type", "rollout"},
             {"TimeoutMs", 10000},
             {"LatencyGoalMs", 400},
             {"Priority", 1},
             {"Service", kEngineService},
             {"MaxAttempts", 3},
             {"DueMs", 20000},
             {"ItemTtlS", 100}}}},
          {"Services",
           {{{"Name", kEngineService},
             {"HealthPath", "/healthz"},
             {"MaxConns", 150},
             {"Protocol", "h1"},
             {"Tls", false},
             {"Engine",
              {{"Slots", 12},
               {"KvCapacity", 90000},
               {"KvTokenBytes", 18432},
               {"LinkMbps", 2200000.0},
               {"Models", std::move(names)}}}},
            {{"Name", kPlainService},
             {"HealthPath", "/healthz"},
             {"MaxConns", 96},
             {"Protocol", "h1"},
             {"Tls", false}}}},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 33554432},
            {"HeaderTimeoutMs", 10000},
            {"IdleTimeoutMs", 15000}}}};
}

std::string ItemId(const JobSpec& job, std::size_t item) {
  std::array<char, 16> number{};
  std::snprintf(number.data(), number.size(), "%04zx", item);
  return job.id + number.data();
}

Json MakeJob(const JobSpec& job) {
  Json items = Json::array();
  for (std::size_t i = 0; i < job.groups * job.items_per_group; ++i) {
    const std::string id = ItemId(job, i);
    const std::string group =
        "g" + job.id + std::to_string(i / job.items_per_group);
    Json item = {
        {"Id", id},
        {"Path", std::string(kRolloutPrefix) + "3/" + id},
        {"Headers",
         {{"X-Model", job.model},
          {"X-Token-Count", "16," + std::to_string(job.events_per_item)},
          {"X-Prompt-Prefix", group.substr(1) + ":255," + id + ":16"}}},
        {"Body", EncodeBase64("prompt of " + id)},
        {"Tokens", 16 + job.events_per_item},
        {"Group", group}};
    if (job.has_scorers) {
      item["Scorer"] = {{"Id", "5c" + id},
                        {"Host", kHost},
                        {"Path", std::string(kPlainPrefix) + "score/" + id},
                        {"Body", EncodeBase64("score of " + id)}};
    }
    items.push_back(std::move(item));
  }
  return {{"Step", job.step},
          {"Model", job.model},
          {"MinVersion", job.min_version},
          {"TargetGroups", job.groups},
          {"Items", std::move(items)}};
}

HeaderLines ClientHeaders(const std::string& attempt) {
  HeaderLines headers;
  headers.Add("Host", kHost);
  if (!attempt.empty()) headers.Add("X-Attempt-Id", attempt);
  return headers;
}

std::vector<int> SubmitJob(Deployment& deployment, const std::string& zone,
                           const std::string& id, const std::string& body,
                           std::size_t client, std::size_t attempts,
                           double deadline) {
  std::vector<int> statuses;
  for (std::size_t retry = 0; retry < attempts && Now() < deadline; ++retry) {
    Node* node = deployment.ingress().NodeFor(zone, client, retry);
    HeaderLines headers = ClientHeaders(id);
    headers.Add("Content-Type", "application/json");
    deployment.record().Line("submit job " + id + " to " + node->name());
    const auto answer =
        Call(node->frontend(), "POST", std::string(kRolloutPrefix) + id,
             headers, body, std::min(deadline, Now() + 6));
    statuses.push_back(answer.has_value() ? answer->status : 0);
    deployment.record().Line("answer to job " + id + ": " +
                             std::to_string(statuses.back()) + " " +
                             (answer.has_value() ? answer->body : "none"));
    if (statuses.back() == 202) break;
    const double wait =
        answer.has_value()
            ? std::strtod(answer->headers.Get("Retry-After").c_str(), nullptr)
            : 0;
    SleepFor(std::max(0.05, wait));
  }
  return statuses;
}

}  // namespace review
