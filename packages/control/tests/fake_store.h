// Stand-in for the store behind the ports, on a simulated clock: streams with epochs and sequences,
// and a group whose members have a time to live.
#ifndef SYCAMOREHINGE_CONTROL_TESTS_FAKE_STORE_H_
#define SYCAMOREHINGE_CONTROL_TESTS_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fake_hosts.h"
#include "sycamorehinge/control/ports.h"

namespace sycamorehinge::control::testing {

using std::chrono::milliseconds;

// Faults of the connections that carry calls to a process. The sender of a call without an answer
// gets a timeout, and its next call takes another connection.
//
// What is sent on `connections` connections, which one call each takes, arrives at `until`.
struct held_link {
  time_point until;
  std::uint32_t connections = 0;
};
// `connections` connections are reset after the call on each has arrived.
struct reset_link {
  std::uint32_t connections = 0;
};
// Nothing arrives.
struct silent_link {};
// Calls arrive, but no answers.
struct one_way_link {};
using link_fault = std::variant<held_link, reset_link, silent_link, one_way_link>;

class fake_store {
 public:
  // Returns the ports of one process. Advice never completes.
  ports PortsOf(const std::string& process);
  // Advances the clock in steps of 1 ms and runs the tasks that are due.
  void Run(duration time);

  // Gives all partitions of the group to other members at once.
  void ReassignAllPartitions();
  // Names of the members of the group, listed or not.
  std::vector<std::string> GroupMembers() const;
  std::size_t GroupSize() const { return members_.size(); }

  void Put(stream_name stream, const std::string& key, const std::string& value);
  std::vector<stream_record> Newest(stream_name stream) const;

  time_point now{std::chrono::hours(1)};
  // Time to an answer of the store, and one way of calls between processes.
  duration answer_delay = milliseconds(4);
  // Time to open a connection to the store, by process; 1 ms by default.
  std::map<std::string, duration> connect_times;
  bool available = true;
  // Larger records are refused, and with them the whole append.
  std::size_t max_record_bytes = 262'144;
  // Appends take effect, but their answers are lost.
  bool drop_answers = false;
  // The answers of this many next appends are lost.
  std::uint32_t drop_next_answers = 0;
  // Number of partitions of the group's topics. As in the real store, they are distributed evenly,
  // a member is listed once it holds one, and one moves when its holder joins with the newest
  // generation, leaves, or lapses.
  std::size_t group_partitions = 32;
  // Added to the time until a new member is listed, by process.
  std::map<std::string, duration> listing_lag;
  // Added to the wall clock of all processes.
  duration wall_offset{};
  // Processes that get no answer from the store.
  std::map<std::string, bool> cut_off;
  // Processes whose calls do not arrive anywhere.
  std::set<std::string> crashed;
  // Added to the time until a join takes effect, by process.
  std::map<std::string, duration> join_delays;
  // Added to the time until a read of the journal is answered, by process.
  std::map<std::string, duration> journal_delays;
  // Hosts answer a process that is cut off as if a newer owner had fenced it.
  bool hosts_fence_cut_off = false;
  // Handlers of calls between processes, by address.
  using peer = std::function<void(const peer_call&, std::function<void(peer_answer)>)>;
  std::map<std::string, peer> peers;
  // Processes that no call of another process reaches, and whose calls reach none.
  std::set<std::string> cut_off_from_peers;
  // Processes, and addresses for calls between processes, that are paused until the given time.
  // What a paused process sent before takes effect; its timers and answers, and calls to it, wait.
  std::map<std::string, time_point> paused_until;
  // Time of the last announcement that the process at an address has answered with kOk, by that
  // address and the name of the sender.
  std::map<std::pair<std::string, std::string>, time_point> announced;
  // By address of the receiver.
  std::map<std::string, link_fault> link_faults;
  // Calls that arrived after a link had held them back.
  std::uint32_t late_calls = 0;
  fake_hosts hosts;
  std::uint32_t appends = 0;
  std::uint32_t reads = 0;

 private:
  struct writer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    // Offsets of the last appends, by sequence.
    std::map<std::uint64_t, std::uint64_t> offsets;
  };
  struct stream {
    std::vector<stream_record> records;
    std::map<std::string, writer> writers;
  };
  void AddStreams(ports& port, const std::string& process);
  void AddGroup(ports& port, const std::string& process);
  static void AddParsers(ports& port);
  void AddHosts(ports& port, const std::string& process);
  void AddPeers(ports& port, const std::string& process);
  // What becomes of one call to `address`.
  struct delivery {
    bool arrives = true;
    bool answered = true;
    bool reset = false;
    duration delay{};
  };
  delivery NextDelivery(const std::string& address);
  void RunAfter(duration delay, std::function<void()> task);
  // Runs the task after the delay, and not while `process` is paused.
  void RunOn(const std::string& process, duration delay, std::function<void()> task);
  // Returns `done` for a process, which gets an answer only while it is not paused.
  template <class Answer>
  std::function<void(Answer)> OnResume(const std::string& process,
                                       std::function<void(Answer)> done) {
    return [this, process, done = std::move(done)](Answer answer) {
      RunOn(process, {}, [done, answer] { done(answer); });
    };
  }
  result<std::uint64_t> Append(stream_name name, const std::optional<append_guard>& guard,
                               const std::vector<stream_record>& records);
  result<stream_page> Read(stream_name name, const read_position& position) const;
  void RemoveExpiredMembers();
  void OnMembersChanged();
  void ReleasePartitions(const std::string& member);
  bool IsReachable(const std::string& process) const;
  bool IsCutOffFromPeers(const std::string& process, std::string_view address) const;

  std::multimap<time_point, std::function<void()>> timers_;
  std::map<stream_name, stream> streams_;
  struct membership_row {
    time_point until;
    time_point listed_from;
  };
  std::map<std::string, membership_row> members_;
  struct partition {
    std::string holder;
    // The member that gets it once the holder gives it up.
    std::string next;
  };
  std::vector<partition> partitions_;
  std::size_t rotation_ = 0;
  std::uint64_t generation_ = 1;
};

}  // namespace sycamorehinge::control::testing

#endif  // SYCAMOREHINGE_CONTROL_TESTS_FAKE_STORE_H_
