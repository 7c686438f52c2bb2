// The store's part of the ports on a clock that the test moves: streams with epochs and sequences,
// and a group with times to live.
#ifndef SYCAMOREHINGE_CONTROL_TESTS_FAKE_STORE_H_
#define SYCAMOREHINGE_CONTROL_TESTS_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sycamorehinge/control/ports.h"

namespace sycamorehinge::control::testing {

using std::chrono::milliseconds;

class fake_store {
 public:
  // Ports of one process; hosts, advice and peers are left to the test.
  ports PortsOf(const std::string& process);
  // Lets the time pass and carries out what is due.
  void Run(duration time);

  void Put(stream_name stream, const std::string& key, const std::string& value);
  std::vector<stream_record> Newest(stream_name stream) const;

  time_point now{std::chrono::hours(1)};
  duration trip = milliseconds(4);
  // Time of a new connection by process; 1 ms for the others.
  std::map<std::string, duration> links;
  bool available = true;
  // Appends take effect and their answers are lost.
  bool loses_answers = false;
  // The same for this many appends.
  std::uint32_t loses_next = 0;
  // Time after which a new member is listed, by process: it gets its share of the group's
  // partitions only when others have given some up.
  std::map<std::string, duration> listing_lag;
  // Processes that the store does not answer.
  std::map<std::string, bool> turned_away;
  // Hosts refuse the orders of a process that is turned away, as if a newer owner had looked at
  // them.
  bool hosts_fence_turned_away = false;
  // Processes that take calls, by address.
  using peer = std::function<void(const peer_call&, std::function<void(peer_answer)>)>;
  std::map<std::string, peer> peers;
  std::uint32_t appends = 0;
  std::uint32_t reads = 0;

 private:
  struct writer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
  };
  struct stream {
    std::vector<stream_record> records;
    std::map<std::string, writer> writers;
  };
  void AddStreams(ports& port, const std::string& process);
  void AddGroup(ports& port, const std::string& process);
  static void AddParsers(ports& port);
  void AddHosts(ports& port, const std::string& process);
  void After(duration delay, std::function<void()> task);
  result<std::uint64_t> Append(stream_name name, const std::optional<append_guard>& guard,
                               const std::vector<stream_record>& records);
  result<stream_page> Read(stream_name name, const read_position& position) const;
  void Expire();
  bool Answers(const std::string& process) const;

  std::multimap<time_point, std::function<void()>> events_;
  std::map<stream_name, stream> streams_;
  struct membership_row {
    time_point until;
    time_point listed_from;
  };
  std::map<std::string, membership_row> members_;
  std::uint64_t generation_ = 1;
};

}  // namespace sycamorehinge::control::testing

#endif  // SYCAMOREHINGE_CONTROL_TESTS_FAKE_STORE_H_
