// The part of partition_runner that carries out the effects of a partition.
#include "partition_runner.h"
#include "parts.h"

namespace sycamorehinge {

void partition_runner::Deliver(delivery& item) {
  std::visit(overloaded{[&](partition_effect& effect) { DeliverEffect(effect); },
                        [&](flush_wanted&) { ScheduleFlush(); }},
             item);
}

void partition_runner::DeliverEffect(partition_effect& effect) {
  entry_node::parts& p = parts_;
  const process_id& self = p.options.self;
  std::visit(
      overloaded{
          [](emit_record&) {},
          [&](want_room& e) {
            p.pools.Offer({e.environment, e.service}, std::move(e.item), partition_work{number_});
          },
          [&](withdraw_room& e) { p.pools.Withdraw(e.id); },
          [&](return_room& e) {
            if (e.holder == self) {
              p.claims.ReturnHold(e.host, e.id);
            } else {
              p.peers.Send(e.holder, return_hold{e.id, e.host});
            }
          },
          [&](start_attempt& e) {
            if (e.holder == self) {
              p.claims.Start(e.id, e.place, e.spec);
            } else if (!p.peers.Send(e.holder, start_task{e.id, e.place, e.spec})) {
              Handle(attempt_reported{e.id, e.place.host, e.place.term, e.holder,
                                      attempt_fact::kUnreachable});
            }
          },
          [&](stop_attempt& e) {
            if (e.holder == self) {
              p.claims.StopTask(e.host, e.id, e.checkpoint);
            } else {
              p.peers.Send(e.holder, stop_task{e.id, e.host, e.checkpoint});
            }
          },
          [&](void_attempt& e) { p.partitions.Void(e); },
          [&](keep_attempt& e) {
            if (e.holder == self) {
              p.claims.Keep(e.host, e.id, e.term);
            } else {
              p.peers.Send(e.holder, keep_task{e.id, e.host, e.term});
            }
          },
          [&](run_request& e) { p.partitions.Run(e); },
          [&](reply_job& e) { p.partitions.ReplyJob(e.call, e.job); },
          [&](reply_answer& e) { p.partitions.ReplyAnswer(e.call, errc::kOk, {}, {}, e.answer); },
          [&](reply_error& e) { p.partitions.ReplyError(e.call, e.code, e.detail, e.retry_after); },
          [&](job_ended& e) { p.partitions.JobEnded(e.job); }},
      effect);
}

}  // namespace sycamorehinge
