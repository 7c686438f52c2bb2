#include "peer_link.h"

#include "parts.h"

namespace sycamorehinge {

bool peer_link::Send(const process_id& peer, const peer_message& message) {
  return parts_.port.send_peer(peer, message);
}

void peer_link::Complete(std::uint64_t call, errc code, const peer_message* answer) {
  const auto waiting = calls_.Take(call);
  if (waiting) waiting->handler(code, answer);
}

void peer_link::Tick(time_point now) {
  for (const pending& late : calls_.TakeExpired(now)) late.handler(errc::kTimeout, nullptr);
}

void peer_link::AnswerRequest(const process_id& to, call_id call, const request_answer& answer) {
  request_answer copy = answer;
  copy.call = call;
  Send(to, copy);
}

void peer_link::AnswerJob(const process_id& to, call_id call, job_answer answer) {
  answer.call = call;
  Send(to, answer);
}

void peer_link::RunAttempt(const process_id& from, const forward_run& run) {
  parts_.claims.Execute(run.id, run.place, run.request,
                        [this, from, call = run.call](const execute_outcome& outcome) {
                          request_answer answer;
                          answer.call = call;
                          answer.code = outcome.code;
                          answer.fact = outcome.fact;
                          answer.body = outcome.answer;
                          Send(from, answer);
                        });
}

void peer_link::ReserveRoom(const process_id& from, const reserve_room& question) {
  work_item item = question.item;
  item.deadline =
      question.time_left == duration{} ? time_point::max() : parts_.Now() + question.time_left;
  if (parts_.draining) {
    Send(from, room_answer{question.call, errc::kDraining, {}});
    return;
  }
  parts_.pools.Hold({question.environment, question.service}, std::move(item), question.hold_time,
                    {from, question.call});
}

void peer_link::Receive(const process_id& from, const peer_message& message) {
  entry_node::parts& p = parts_;
  std::visit(
      overloaded{
          [&](const forward_request& m) {
            p.requests.FromPeer(m.request, [this, from, call = m.call](const request_answer& a) {
              AnswerRequest(from, call, a);
            });
          },
          [&](const forward_run& m) { RunAttempt(from, m); },
          [&](const request_answer& m) { Complete(m.call, errc::kOk, &message); },
          [&](const forward_submit& m) {
            p.partitions.Submit(m.spec, false, [this, from, call = m.call](const job_answer& a) {
              AnswerJob(from, call, a);
            });
          },
          [&](const forward_cancel& m) {
            p.partitions.Cancel(m.job, false, [this, from, call = m.call](const job_answer& a) {
              AnswerJob(from, call, a);
            });
          },
          [&](const forward_status& m) {
            p.partitions.Status(
                m.job, m.wait, false,
                [this, from, call = m.call](const job_answer& a) { AnswerJob(from, call, a); });
          },
          [&](const job_answer& m) { Complete(m.call, errc::kOk, &message); },
          [&](const reserve_room& m) { ReserveRoom(from, m); },
          [&](const room_answer& m) { Complete(m.call, errc::kOk, &message); },
          [&](const return_hold& m) { p.claims.ReturnHold(m.host, m.id); },
          [&](const start_task& m) { p.claims.Start(m.id, m.place, m.spec); },
          [&](const stop_task& m) { p.claims.StopTask(m.host, m.id, m.checkpoint); },
          [&](const void_task& m) { p.claims.VoidTask(m.host, m.id); },
          [&](const keep_task& m) { p.claims.Keep(m.host, m.id, m.term); },
          [&](const task_report& m) { p.partitions.Reported(m, from); },
          [&](const task_lost& m) {
            p.partitions.Handle(m.id.task.job.partition, attempt_lost{m.id, m.term});
          },
          [&](const task_preempted& m) {
            p.partitions.Handle(m.id.task.job.partition, attempt_preempted{m.id});
          },
          [&](const config_fetch&) { Send(from, p.documents.State()); },
          [&](const config_state& m) { p.documents.Merge(m); }},
      message);
}

}  // namespace sycamorehinge
