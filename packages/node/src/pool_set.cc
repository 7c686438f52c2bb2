#include "pool_set.h"

#include "parts.h"

namespace sycamorehinge {

pool_set::pool_shard& pool_set::Shard(const pool_key& key) {
  std::unique_lock lock(mutex_);
  const auto found = shards_.find(key);
  if (found != shards_.end()) return *found->second;
  auto created = std::make_unique<pool_shard>(parts_.options.pool, key);
  pool_shard& shard = *created;
  shards_.emplace(key, std::move(created));
  lock.unlock();
  const auto document = parts_.documents.Find(key.environment);
  if (document != nullptr) Apply(shard, rules_changed{document}, std::nullopt);
  return shard;
}

std::vector<pool_set::pool_shard*> pool_set::Shards() const {
  const std::lock_guard lock(mutex_);
  std::vector<pool_shard*> all;
  for (const auto& [key, shard] : shards_) all.push_back(shard.get());
  return all;
}

void pool_set::Apply(pool_shard& target, const pool_event& event,
                     std::optional<std::pair<attempt_id, work_owner>> owner) {
  pool_key key;
  target.Apply(
      [&](pool_state& s, std::vector<delivery>& out) {
        key = s.key;
        if (owner) s.owners[owner->first] = owner->second;
        s.core.Handle(event, parts_.Now(), s.actions);
        Collect(s, out);
      },
      [&](delivery& item) { Deliver(key, item); });
  ScheduleTick(target);
}

// Moves actions to the outbox. The owner of an item is forgotten once the item has left the queue.
void pool_set::Collect(pool_state& s, std::vector<delivery>& out) {
  for (pool_action& action : s.actions) {
    const attempt_id* leaving = std::visit(
        overloaded{[](const work_placed& placed) { return &placed.item.id; },
                   [](const work_refused& refused) { return &refused.id; },
                   [](const overflow_wanted& wanted) { return &wanted.item.id; },
                   [](const preemption_wanted&) -> const attempt_id* { return nullptr; }},
        action);
    std::optional<work_owner> owner;
    if (leaving != nullptr) {
      const auto found = s.owners.find(*leaving);
      if (found != s.owners.end()) {
        owner = found->second;
        if (!std::holds_alternative<overflow_wanted>(action)) s.owners.erase(found);
      }
    }
    out.push_back({std::move(action), std::move(owner)});
  }
  s.actions.clear();
}

void pool_set::ScheduleTick(pool_shard& target) {
  time_point when = time_point::max();
  target.Apply(
      [&](pool_state& s, std::vector<delivery>&) {
        const time_point next = s.core.NextTick();
        if (next >= s.tick_at) return;
        s.tick_at = next;
        when = next;
      },
      [](delivery&) {});
  if (when == time_point::max()) return;
  parts_.At(when, [this, &target, when] {
    target.Apply(
        [&](pool_state& s, std::vector<delivery>&) {
          if (s.tick_at == when) s.tick_at = time_point::max();
        },
        [](delivery&) {});
    Apply(target, pool_tick{}, std::nullopt);
  });
}

void pool_set::Offer(const pool_key& key, work_item item, work_owner owner) {
  const attempt_id id = item.id;
  Apply(Shard(key), work_offered{std::move(item)}, std::pair{id, std::move(owner)});
}

void pool_set::Hold(const pool_key& key, work_item item, duration hold_time, peer_hold owner) {
  const attempt_id id = item.id;
  Apply(Shard(key), hold_requested{std::move(item), hold_time},
        std::pair{id, work_owner(std::move(owner))});
}

void pool_set::Handle(const pool_key& key, const pool_event& event) {
  Apply(Shard(key), event, std::nullopt);
}

bool pool_set::Confirm(const pool_key& key, const attempt_id& id, const placement& place) {
  pool_shard& shard = Shard(key);
  Apply(shard, hold_confirmed{id}, std::nullopt);
  const std::optional<placement> reserved =
      shard.View([&](const pool_state& s) { return s.core.PlaceOf(id); });
  return reserved && reserved->host == place.host && reserved->term == place.term;
}

bool pool_set::Withdraw(const attempt_id& id) {
  for (pool_shard* shard : Shards()) {
    bool waited = false;
    shard->Apply(
        [&](pool_state& s, std::vector<delivery>& out) {
          waited = s.owners.erase(id) > 0;
          if (!waited) return;
          s.core.Handle(work_withdrawn{id}, parts_.Now(), s.actions);
          Collect(s, out);
        },
        [&](delivery& item) {
          Deliver(shard->View([](const pool_state& s) { return s.key; }), item);
        });
    if (waited) return true;
  }
  return false;
}

void pool_set::RulesChanged(const std::shared_ptr<const environment_document>& document) {
  for (const service_rule& service : document->services) Shard({document->name, service.name});
  Shard({document->name, {}});
  for (pool_shard* shard : Shards()) {
    const bool ours =
        shard->View([&](const pool_state& s) { return s.key.environment == document->name; });
    if (ours) Apply(*shard, rules_changed{document}, std::nullopt);
  }
}

void pool_set::LearnPeers(std::span<const process_status> alive) {
  std::map<pool_key, resources> largest;
  for (const process_status& status : alive) {
    if (status.process == parts_.options.self) continue;
    for (const pool_load& load : status.loads) {
      resources& known = largest[{load.environment, load.service}];
      known = {std::max(known.cores_milli, load.largest_host.cores_milli),
               std::max(known.memory_mb, load.largest_host.memory_mb),
               std::max(known.accelerators, load.largest_host.accelerators),
               std::max(known.slots, load.largest_host.slots)};
    }
  }
  for (pool_shard* shard : Shards()) {
    bool changed = false;
    resources known;
    shard->Apply(
        [&](pool_state& s, std::vector<delivery>&) {
          known = largest[s.key];
          changed = known != s.elsewhere;
          s.elsewhere = known;
        },
        [](delivery&) {});
    if (changed) Apply(*shard, room_elsewhere{known}, std::nullopt);
  }
}

void pool_set::Deliver(const pool_key& key, delivery& item) {
  std::visit(
      overloaded{[&](work_placed& placed) {
                   if (item.owner) DeliverPlaced(placed, *item.owner);
                 },
                 [&](work_refused& refused) {
                   if (item.owner) DeliverRefused(refused, *item.owner);
                 },
                 [&](preemption_wanted& wanted) { parts_.claims.Preempt(wanted.host, wanted.id); },
                 [&](overflow_wanted& wanted) {
                   if (item.owner) parts_.overflow.Ask(key, wanted.item, *item.owner);
                 }},
      item.action);
}

void pool_set::DeliverPlaced(const work_placed& placed, const work_owner& owner) {
  parts_.Record(latency::kQueueWait, placed.item.tenant, placed.item.work_class, placed.waited);
  parts_.Count(work_event::kStarted, placed.item.tenant, placed.item.work_class);
  std::visit(
      overloaded{[&](const request_work& work) {
                   parts_.requests.Placed(work.request, placed.item, placed.places.front());
                 },
                 [&](const partition_work& work) {
                   parts_.partitions.Handle(
                       work.partition,
                       room_reserved{placed.item.id, parts_.options.self, placed.places});
                 },
                 [&](const peer_hold& hold) {
                   parts_.peers.Send(hold.from, room_answer{hold.call, errc::kOk, placed.places});
                 }},
      owner);
}

void pool_set::DeliverRefused(const work_refused& refused, const work_owner& owner) {
  std::visit(
      overloaded{
          [&](const request_work& work) {
            parts_.requests.Refused(work.request, refused.reason, refused.retry_after);
          },
          [&](const partition_work& work) {
            parts_.partitions.Handle(work.partition, room_refused{refused.id, refused.reason});
          },
          [&](const peer_hold& hold) {
            parts_.peers.Send(hold.from, room_answer{hold.call, refused.reason, {}});
          }},
      owner);
}

std::vector<std::pair<pool_load, pool_summary>> pool_set::Summaries() const {
  std::vector<std::pair<pool_load, pool_summary>> all;
  for (const pool_shard* shard : Shards()) {
    all.push_back(shard->View([](const pool_state& s) {
      pool_summary summary = s.core.Summary();
      pool_load load{s.key.environment,    s.key.service,        summary.capacity - summary.taken,
                     summary.largest_free, summary.largest_host, {}};
      for (const class_summary& each : summary.classes) {
        load.expected_wait = std::max(load.expected_wait, each.expected_wait);
      }
      return std::pair{load, summary};
    }));
  }
  return all;
}

std::vector<pool_load> pool_set::Loads() const {
  std::vector<pool_load> loads;
  for (auto& [load, summary] : Summaries()) {
    if (summary.capacity != resources{}) loads.push_back(std::move(load));
  }
  return loads;
}

std::vector<host_summary> pool_set::Hosts() const {
  std::vector<host_summary> all;
  for (const pool_shard* shard : Shards()) {
    const std::vector<host_summary> hosts =
        shard->View([](const pool_state& s) { return s.core.Hosts(); });
    all.insert(all.end(), hosts.begin(), hosts.end());
  }
  return all;
}

std::string pool_set::Explain(const attempt_id& id) const {
  for (const pool_shard* shard : Shards()) {
    std::string text = shard->View([&](const pool_state& s) { return s.core.Explain(id); });
    if (!text.empty()) return text;
  }
  return {};
}

}  // namespace sycamorehinge
