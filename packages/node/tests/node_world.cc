#include "node_world.h"

#include <algorithm>

namespace sycamorehinge {

namespace {

constexpr duration kLinkDelay = std::chrono::microseconds(500);
constexpr duration kHostTimeout = std::chrono::seconds(1);
constexpr std::string_view kEnvironment = "sutepuu";
constexpr std::string_view kService = "orders";
constexpr std::size_t kMostEvents = 5'000'000;

// The document of all tests; its text is not parsed.
environment_document Document() {
  environment_document document;
  document.name.value = kEnvironment;
  document.services.push_back({{std::string(kService)}, std::chrono::seconds(5), 1});
  document.classes.push_back({{"confirmation"}, 0.4, 1, 10, std::chrono::seconds(5)});
  document.classes.push_back({{"payout"}, 0.5, 1, 5, std::chrono::minutes(5)});
  document.tenants.push_back({{"shop"}, {"harju"}, 1, {}, 0});
  return document;
}

host_task TaskOf(const testing::reported_task& task) {
  host_task out;
  out.work = {task.id, task.tenant, task.work_class, task.size, task.preemptible};
  out.state = static_cast<host_task_state>(task.state);
  out.used = task.used;
  return out;
}

attempt_fact FactOf(std::string_view state) {
  if (state == "never") return attempt_fact::kNever;
  if (state == "running") return attempt_fact::kRunning;
  return state == "succeeded" ? attempt_fact::kSucceeded : attempt_fact::kFailed;
}

result<host_answer> Done(errc code) {
  if (code == errc::kOk) return host_answer(host_done{});
  return {code, ""};
}

result<host_answer> ClaimAnswer(const testing::claim_reply& reply) {
  if (const auto* refused = std::get_if<testing::claim_refusal>(&reply)) {
    return host_answer(claim_denied{refused->holder, refused->term, refused->remaining});
  }
  const auto& grant = std::get<testing::claim_grant>(reply);
  claim_granted granted{grant.term, grant.capacity, grant.leaving, {}};
  for (const testing::reported_task& task : grant.tasks) granted.tasks.push_back(TaskOf(task));
  return host_answer(std::move(granted));
}

result<host_answer> Perform(testing::host_model& model, const host_call& call, time_point now) {
  return std::visit(
      overloaded{[&](const claim_call& c) {
                   return ClaimAnswer(model.Claim({c.holder, c.term, c.ttl, c.keep, c.ack}, now));
                 },
                 [&](const start_call& c) {
                   return Done(model.Start({c.holder, c.term, c.id, c.tenant, c.work_class,
                                            c.preemptible, c.size, c.lease, c.run_time, c.payload},
                                           now));
                 },
                 [&](const execute_call&) { return Done(errc::kInternal); },
                 [&](const void_call& c) -> result<host_answer> {
                   result<testing::void_reply> reply = model.Void(c.term, c.id, now);
                   if (!reply) return {reply.code(), ""};
                   return host_answer(void_answer{FactOf(reply->state), reply->answer});
                 },
                 [&](const stop_call& c) { return Done(model.Stop(c.term, c.id, now)); },
                 [&](const throttle_call& c) {
                   return Done(model.Throttle(c.term, c.id, c.percent, now));
                 },
                 [&](const release_call& c) { return Done(model.Release(c.holder, c.term, now)); }},
      call);
}

}  // namespace

node_world::node_world(world_options options) : options_(options), log_(options.seed) {
  for (std::size_t i = 0; i < options.workers; ++i) AddHost(host_kind::kWorker, i);
  for (std::size_t i = 0; i < options.targets; ++i) AddHost(host_kind::kTarget, i);
  for (std::size_t i = 0; i < options.nodes; ++i) {
    nodes_.push_back(std::make_unique<running_node>());
    nodes_.back()->node = std::make_unique<entry_node>(OptionsOf(i), PortsOf(i), node_observer{});
  }
}

node_world::~node_world() {
  for (const auto& each : nodes_) each->node->Stop();
}

void node_world::AddHost(host_kind kind, std::size_t index) {
  const bool worker = kind == host_kind::kWorker;
  listed_host row;
  row.host.value = (worker ? "w" : "t") + std::to_string(index);
  row.kind = kind;
  row.environment.value = kEnvironment;
  if (!worker) row.service.value = kService;
  row.where = {{"harju"}, {"harju-1"}, {"r" + std::to_string(index / 8)}};
  testing::host_settings settings;
  settings.host = row.host;
  settings.capacity = worker ? resources{4000, 8000, 0, 0} : resources{0, 0, 0, 4};
  settings.service_time = options_.service_time;
  const std::string name = row.host.value;
  hosts_[name] = {row, std::make_unique<testing::host_model>(settings, now_), false};
}

node_options node_world::OptionsOf(std::size_t index) const {
  node_options options;
  options.self.value = "n" + std::to_string(index);
  options.incarnation = 100 + index;
  options.where = {{"harju"}, {"harju-1"}, {}};
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    if (i != index) options.peers.push_back({{"n" + std::to_string(i)}, {"harju"}});
  }
  options.regions = {{"harju"}};
  options.partitions = 4;
  options.partition = options_.partition;
  options.parse_document = [](std::string_view) { return result(Document()); };
  return options;
}

std::size_t node_world::IndexOf(const process_id& process) const {
  return static_cast<std::size_t>(std::stoul(process.value.substr(1)));
}

void node_world::At(time_point when, work event) { events_.emplace(when, std::move(event)); }

void node_world::For(std::size_t node, duration delay, work event) {
  At(now_ + delay, [this, node, event = std::move(event)] {
    running_node& target = *nodes_[node];
    if (target.dead) return;
    if (target.paused) {
      target.missed.push_back(event);
    } else {
      event();
    }
  });
}

void node_world::Resume(std::size_t index) {
  running_node& node = *nodes_[index];
  node.paused = false;
  for (const work& event : std::exchange(node.missed, {})) event();
}

void node_world::Kill(std::size_t index) {
  nodes_[index]->dead = true;
  nodes_[index]->node->Stop();
}

void node_world::Cut(std::size_t a, std::size_t b, bool cut) {
  cut_[{a, b}] = cut;
  cut_[{b, a}] = cut;
}

void node_world::KillHost(const std::string& name) {
  hosts_.at(name).dead = true;
  hosts_.at(name).model->Restart(now_);
}

void node_world::Run(duration step) {
  const time_point end = now_ + step;
  std::size_t count = 0;
  while (!events_.empty() && events_.begin()->first <= end && ++count < kMostEvents) {
    const auto next = events_.begin();
    now_ = std::max(now_, next->first);
    const work event = std::move(next->second);
    events_.erase(next);
    event();
  }
  now_ = end;
}

bool node_world::RunUntil(const std::function<bool()>& done, duration limit) {
  const time_point end = now_ + limit;
  while (!done()) {
    if (now_ >= end) return false;
    Run(std::chrono::milliseconds(10));
  }
  return true;
}

void node_world::Boot() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    For(i, duration(0), [this, i] { Node(i).Start(); });
  }
  Run(std::chrono::seconds(1));
  bool accepted = false;
  Node(0).Propose({{std::string(kEnvironment)}, stage_name::kProduction, 0, 0, "ann", "text", 0},
                  [&](const proposal_answer& answer) { accepted = answer.code == errc::kOk; });
  RunUntil([&] { return accepted; }, std::chrono::seconds(5));
  // Ownership and claims settle after the first suspicion time.
  Run(std::chrono::seconds(15));
}

void node_world::Deliver(std::size_t from, const process_id& to, work event) {
  const std::size_t target = IndexOf(to);
  if (cut_[{from, target}]) return;
  For(target, kLinkDelay, std::move(event));
}

ports node_world::PortsOf(std::size_t index) {
  ports out;
  const process_id self{"n" + std::to_string(index)};
  out.now = [this] { return now_; };
  out.wall_ms = [this] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
  };
  out.at = [this, index](time_point when, work event) {
    For(index, std::max(when - now_, duration(0)), std::move(event));
  };
  out.call_host = [this, index](const listed_host& row, const host_call& call, auto done) {
    For(index, kLinkDelay, [this, index, row, call, done] { CallHost(index, row, call, done); });
  };
  out.append = [this, index](std::string_view stream, const std::string& bytes, auto done) {
    For(index, kLinkDelay, [this, index, name = std::string(stream), bytes, done] {
      const auto answer = log_.Append(name, bytes, now_);
      For(index, kLinkDelay, [done, answer] { done(answer); });
    });
  };
  out.read = [this, index](std::string_view stream, std::uint64_t from, std::uint32_t max,
                           auto done) {
    const auto page = log_.Read(stream, from, max, now_);
    For(index, kLinkDelay, [done, page] {
      if (!page) return done({page.code(), std::string(page.detail())});
      log_page out_page{{}, page->oldest, page->next};
      for (const auto& entry : page->entries)
        out_page.entries.push_back({entry.offset, entry.bytes});
      done(std::move(out_page));
    });
  };
  out.list_hosts = [this, index](auto done) {
    std::vector<listed_host> rows;
    for (const auto& [name, host] : hosts_) rows.push_back(host.row);
    For(index, kLinkDelay, [done, rows] { done(rows); });
  };
  out.send_peer = [this, index, self](const process_id& to, const peer_message& message) {
    const std::size_t target = IndexOf(to);
    if (nodes_[target]->dead || cut_[{index, target}]) return false;
    Deliver(index, to,
            [this, target, self, message] { Node(target).OnPeerMessage(self, message); });
    return true;
  };
  out.send_heartbeat = [this, index](const process_id& to, const process_status& status) {
    const std::size_t target = IndexOf(to);
    Deliver(index, to, [this, target, status] { Node(target).OnHeartbeat(status); });
  };
  return out;
}

void node_world::Answer(std::size_t node, const completion<host_answer>& done,
                        const result<host_answer>& answer, bool may_lose) {
  if (may_lose && lose_answers_ > 0) {
    --lose_answers_;
    For(node, kHostTimeout, [done] { done({errc::kTimeout, ""}); });
    return;
  }
  For(node, kLinkDelay, [done, answer] { done(answer); });
}

void node_world::CallHost(std::size_t node, const listed_host& row, const host_call& call,
                          completion<host_answer> done) {
  hosted& host = hosts_.at(row.host.value);
  if (host.dead) {
    For(node, kHostTimeout, [done] { done({errc::kTimeout, ""}); });
    return;
  }
  if (const auto* execute = std::get_if<execute_call>(&call)) {
    Execute(node, host, *execute, std::move(done));
    return;
  }
  const bool start = std::holds_alternative<start_call>(call);
  Answer(node, done, Perform(*host.model, call, now_), start);
}

void node_world::Execute(std::size_t node, hosted& host, const execute_call& call,
                         completion<host_answer> done) {
  const auto reply = host.model->Execute({call.term, call.id, call.key, call.body}, now_);
  if (const auto* code = std::get_if<errc>(&reply)) {
    Answer(node, done, Done(*code), false);
    return;
  }
  const auto* pending = std::get_if<testing::execute_pending>(&reply);
  const time_point until = pending == nullptr ? now_ : pending->until;
  At(until, [this, node, &host, id = call.id, done = std::move(done)] {
    const auto ended = host.model->ExecuteResult(id, now_);
    const auto* body = std::get_if<testing::execute_done>(&ended);
    if (body == nullptr) {
      Answer(node, done, Done(errc::kFailed), false);
    } else {
      Answer(node, done, host_answer(execute_answer{body->body}), true);
    }
  });
}

std::shared_ptr<request_answer> node_world::Send(std::size_t node, const std::string& key,
                                                 const std::string& body) {
  auto answer = std::make_shared<request_answer>();
  caller_request request;
  request.environment.value = kEnvironment;
  request.tenant.value = "shop";
  request.work_class.value = "confirmation";
  request.service.value = kService;
  request.key = key;
  request.idempotent = key.empty();
  request.time_left = std::chrono::seconds(5);
  request.body = body;
  Node(node).Request(std::move(request), [answer](const request_answer& got) {
    *answer = got;
    answer->call = 1;
  });
  return answer;
}

job_spec node_world::Job(const std::string& key, std::uint32_t tasks, duration run_time) {
  job_spec spec;
  spec.environment.value = kEnvironment;
  spec.tenant.value = "shop";
  spec.work_class.value = "payout";
  spec.key = key;
  spec.tasks = tasks;
  spec.size = {1000, 1000, 0, 0};
  spec.run_time = run_time;
  return spec;
}

std::shared_ptr<job_answer> node_world::Submit(std::size_t node, job_spec spec) {
  auto answer = std::make_shared<job_answer>();
  Node(node).Submit(std::move(spec), [answer](const job_answer& got) {
    *answer = got;
    answer->call = 1;
  });
  return answer;
}

job_state node_world::StateOf(const job_id& job) {
  auto state = std::make_shared<job_state>(job_state::kQueued);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->dead || nodes_[i]->paused) continue;
    Node(i).Status(job, duration(0), [state](const job_answer& answer) {
      if (answer.code == errc::kOk) *state = answer.status.state;
    });
    Run(std::chrono::milliseconds(5));
    break;
  }
  return *state;
}

testing::check_report node_world::Check() {
  for (auto& [name, host] : hosts_) {
    host.model->Advance(now_);
    for (testing::history_event& event : host.model->TakeEvents()) {
      history_.push_back(std::move(event));
    }
  }
  return testing::Check(history_, {});
}

std::size_t node_world::StartsOn(const std::string& host, time_point when) {
  Check();
  return static_cast<std::size_t>(
      std::count_if(history_.begin(), history_.end(), [&](const testing::history_event& event) {
        const auto* started = std::get_if<testing::attempt_started>(&event.body);
        return started != nullptr && started->host == host && event.at >= when;
      }));
}

std::size_t node_world::Starts(const std::string& key) {
  Check();
  return static_cast<std::size_t>(
      std::count_if(history_.begin(), history_.end(), [&](const testing::history_event& event) {
        const auto* started = std::get_if<testing::attempt_started>(&event.body);
        return started != nullptr && started->key == key;
      }));
}

}  // namespace sycamorehinge
