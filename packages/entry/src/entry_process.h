// One running entry process: the node with its adapters.
#ifndef SYCAMOREHINGE_ENTRY_SRC_ENTRY_PROCESS_H_
#define SYCAMOREHINGE_ENTRY_SRC_ENTRY_PROCESS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "api.h"
#include "sycamorehinge/net/host_client.h"
#include "sycamorehinge/net/host_list_client.h"
#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/net/http_server.h"
#include "sycamorehinge/net/log_client.h"
#include "sycamorehinge/net/peer_transport.h"
#include "sycamorehinge/net/runtime_clock.h"
#include "sycamorehinge/node/entry_node.h"
#include "sycamorehinge/settings/process_settings.h"
#include "sycamorehinge/telemetry/events.h"
#include "sycamorehinge/telemetry/metrics.h"

namespace sycamorehinge {

class entry_process {
 public:
  // `stop` is called once when the process must end: after an operator's drain, or with the code
  // of the error that makes it go, for example kDuplicateName.
  entry_process(process_settings settings, std::string peer_key, access_tokens tokens,
                std::function<void(errc)> stop);
  ~entry_process();
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  // Binds all ports and starts; the error of the first part that cannot start.
  errc Start();
  // Begins a graceful stop; `stop` is called when it is done.
  void Drain();
  event_log& Events() { return events_; }

 private:
  ports MakePorts();
  peer_handlers MakeHandlers();
  void ReportFault(const peer_fault& fault);
  std::string Metrics() const;

  const process_settings settings_;
  const std::uint64_t incarnation_;
  std::function<void(errc)> stop_;
  runtime_clock clock_;
  std::unique_ptr<std::ostream> log_file_;
  event_log events_;
  metrics metrics_;
  std::atomic<bool> closing_ = false;
  std::unique_ptr<http_client> http_ = std::make_unique<http_client>();
  log_client log_;
  host_client hosts_;
  host_list_client list_;
  // Destroyed in reverse order: first the sources of events, then the node, then what it calls.
  std::unique_ptr<timer_queue> timers_;
  std::unique_ptr<peer_transport> peers_;
  std::unique_ptr<entry_node> node_;
  std::unique_ptr<api> api_;
  std::unique_ptr<http_server> server_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_ENTRY_PROCESS_H_
