#include "cell_owner.h"

#include <algorithm>
#include <utility>

#include "sycamorehinge/control/journal_codec.h"

namespace sycamorehinge::control {

namespace {

constexpr duration kLoadRetry = std::chrono::milliseconds(100);
constexpr duration kStatusInterval = std::chrono::seconds(2);
// Longer than an answer of a slow store, 0.3 s.
constexpr duration kClaimRepeat = std::chrono::milliseconds(350);
constexpr std::string_view kProducer = "cell";
// An append takes 4 ms; without success for so long, the store may not be within reach.
constexpr duration kStalled = std::chrono::milliseconds(300);
constexpr duration kOfferInterval = std::chrono::milliseconds(500);
// A claimant has fenced the owner before it by then, or will not.
constexpr duration kClaimTime = std::chrono::milliseconds(1500);

std::int64_t Milliseconds(duration time) { return time.count() / 1000; }

}  // namespace

cell_owner::cell_owner(const ports& port, const control_options& options, decision_log& log,
                       hooks given)
    : port_(port), options_(options), log_(log), hooks_(std::move(given)), state_(options.self) {}

void cell_owner::Change(const std::function<void(state&, effects&)>& change) {
  state_.Apply(
      [&](state& s, effects& out) {
        CheckPause(s);
        change(s, out);
        Collect(s, out);
      },
      [this](const effect& item) { Carry(item); });
}

void cell_owner::Schedule(std::uint64_t epoch,
                          const std::function<void(cell::scheduler&)>& change) {
  Change([&](state& s, effects&) {
    if (s.now == phase::kActive && s.epoch == epoch) change(*s.scheduler);
  });
}

// A process that stood still may have been replaced meanwhile.
void cell_owner::CheckPause(state& s) {
  if (s.now != phase::kActive) return;
  const time_point now = port_.now();
  const duration pause = now - s.last_tick;
  if (pause <= options_.pause_limit) return;
  log_.Write(event_number::kProcessWasPaused, {{"milliseconds", Milliseconds(pause)}});
  s.scheduler->SetMayStart(false);
  s.resumed = now;
  s.last_tick = now;
}

// Turns the scheduler's actions into effects, in order.
void cell_owner::Collect(state& s, effects& out) {
  if (!s.scheduler) return;
  s.scheduler->TakeActions(s.actions);
  for (cell::action& action : s.actions) {
    const auto* answer = std::get_if<cell::answer_call>(&action);
    if (!answer) {
      out.push_back({s.epoch, std::move(action), {}});
      continue;
    }
    const auto found = s.calls.find(answer->call);
    if (found == s.calls.end()) continue;
    peer_answer reply;
    reply.code = answer->code;
    reply.phase = answer->phase;
    reply.pending = answer->pending;
    reply.retry_after = answer->retry_after;
    out.push_back(
        {s.epoch, std::nullopt, [reply, call = std::move(found->second)] { call(reply); }});
    s.calls.erase(found);
  }
  s.actions.clear();
}

void cell_owner::OnMembers(const std::vector<member_info>& members, standing own,
                           time_point asked) {
  Change([&](state& s, effects& out) {
    if (s.retired) return;
    s.advice.SetMembers(members);
    s.members = members.size();
    if (s.scheduler) s.scheduler->SetAdviceMachines(s.members);
    if (own == standing::kUnlisted) return;
    if (own == standing::kOther) {
      if (s.now != phase::kIdle) StepDown(s, s.epoch, "another process is preferred", out);
      return;
    }
    if (s.now == phase::kActive && asked >= s.resumed) s.scheduler->SetMayStart(true);
    if (s.now == phase::kIdle && asked > s.stepped_down) Claim(s, out);
  });
}

// The offset of the claim in the directory is the epoch: no two claims share it, and later ones
// are higher.
void cell_owner::Claim(state& s, effects& out) {
  s.now = phase::kClaiming;
  s.claim_began = port_.now();
  const std::uint64_t claim = ++s.claim;
  out.push_back({s.epoch, std::nullopt, [this, claim] { SendClaim(claim); }});
}

// Repeats of a claim without an answer do no harm: each is a claim of the same process.
void cell_owner::SendClaim(std::uint64_t claim) {
  const bool open =
      state_.View([&](const state& s) { return s.now == phase::kClaiming && s.claim == claim; });
  if (!open) return;
  port_.append(stream_name::kDirectory, std::nullopt,
               {{std::string(kOwnerKey), options_.self.address}},
               [this, claim](const result<std::uint64_t>& offset) { OnClaimed(claim, offset); });
  port_.at(port_.now() + kClaimRepeat, [this, claim] { SendClaim(claim); });
}

void cell_owner::OnClaimed(std::uint64_t claim, const result<std::uint64_t>& offset) {
  if (!offset) return;
  Change([&](state& s, effects& out) {
    if (s.now != phase::kClaiming || s.claim != claim) return;
    Begin(s, *offset + 1, out);
  });
}

void cell_owner::Begin(state& s, std::uint64_t epoch, effects& out) {
  s.now = phase::kFencing;
  s.epoch = epoch;
  LogStage(s, event_number::kCellClaimed);
  journal_handlers handlers;
  handlers.on_durable = [this, epoch](std::uint64_t sequence) {
    Schedule(epoch, [sequence](cell::scheduler& scheduler) { scheduler.Durable(sequence); });
  };
  handlers.on_fenced = [this, epoch] { Lose(epoch, "fenced by the journal"); };
  handlers.on_availability = [this](bool available) {
    log_.Write(available ? event_number::kStoreAvailable : event_number::kStoreUnavailable,
               {{"stream", "journal"}});
  };
  journal_options options;
  options.producer = kProducer;
  s.journal = std::make_shared<journal_writer>(port_, options, epoch, std::move(handlers));
  out.push_back({epoch, std::nullopt, [this, epoch, journal = s.journal] {
                   journal->Fence([this, epoch](errc code) { OnFenced(epoch, code); });
                 }});
}

void cell_owner::OnFenced(std::uint64_t epoch, errc code) {
  Change([&](state& s, effects& out) {
    if (s.now != phase::kFencing || s.epoch != epoch) return;
    if (code != errc::kOk) return StepDown(s, epoch, "a newer owner writes", out);
    s.now = phase::kLoading;
    LogStage(s, event_number::kCellFenced);
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
      stream_name::kJournal, from_newest{after},
      [this, epoch, after](const result<stream_page>& page) { OnJournalPage(epoch, page, after); });
}

void cell_owner::OnJournalPage(std::uint64_t epoch, const result<stream_page>& page,
                               const std::string& after) {
  if (!page) {
    port_.at(port_.now() + kLoadRetry, [this, epoch, after] {
      if (state_.View([&](const state& s) { return s.epoch == epoch; })) LoadJournal(epoch, after);
    });
    return;
  }
  bool going_on = false;
  Change([&](state& s, effects&) {
    if (s.now != phase::kLoading || s.epoch != epoch) return;
    going_on = true;
    for (const stream_record& record : page->records) {
      if (!record.value) continue;
      result<cell::journal_record> decoded = DecodeJournal(record.key, *record.value);
      if (decoded) {
        s.scheduler->Load(std::move(*decoded));
      } else {
        log_.Write(event_number::kJournalUnreadable,
                   {{"key", record.key}, {"error", ErrorName(decoded.code())}});
      }
    }
  });
  if (!going_on) return;
  if (page->more && !page->records.empty()) return LoadJournal(epoch, page->records.back().key);
  Change([&](state& s, effects& out) {
    if (s.now != phase::kLoading || s.epoch != epoch) return;
    s.journal_read = true;
    LogStage(s, event_number::kJournalRead, "journal");
    MayActivate(s, out);
  });
}

void cell_owner::LoadHosts(std::uint64_t epoch) {
  follower_options options{stream_name::kHosts, {}, options_.host_list_interval};
  follower_handlers handlers;
  handlers.on_snapshot = [this, epoch](const std::vector<stream_record>& records) {
    OnHosts(epoch, records);
  };
  handlers.on_change = [this, epoch](const stream_record& record) { OnHostChange(epoch, record); };
  handlers.on_availability = [this](bool available) {
    log_.Write(available ? event_number::kStoreAvailable : event_number::kStoreUnavailable,
               {{"stream", "hosts"}});
  };
  auto follower = std::make_shared<stream_follower>(port_, options, std::move(handlers));
  Change([&](state& s, effects& out) {
    if (s.now != phase::kLoading || s.epoch != epoch) return;
    s.hosts = follower;
    out.push_back({epoch, std::nullopt, [follower] { follower->Start(); }});
  });
}

void cell_owner::OnHosts(std::uint64_t epoch, const std::vector<stream_record>& records) {
  Change([&](state& s, effects& out) {
    if (s.epoch != epoch || !s.scheduler) return;
    SetHosts(s, records);
    if (!std::exchange(s.hosts_read, true)) LogStage(s, event_number::kJournalRead, "hosts");
    MayActivate(s, out);
  });
}

// The scheduler begins to act when all is read. Without the configuration it would judge jobs by
// limits that nobody set.
void cell_owner::MayActivate(state& s, effects& out) {
  if (s.now != phase::kLoading || !s.journal_read || !s.hosts_read || !s.config) return;
  s.now = phase::kActive;
  s.last_tick = port_.now();
  s.scheduler->SetConfig(s.config);
  s.scheduler->SetAdviceMachines(s.members);
  const std::uint64_t term = s.scheduler->LoadedTerm() + 1;
  s.scheduler->BeginTerm(term, s.epoch, s.last_tick, port_.wall_ms());
  log_.Write(event_number::kCellAcquired, {{"epoch", s.epoch}, {"term", term}});
  log_.MeasureTakeover("acquired", s.last_tick - s.claim_began);
  out.push_back({s.epoch, std::nullopt, [this, epoch = s.epoch] {
                   hooks_.on_owned({epoch, options_.self.address});
                   ScheduleTick(epoch);
                 }});
}

void cell_owner::SetHosts(state& s, const std::vector<stream_record>& records) {
  std::vector<host_id> gone = std::exchange(s.listed, {});
  for (const stream_record& record : records) {
    SetHost(s, record);
    std::erase(gone, host_id{record.key});
  }
  for (const host_id& host : gone) s.scheduler->RemoveHost(host, port_.now());
}

void cell_owner::SetHost(state& s, const stream_record& record) {
  const host_id id{record.key};
  std::optional<cell::host_entry> entry;
  if (record.value) entry = port_.parse_host(record.key, *record.value);
  if (entry) {
    if (std::find(s.listed.begin(), s.listed.end(), id) == s.listed.end()) s.listed.push_back(id);
    return s.scheduler->SetHost(*entry, port_.now());
  }
  if (record.value) log_.Write(event_number::kHostEntryUnreadable, {{"host", record.key}});
  std::erase(s.listed, id);
  s.scheduler->RemoveHost(id, port_.now());
}

void cell_owner::OnHostChange(std::uint64_t epoch, const stream_record& record) {
  Change([&](state& s, effects&) {
    if (s.epoch == epoch && s.scheduler) SetHost(s, record);
  });
}

void cell_owner::Lose(std::uint64_t epoch, std::string_view cause) {
  Change([&](state& s, effects& out) {
    if (s.epoch != epoch || s.now == phase::kIdle) return;
    StepDown(s, epoch, cause, out);
    out.push_back({epoch, std::nullopt, hooks_.on_fenced});
  });
}

void cell_owner::OnClaim(const owner_info& claim) {
  Change([&](state& s, effects& out) {
    if (s.now != phase::kActive || claim.epoch <= s.epoch) return;
    if (claim.address == options_.self.address) return;
    out.push_back({s.epoch, std::nullopt, [this, epoch = s.epoch] {
                     port_.at(port_.now() + kClaimTime, [this, epoch] { ClaimAgain(epoch); });
                   }});
  });
}

// Calls go to the newest claimant. A claim that was carried out late names a process that does not
// own the cell, so the owner claims it anew, unless the claimant has fenced it.
void cell_owner::ClaimAgain(std::uint64_t epoch) {
  Change([&](state& s, effects& out) {
    if (s.now != phase::kActive || s.epoch != epoch) return;
    out.push_back({epoch, std::nullopt, [this, epoch, journal = s.journal] {
                     journal->Fence([this, epoch](errc code) { OnFenceTried(epoch, code); });
                   }});
  });
}

void cell_owner::OnFenceTried(std::uint64_t epoch, errc code) {
  if (code != errc::kOk) return Lose(epoch, "fenced by the journal");
  Change([&](state& s, effects& out) {
    if (s.now != phase::kActive || s.epoch != epoch) return;
    StepDown(s, epoch, "the directory names another process", out);
    Claim(s, out);
  });
}

void cell_owner::StepDown(state& s, std::uint64_t epoch, std::string_view cause, effects& out) {
  if (s.epoch != epoch || s.now == phase::kIdle) return;
  log_.Write(event_number::kCellLost, {{"epoch", epoch}, {"cause", cause}});
  s.now = phase::kIdle;
  s.stepped_down = port_.now();
  if (s.journal) s.journal->Stop();
  if (s.hosts) s.hosts->Stop();
  s.journal.reset();
  s.hosts.reset();
  s.scheduler.reset();
  s.listed.clear();
  // These calls may have reached the journal.
  for (auto& [number, reply] : std::exchange(s.calls, {})) {
    out.push_back({epoch, std::nullopt,
                   [reply = std::move(reply)] { reply(Refusal(errc::kOutcomeUnknown)); }});
  }
  out.push_back({epoch, std::nullopt, hooks_.on_lost});
}

void cell_owner::Retire() {
  Change([&](state& s, effects& out) {
    s.retired = true;
    StepDown(s, s.epoch, "the process is leaving", out);
  });
}

void cell_owner::SetConfig(std::shared_ptr<const cell::fleet_config> config) {
  Change([&](state& s, effects& out) {
    s.config = config;
    if (s.scheduler) s.scheduler->SetConfig(config);
    MayActivate(s, out);
  });
}

void cell_owner::Call(const peer_call& call, peer_reply reply) {
  Change([&](state& s, effects& out) {
    if (s.now != phase::kActive) {
      out.push_back(
          {s.epoch, std::nullopt, [reply = std::move(reply)] { reply(Refusal(errc::kNotOwner)); }});
      return;
    }
    const cell::call_number number = s.next_call++;
    s.calls.emplace(number, std::move(reply));
    const time_point now = port_.now();
    std::visit(overloaded{[&](const submit_call& submit) {
                            s.scheduler->Submit(number, submit.job, submit.queue, submit.spec, now,
                                                port_.wall_ms());
                          },
                          [&](const cancel_call& cancel) {
                            s.scheduler->Cancel(number, cancel.job, port_.wall_ms());
                          },
                          [&](const state_call& asked) { s.scheduler->State(number, asked.job); },
                          [&](const pending_call& pending) {
                            s.scheduler->Pending(number, pending.queue);
                          },
                          [](const advice_call&) {}, [](const offer_call&) {}},
               call);
  });
}

bool cell_owner::Owns() const {
  return state_.View([](const state& s) { return s.now == phase::kActive; });
}

cell::scheduler_summary cell_owner::Summary() const {
  return state_.View([](const state& s) {
    return s.scheduler ? s.scheduler->Summary() : cell::scheduler_summary{};
  });
}

void cell_owner::ScheduleTick(std::uint64_t epoch) {
  const auto next = state_.View([&](const state& s) -> std::optional<time_point> {
    if (s.now != phase::kActive || s.epoch != epoch) return std::nullopt;
    return s.scheduler->NextTick();
  });
  if (next) port_.at(*next, [this, epoch] { Tick(epoch); });
}

void cell_owner::Tick(std::uint64_t epoch) {
  const time_point now = port_.now();
  Change([&](state& s, effects& out) {
    if (s.now != phase::kActive || s.epoch != epoch) return;
    s.last_tick = now;
    s.scheduler->Tick(now, port_.wall_ms());
    if (s.journal->StalledFor(now) >= kStalled && now - s.offered >= kOfferInterval) {
      s.offered = now;
      out.push_back({epoch, std::nullopt, hooks_.on_stalled});
    }
    if (now - s.status_logged >= kStatusInterval) LogStatus(s);
  });
  ScheduleTick(epoch);
}

void cell_owner::LogStage(const state& s, event_number number, std::string_view stream) const {
  log_.Write(number, {{"stream", stream},
                      {"epoch", s.epoch},
                      {"after_ms", Milliseconds(port_.now() - s.claim_began)}});
}

void cell_owner::LogStatus(state& s) {
  s.status_logged = port_.now();
  const cell::scheduler_summary now = s.scheduler->Summary();
  log_.Write(event_number::kCellStatus, {{"epoch", s.epoch},
                                         {"open_jobs", std::uint64_t{now.open_jobs}},
                                         {"waiting_steps", std::uint64_t{now.waiting_steps}},
                                         {"questions", std::uint64_t{now.questions}},
                                         {"runs", std::uint64_t{now.runs}},
                                         {"hosts", std::uint64_t{now.hosts}},
                                         {"unreachable", std::uint64_t{now.unreachable_hosts}},
                                         {"kept", std::uint64_t{now.kept_hosts}},
                                         {"cores_milli", now.capacity.cores_milli},
                                         {"taken_milli", now.taken.cores_milli}});
}

}  // namespace sycamorehinge::control
