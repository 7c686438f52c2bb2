// One control process on the users' platform: the node with the platform's adapters.
#ifndef SYCAMOREHINGE_ENTRY_SRC_PLATFORM_PROCESS_H_
#define SYCAMOREHINGE_ENTRY_SRC_PLATFORM_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "sycamorehinge/control/control_node.h"
#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/net/http_server.h"
#include "sycamorehinge/net/runtime_clock.h"
#include "sycamorehinge/platform/config.h"
#include "sycamorehinge/platform/hosts.h"
#include "sycamorehinge/platform/settings.h"
#include "sycamorehinge/platform/store.h"
#include "sycamorehinge/telemetry/events.h"
#include "sycamorehinge/telemetry/metrics.h"

namespace sycamorehinge {

class platform_process {
 public:
  // `path` is the settings file; `stop` is called once when the process may end.
  platform_process(platform::platform_settings settings, std::string path,
                   std::function<void()> stop);
  ~platform_process();
  platform_process(const platform_process&) = delete;
  platform_process& operator=(const platform_process&) = delete;

  // kOk, or kInternal if an address cannot be bound.
  errc Start();
  // Begins a graceful stop; `stop` is called when it is done.
  void Drain();
  // Finishes the answers that are being sent and closes all connections.
  void Close();
  // Reads the settings file again; a file with mistakes changes nothing.
  void Reload();

 private:
  control::ports MakePorts();
  control::control_options MakeOptions() const;
  void FinishDrain();
  std::string Metrics() const;
  void AddTenantMetrics(exposition& page) const;
  void WatchSettings();
  void WatchLimits();

  const std::string path_;
  platform::live_settings settings_;
  const std::function<void()> stop_;
  const runtime_clock clock_ = system_clock();
  time_point draining_since_;
  bool draining_ = false;
  event_log events_;
  metrics metrics_;
  // One client for each kind of server, so that memberships and the journal do not wait behind
  // hundreds of calls to hosts and peers.
  http_client store_http_;
  http_client host_http_;
  http_client peer_http_;
  const platform::store_client store_;
  const platform::host_client hosts_;
  // Destroyed in reverse order: first the sources of events, then the node.
  std::unique_ptr<timer_queue> timers_;
  std::unique_ptr<control::control_node> node_;
  std::unique_ptr<http_server> front_;
  std::unique_ptr<http_server> ready_;
  std::unique_ptr<http_server> peers_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_PLATFORM_PROCESS_H_
