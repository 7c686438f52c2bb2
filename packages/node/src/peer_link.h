// Questions to peers with their answers, and the dispatch of what peers send.
#ifndef SYCAMOREHINGE_NODE_SRC_PEER_LINK_H_
#define SYCAMOREHINGE_NODE_SRC_PEER_LINK_H_

#include <functional>

#include "call_table.h"
#include "node_fwd.h"
#include "sycamorehinge/wire/messages.h"

namespace sycamorehinge {

class peer_link {
 public:
  // Gets the answer, or null with the reason: kConnectionFailed if the question was not sent,
  // kTimeout if its fate is unknown.
  using answer_handler = std::function<void(errc, const peer_message*)>;

  explicit peer_link(entry_node::parts& parts) : parts_(parts) {}

  // False if there is no connection to the peer.
  bool Send(const process_id& peer, const peer_message& message);
  // `Question` has a field `call`, which this function sets.
  template <class Question>
  void Call(const process_id& peer, Question question, time_point deadline,
            answer_handler handler) {
    question.call = calls_.Add({peer, std::move(handler)}, deadline);
    if (!Send(peer, question)) Complete(question.call, errc::kConnectionFailed, nullptr);
  }
  void Receive(const process_id& from, const peer_message& message);
  // Gives up calls that are past their deadline or whose peer is no longer alive.
  void Tick(time_point now);

 private:
  struct pending {
    process_id peer;
    answer_handler handler;
  };

  void Complete(std::uint64_t call, errc code, const peer_message* answer);
  void AnswerRequest(const process_id& to, call_id call, const request_answer& answer);
  void AnswerJob(const process_id& to, call_id call, job_answer answer);
  void RunAttempt(const process_id& from, const forward_run& run);
  void ReserveRoom(const process_id& from, const reserve_room& question);

  entry_node::parts& parts_;
  call_table<pending> calls_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NODE_SRC_PEER_LINK_H_
