#include "cell_owner.h"

#include <algorithm>
#include <utility>

#include "sycamorehinge/control/journal_codec.h"

namespace sycamorehinge::control {

namespace {

constexpr duration kLoadRetryDelay = std::chrono::milliseconds(100);
constexpr duration kStatusInterval = std::chrono::seconds(2);
// Longer than the answer time of a slow store, 300 ms.
constexpr duration kClaimRetryInterval = std::chrono::milliseconds(350);
constexpr std::string_view kJournalProducer = "cell";
// An append takes 4 ms; one that stalls for this long suggests that the store is unreachable.
constexpr duration kStalledAppendLimit = std::chrono::milliseconds(300);
constexpr duration kOfferInterval = std::chrono::milliseconds(500);
// A live process that claims the cell has fenced the previous owner within this time.
constexpr duration kClaimGracePeriod = std::chrono::milliseconds(1500);
// A process that has not announced itself for this many intervals is gone.
constexpr int kMissedAnnouncements = 3;

std::int64_t Milliseconds(duration time) { return time.count() / 1000; }

}  // namespace

cell_owner::cell_owner(const ports& port, const control_options& options, decision_log& log,
                       hooks given)
    : port_(port),
      options_(options),
      log_(log),
      hooks_(std::move(given)),
      started_ms_(port.wall_ms()),
      state_(options.self) {}

void cell_owner::Update(const std::function<void(state&, effects&)>& change) {
  state_.Apply(
      [&](state& s, effects& out) {
        const time_point began = port_.now();
        CheckTickDelay(s);
        change(s, out);
        CollectActions(s, out);
        s.busy += port_.now() - began;
      },
      [this](const effect& item) { Execute(item); });
}

void cell_owner::UpdateScheduler(std::uint64_t epoch,
                                 const std::function<void(cell::scheduler&)>& change) {
  Update([&](state& s, effects&) {
    if (s.HasBegun() && s.epoch == epoch) change(*s.scheduler);
  });
}

// A process that was paused may have been replaced as the owner, so it starts no task until the
// group confirms it.
void cell_owner::CheckTickDelay(state& s) {
  if (!s.HasBegun()) return;
  const time_point now = port_.now();
  const duration pause = now - s.last_tick;
  if (pause <= options_.max_tick_delay) return;
  log_.Write(event_number::kProcessWasPaused, {{"milliseconds", Milliseconds(pause)}});
  s.scheduler->SetStartsAllowed(false);
  s.resumed_at = now;
  s.last_tick = now;
}

void cell_owner::CountAction(const cell::action& action, call_counts& sent) {
  std::visit(overloaded{[&](const cell::poll_host&) { ++sent.polls; },
                        [&](const cell::start_task&) { ++sent.starts; },
                        [&](const cell::stop_task&) { ++sent.stops; },
                        [&](const cell::request_advice&) { ++sent.policy_requests; },
                        [&](const cell::write_record&) { ++sent.records; },
                        [&](const cell::answer_call&) { ++sent.answers; }, [](const auto&) {}},
             action);
}

// Converts the scheduler's actions to effects, in order.
void cell_owner::CollectActions(state& s, effects& out) {
  if (!s.scheduler) return;
  s.scheduler->TakeActions(s.actions);
  for (cell::action& action : s.actions) {
    CountAction(action, s.sent);
    const auto* answer = std::get_if<cell::answer_call>(&action);
    if (!answer) {
      out.push_back({s.epoch, std::move(action), {}});
      continue;
    }
    SendAnswer(s, *answer, out);
  }
  s.actions.clear();
}

void cell_owner::OnMembers(owner_candidacy candidacy, time_point requested_at) {
  Update([&](state& s, effects& out) {
    if (s.retired) return;
    if (candidacy == owner_candidacy::kUnlisted) return;
    if (candidacy == owner_candidacy::kOther) {
      if (s.current_phase != phase::kIdle) {
        StepDown(s, s.epoch, "another process is preferred", out);
      }
      return;
    }
    if (s.HasBegun() && requested_at >= s.resumed_at) s.scheduler->SetStartsAllowed(true);
    if (s.current_phase == phase::kIdle && requested_at > s.stepped_down_at) Claim(s, out);
  });
}

void cell_owner::OnAnnounced(const member_info& member) {
  const time_point now = port_.now();
  Update([&](state& s, effects&) {
    const bool added =
        s.policy_clients.insert_or_assign(member.name, std::pair(member, now)).second;
    if (added) UpdatePolicyClients(s);
  });
}

void cell_owner::UpdatePolicyClients(state& s) {
  std::vector<member_info> members;
  for (const auto& [name, row] : s.policy_clients) members.push_back(row.first);
  s.advice.SetMembers(members);
  // This process can ask too.
  if (s.scheduler) s.scheduler->SetPolicyClientCount(members.size() + 1);
}

// The epoch is the offset of the claim in the directory plus one, so it is unique and increases
// with each claim.
void cell_owner::Claim(state& s, effects& out) {
  s.current_phase = phase::kClaiming;
  s.claim_started = port_.now();
  const std::uint64_t claim = ++s.claim_number;
  out.push_back({s.epoch, std::nullopt, [this, claim] { SendClaim(claim); }});
}

// A claim without an answer is repeated. The store stores it once, since the claim number is the
// epoch of a writer of this process alone, and it stores no earlier claim of this process after it.
void cell_owner::SendClaim(std::uint64_t claim) {
  const bool open = state_.View([&](const state& s) {
    return s.current_phase == phase::kClaiming && s.claim_number == claim;
  });
  if (!open) return;
  const std::string name = hooks_.member_name();
  port_.append(stream_name::kDirectory,
               append_guard{name + "/" + std::to_string(started_ms_), claim, 1},
               {{std::string(kOwnerKey), name}},
               [this, claim](const result<std::uint64_t>& offset) { OnClaimed(claim, offset); });
  port_.run_at(port_.now() + kClaimRetryInterval, [this, claim] { SendClaim(claim); });
}

void cell_owner::OnClaimed(std::uint64_t claim, const result<std::uint64_t>& offset) {
  // An earlier process with this name and start time, after a clock was set back, claimed more
  // often.
  const bool used = offset.code() == errc::kStaleTerm || offset.code() == errc::kVersionConflict;
  if (!offset && !used) return;
  Update([&](state& s, effects& out) {
    if (s.current_phase != phase::kClaiming || s.claim_number != claim) return;
    if (used) return Claim(s, out);
    StartFencing(s, *offset + 1, out);
  });
}

void cell_owner::StartFencing(state& s, std::uint64_t epoch, effects& out) {
  s.current_phase = phase::kFencing;
  s.epoch = epoch;
  s.attempts = {};
  s.confirmed_at = {};
  out.push_back({epoch, std::nullopt, [this, epoch] { hooks_.on_claimed(epoch); }});
  LogTakeoverStage(s, event_number::kCellClaimed);
  journal_handlers handlers;
  handlers.on_durable = [this, epoch](std::uint64_t sequence) { OnDurable(epoch, sequence); };
  handlers.on_confirmed = [this, epoch](time_point at) { OnConfirmed(epoch, at); };
  handlers.on_fenced = [this, epoch] { OnFencedOut(epoch, "fenced by the journal"); };
  handlers.on_availability = [this](bool available) {
    log_.Write(available ? event_number::kStoreAvailable : event_number::kStoreUnavailable,
               {{"stream", "journal"}});
  };
  journal_options options;
  options.producer = kJournalProducer;
  s.journal = std::make_shared<journal_writer>(port_, options, epoch, std::move(handlers));
  out.push_back({epoch, std::nullopt, [this, epoch, journal = s.journal] {
                   journal->Fence([this, epoch](errc code) { OnFenced(epoch, code); });
                 }});
}

void cell_owner::OnConfirmed(std::uint64_t epoch, time_point at) {
  Update([&](state& s, effects& out) {
    if (s.epoch != epoch) return;
    s.confirmed_at = std::max(s.confirmed_at, at);
    if (s.scheduler) s.scheduler->OnOwnershipConfirmed(s.confirmed_at);
    for (const cell::answer_call& answer : std::exchange(s.unconfirmed_answers, {})) {
      SendAnswer(s, answer, out);
    }
  });
}

void cell_owner::OnFenced(std::uint64_t epoch, errc code) {
  Update([&](state& s, effects& out) {
    if (s.current_phase != phase::kFencing || s.epoch != epoch) return;
    if (code != errc::kOk) {
      StepDown(s, epoch, "a newer owner writes", out);
      out.push_back({epoch, std::nullopt, [this, epoch] { hooks_.on_fenced(epoch); }});
      return;
    }
    s.current_phase = phase::kLoading;
    LogTakeoverStage(s, event_number::kCellFenced);
    s.scheduler = std::make_unique<cell::scheduler>(options_.scheduler);
    s.journal_read = false;
    s.hosts_read = false;
    out.push_back({epoch, std::nullopt, [this, epoch] {
                     LoadJournal(epoch, {});
                     LoadHosts(epoch);
                   }});
  });
}

void cell_owner::LoadJournal(std::uint64_t epoch, const std::string& after) {
  port_.read(
      stream_name::kJournal, from_latest_values{after},
      [this, epoch, after](const result<stream_page>& page) { OnJournalPage(epoch, page, after); });
}

void cell_owner::OnJournalPage(std::uint64_t epoch, const result<stream_page>& page,
                               const std::string& after) {
  if (!page) {
    port_.run_at(port_.now() + kLoadRetryDelay, [this, epoch, after] {
      if (state_.View([&](const state& s) { return s.epoch == epoch; })) LoadJournal(epoch, after);
    });
    return;
  }
  bool still_loading = false;
  Update([&](state& s, effects&) {
    if (s.current_phase != phase::kLoading || s.epoch != epoch) return;
    still_loading = true;
    for (const stream_record& record : page->records) {
      if (!record.value) continue;
      result<cell::journal_record> decoded = DecodeJournalRecord(record.key, *record.value);
      if (decoded) {
        s.scheduler->Load(std::move(*decoded));
      } else {
        log_.Write(event_number::kJournalUnreadable,
                   {{"key", record.key}, {"error", ErrorName(decoded.code())}});
        if (const auto job = JobOfJournalKey(record.key)) s.scheduler->LoadUnreadable(*job);
      }
    }
  });
  if (!still_loading) return;
  if (page->more && !page->records.empty()) return LoadJournal(epoch, page->records.back().key);
  Update([&](state& s, effects& out) {
    if (s.current_phase != phase::kLoading || s.epoch != epoch) return;
    s.journal_read = true;
    LogTakeoverStage(s, event_number::kJournalRead, "journal");
    BeginTermIfLoaded(s, out);
  });
}

void cell_owner::LoadHosts(std::uint64_t epoch) {
  follower_options options{stream_name::kHosts, {}, options_.host_list_interval};
  follower_handlers handlers;
  handlers.on_snapshot = [this, epoch](const std::vector<stream_record>& records) {
    OnHostSnapshot(epoch, records);
  };
  handlers.on_change = [this, epoch](const stream_record& record) { OnHostChange(epoch, record); };
  handlers.on_availability = [this](bool available) {
    log_.Write(available ? event_number::kStoreAvailable : event_number::kStoreUnavailable,
               {{"stream", "hosts"}});
  };
  auto follower = std::make_shared<stream_follower>(port_, options, std::move(handlers));
  Update([&](state& s, effects& out) {
    if (s.current_phase != phase::kLoading || s.epoch != epoch) return;
    s.host_follower = follower;
    out.push_back({epoch, std::nullopt, [follower] { follower->Start(); }});
  });
}

void cell_owner::OnHostSnapshot(std::uint64_t epoch, const std::vector<stream_record>& records) {
  Update([&](state& s, effects& out) {
    if (s.epoch != epoch || !s.scheduler) return;
    ApplyHostSnapshot(s, records);
    if (!std::exchange(s.hosts_read, true)) {
      LogTakeoverStage(s, event_number::kJournalRead, "hosts");
    }
    BeginTermIfLoaded(s, out);
  });
}

// Begins the term once the journal, the hosts and the configuration are loaded. Without the
// configuration it would apply default limits and end jobs that have attempts left.
void cell_owner::BeginTermIfLoaded(state& s, effects& out) {
  if (s.current_phase != phase::kLoading || !s.journal_read || !s.hosts_read || !s.config) return;
  s.current_phase = phase::kBeginning;
  s.last_tick = port_.now();
  s.scheduler->SetConfig(s.config);
  UpdatePolicyClients(s);
  const std::uint64_t term = s.scheduler->LoadedTerm() + 1;
  s.scheduler->OnOwnershipConfirmed(s.confirmed_at);
  s.scheduler->BeginTerm(term, s.epoch, options_.self.address, s.last_tick, port_.wall_ms());
  out.push_back({s.epoch, std::nullopt, [this, epoch = s.epoch] {
                   hooks_.on_owned({epoch, options_.self.address});
                   ScheduleTick(epoch);
                 }});
  if (s.newest_claim > s.epoch) ScheduleFenceCheck(s, out);
}

// The process acts as the owner once the record of its term is durable. A newer owner that fenced
// the journal before has not read that record and begins the same term; after it, it begins a later
// one.
void cell_owner::OnDurable(std::uint64_t epoch, std::uint64_t sequence) {
  Update([&](state& s, effects&) {
    if (!s.HasBegun() || s.epoch != epoch) return;
    s.scheduler->OnDurable(sequence);
    if (s.current_phase == phase::kActive || !s.scheduler->TermRecorded()) return;
    s.current_phase = phase::kActive;
    log_.Write(event_number::kCellAcquired,
               {{"epoch", epoch}, {"term", s.scheduler->LoadedTerm() + 1}});
    log_.RecordTakeoverTime("acquired", port_.now() - s.claim_started);
  });
}

void cell_owner::ApplyHostSnapshot(state& s, const std::vector<stream_record>& records) {
  std::vector<host_id> gone = std::exchange(s.listed_hosts, {});
  for (const stream_record& record : records) {
    ApplyHostRecord(s, record);
    std::erase(gone, host_id{record.key});
  }
  for (const host_id& host : gone) s.scheduler->RemoveHost(host, port_.now());
}

void cell_owner::ApplyHostRecord(state& s, const stream_record& record) {
  const host_id id{record.key};
  std::optional<cell::host_entry> entry;
  if (record.value) entry = port_.parse_host(record.key, *record.value);
  if (entry) {
    if (std::find(s.listed_hosts.begin(), s.listed_hosts.end(), id) == s.listed_hosts.end()) {
      s.listed_hosts.push_back(id);
    }
    return s.scheduler->SetHost(*entry, port_.now());
  }
  if (record.value) log_.Write(event_number::kHostEntryUnreadable, {{"host", record.key}});
  std::erase(s.listed_hosts, id);
  s.scheduler->RemoveHost(id, port_.now());
}

void cell_owner::OnHostChange(std::uint64_t epoch, const stream_record& record) {
  Update([&](state& s, effects&) {
    if (s.epoch == epoch && s.scheduler) ApplyHostRecord(s, record);
  });
}

void cell_owner::OnFencedOut(std::uint64_t epoch, std::string_view cause) {
  Update([&](state& s, effects& out) {
    if (s.epoch != epoch || s.current_phase == phase::kIdle) return;
    StepDown(s, epoch, cause, out);
    out.push_back({epoch, std::nullopt, [this, epoch] { hooks_.on_fenced(epoch); }});
  });
}

void cell_owner::OnFenceCall(std::uint64_t epoch, peer_reply reply) {
  Update([&](state& s, effects& out) {
    // The epoch of an open claim is not known yet. The journal refuses it if it is older.
    const bool owns = s.current_phase != phase::kIdle && s.current_phase != phase::kClaiming;
    if (owns && s.epoch < epoch) {
      StepDown(s, s.epoch, "fenced by a newer owner", out);
      out.push_back({s.epoch, std::nullopt, [this, old = s.epoch] { hooks_.on_fenced(old); }});
    }
    out.push_back({s.epoch, std::nullopt, [reply = std::move(reply)] { reply({}); }});
  });
}

void cell_owner::OnClaim(const owner_info& claim) {
  Update([&](state& s, effects& out) {
    s.newest_claim = std::max(s.newest_claim, claim.epoch);
    if (s.HasBegun() && claim.epoch > s.epoch) ScheduleFenceCheck(s, out);
  });
}

void cell_owner::ScheduleFenceCheck(const state& s, effects& out) {
  out.push_back({s.epoch, std::nullopt, [this, epoch = s.epoch] {
                   port_.run_at(port_.now() + kClaimGracePeriod,
                                [this, epoch] { CheckFence(epoch); });
                 }});
}

// Runs some time after a newer claim than that of this owner was seen. If that process has fenced
// this owner, this owner steps down. If not, the claim was applied late by the store and its
// process does not own the cell, but calls are routed to it as the newest claim; this owner then
// claims the cell again.
void cell_owner::CheckFence(std::uint64_t epoch) {
  Update([&](state& s, effects& out) {
    if (!s.HasBegun() || s.epoch != epoch) return;
    out.push_back({epoch, std::nullopt, [this, epoch, journal = s.journal] {
                     journal->Fence([this, epoch](errc code) { OnFenceChecked(epoch, code); });
                   }});
  });
}

void cell_owner::OnFenceChecked(std::uint64_t epoch, errc code) {
  if (code != errc::kOk) return OnFencedOut(epoch, "fenced by the journal");
  Update([&](state& s, effects& out) {
    if (!s.HasBegun() || s.epoch != epoch) return;
    StepDown(s, epoch, "the directory has a newer claim", out);
    Claim(s, out);
  });
}

void cell_owner::StepDown(state& s, std::uint64_t epoch, std::string_view cause, effects& out) {
  if (s.epoch != epoch || s.current_phase == phase::kIdle) return;
  log_.Write(event_number::kCellLost, {{"epoch", epoch}, {"cause", cause}});
  if (s.HasBegun()) ReleaseUnsentSubmissions(s, out);
  s.current_phase = phase::kIdle;
  s.stepped_down_at = port_.now();
  if (s.journal) s.journal->Stop();
  if (s.host_follower) s.host_follower->Stop();
  s.journal.reset();
  s.host_follower.reset();
  s.scheduler.reset();
  s.listed_hosts.clear();
  // The effects of these calls may already be in the journal.
  s.unconfirmed_answers.clear();
  for (auto& [number, call] : std::exchange(s.open_calls, {})) {
    out.push_back({epoch, std::nullopt,
                   [reply = std::move(call.reply)] { reply(ErrorAnswer(errc::kOutcomeUnknown)); }});
  }
}

void cell_owner::Retire() {
  Update([&](state& s, effects& out) {
    s.retired = true;
    StepDown(s, s.epoch, "the process is leaving", out);
  });
}

void cell_owner::SetConfig(std::shared_ptr<const cell::fleet_config> config) {
  Update([&](state& s, effects& out) {
    s.config = config;
    if (s.scheduler) s.scheduler->SetConfig(config);
    BeginTermIfLoaded(s, out);
  });
}

bool cell_owner::Owns() const {
  return state_.View([](const state& s) { return s.current_phase == phase::kActive; });
}

cell::scheduler_summary cell_owner::Summary() const {
  return state_.View([](const state& s) {
    return s.scheduler ? s.scheduler->Summary() : cell::scheduler_summary{};
  });
}

std::vector<cell::tenant_usage> cell_owner::TenantUsage(std::size_t most) const {
  return state_.View([&](const state& s) {
    return s.scheduler ? s.scheduler->TenantUsage(most) : std::vector<cell::tenant_usage>();
  });
}

void cell_owner::ScheduleTick(std::uint64_t epoch) {
  const auto next = state_.View([&](const state& s) -> std::optional<time_point> {
    if (!s.HasBegun() || s.epoch != epoch) return std::nullopt;
    return s.scheduler->NextTick();
  });
  if (next) port_.run_at(*next, [this, epoch, due = *next] { Tick(epoch, due); });
}

void cell_owner::Tick(std::uint64_t epoch, time_point due) {
  const time_point now = port_.now();
  Update([&](state& s, effects& out) {
    if (!s.HasBegun() || s.epoch != epoch) return;
    s.last_tick = now;
    EndUnconfirmedReads(s, out);
    RefuseInOutage(s, now);
    s.longest_tick_delay = std::max(s.longest_tick_delay, now - due);
    s.scheduler->Tick(now, port_.wall_ms());
    if (s.journal->OldestAppendAge(now) >= kStalledAppendLimit &&
        now - s.last_offer >= kOfferInterval) {
      s.last_offer = now;
      out.push_back({epoch, std::nullopt, hooks_.on_journal_stalled});
    }
    if (now - s.last_status_log >= kStatusInterval) LogStatus(s);
  });
  ScheduleTick(epoch);
}

void cell_owner::LogTakeoverStage(const state& s, event_number number,
                                  std::string_view stream) const {
  log_.Write(number, {{"stream", stream},
                      {"epoch", s.epoch},
                      {"after_ms", Milliseconds(port_.now() - s.claim_started)}});
}

void cell_owner::LogStatus(state& s) {
  const time_point time = port_.now();
  const auto silent = [&](const auto& row) {
    return time - row.second.second > options_.announce_interval * kMissedAnnouncements;
  };
  if (std::erase_if(s.policy_clients, silent) > 0) UpdatePolicyClients(s);
  const duration interval = time - std::exchange(s.last_status_log, time);
  const std::int64_t busy_permille = s.busy * 1000 / std::max(interval, duration(1));
  s.busy = {};
  const call_counts sent = std::exchange(s.sent, {});
  const cell::scheduler_summary now = s.scheduler->Summary();
  log_.Write(event_number::kCellStatus,
             {{"epoch", s.epoch},
              {"open_jobs", std::uint64_t{now.open_jobs}},
              {"waiting_steps", std::uint64_t{now.waiting_steps}},
              {"questions", std::uint64_t{now.advice_requests}},
              {"runs", std::uint64_t{now.runs}},
              {"hosts", std::uint64_t{now.hosts}},
              {"unreachable", std::uint64_t{now.unreachable_hosts}},
              {"kept", std::uint64_t{now.reserved_hosts}},
              {"cores_milli", now.capacity.cores_milli},
              {"taken_milli", now.allocated.cores_milli},
              {"open_calls", std::uint64_t{s.open_calls.size()}},
              {"append_age_ms", Milliseconds(s.journal->OldestAppendAge(time))},
              {"busy_permille", busy_permille},
              {"polls", sent.polls},
              {"starts", sent.starts},
              {"stops", sent.stops},
              {"policy_requests", sent.policy_requests},
              {"records", sent.records},
              {"answers", sent.answers},
              {"tick_delay_ms", Milliseconds(std::exchange(s.longest_tick_delay, {}))}});
}

}  // namespace sycamorehinge::control
