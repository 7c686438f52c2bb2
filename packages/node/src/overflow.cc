#include "overflow.h"

#include "parts.h"
#include "sycamorehinge/core/routing.h"

namespace sycamorehinge {

namespace {

// A hold must outlast the append that precedes the start, also when the log is slow.
constexpr duration kHoldTime = std::chrono::seconds(2);
constexpr duration kAnswerTime = std::chrono::milliseconds(500);
constexpr std::size_t kMostAsked = 3;

}  // namespace

std::vector<process_id> overflow_router::PeersFor(const pool_key& key, const work_item& item,
                                                  std::span<const process_id> refused) const {
  std::vector<process_status> peers;
  for (process_status& status : parts_.alive.Alive()) {
    if (status.process == parts_.options.self || status.draining || !status.ready) continue;
    peers.push_back(std::move(status));
  }
  return OverflowCandidates({key.environment, key.service, item.size, item.count,
                             parts_.options.where.region, refused, parts_.Random()},
                            peers);
}

void overflow_router::Ask(const pool_key& key, const work_item& item, const work_owner& owner) {
  std::visit(overloaded{[&](const request_work& work) {
                          const auto peers = PeersFor(key, item, {});
                          if (peers.empty() || !parts_.pools.Withdraw(item.id)) return;
                          parts_.requests.Forward(work.request, peers.front());
                        },
                        [&](const partition_work& work) {
                          std::vector<process_id> refused;
                          {
                            const std::lock_guard lock(mutex_);
                            asked& before = asked_[item.id];
                            if (before.waiting) return;
                            if (before.refused.size() >= kMostAsked) before.refused.clear();
                            refused = before.refused;
                            before.waiting = true;
                          }
                          const auto peers = PeersFor(key, item, refused);
                          if (!peers.empty()) {
                            AskForRoom(key, item, peers.front(), work.partition);
                            return;
                          }
                          const std::lock_guard lock(mutex_);
                          asked_.erase(item.id);
                        },
                        // A peer that asks for room is answered at once and never waits here.
                        [](const peer_hold&) {}},
             owner);
}

void overflow_router::AskForRoom(const pool_key& key, const work_item& item, const process_id& peer,
                                 partition_number partition) {
  reserve_room question{0, key.environment, key.service, item, {}, kHoldTime};
  const time_point now = parts_.Now();
  question.time_left = item.deadline == time_point::max() ? duration{} : item.deadline - now;
  parts_.peers.Call(peer, std::move(question), now + kAnswerTime,
                    [this, item, peer, partition](errc code, const peer_message* answer) {
                      const auto* room =
                          answer == nullptr ? nullptr : std::get_if<room_answer>(answer);
                      if (room == nullptr) {
                        OnRoom(item, peer, partition, code, {});
                      } else {
                        OnRoom(item, peer, partition, room->code, room->places);
                      }
                    });
}

void overflow_router::OnRoom(const work_item& item, const process_id& peer,
                             partition_number partition, errc code,
                             const std::vector<placement>& places) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = asked_.find(item.id);
    if (found != asked_.end()) {
      found->second.waiting = false;
      if (code == errc::kOk) {
        asked_.erase(found);
      } else {
        found->second.refused.push_back(peer);
      }
    }
  }
  if (code != errc::kOk) return;
  if (parts_.pools.Withdraw(item.id)) {
    parts_.partitions.Handle(partition, room_reserved{item.id, peer, places});
    return;
  }
  // The item found local room, or was cancelled, while the peer answered.
  for (std::uint32_t i = 0; i < places.size(); ++i) {
    attempt_id id = item.id;
    id.task.index += i;
    parts_.peers.Send(peer, return_hold{id, places[i].host});
  }
}

}  // namespace sycamorehinge
