// Settings of one entry process, read from a TOML file at its start.
#ifndef SYCAMOREHINGE_SETTINGS_PROCESS_SETTINGS_H_
#define SYCAMOREHINGE_SETTINGS_PROCESS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorehinge/core/types.h"
#include "sycamorehinge/settings/mistake.h"
#include "sycamorehinge/settings/secret.h"

namespace sycamorehinge {

// The initial values below are the defaults; ranges and help texts are in parameters.h.
struct process_section {
  process_id name;
  region_id region;
  data_centre_id data_centre;
  // 0 stands for the wall clock in milliseconds at the start.
  std::uint64_t incarnation = 0;
};
struct http_section {
  std::string listen = "127.0.0.1";
  std::uint16_t port = 7000;
  std::uint32_t max_body_bytes = 1U << 20;
  std::uint32_t max_header_bytes = 16U << 10;
  std::uint32_t max_connections = 512;
  duration request_timeout = std::chrono::seconds(30);
};
struct peer_settings {
  process_id name;
  // "127.0.0.1:7001"; the port is used for UDP and TCP.
  std::string address;
  region_id region;
  data_centre_id data_centre;
};
struct peers_section {
  std::string listen = "127.0.0.1";
  std::uint16_t port = 7001;
  // Exactly one of the three is set in loaded settings.
  std::string key;
  std::string key_file;
  std::string key_env;
  // Never contains this process itself in loaded settings.
  std::vector<peer_settings> list;
};
struct platform_section {
  std::string log_address = "http://127.0.0.1:9000";
  // Loaded settings have the log address here if the file names none.
  std::string hosts_address;
  duration timeout = std::chrono::milliseconds(1000);
  std::uint32_t appends_per_second = 25;
};
struct partitions_section {
  std::uint32_t count = 16;
  // Sorted in loaded settings: all processes deal partitions to regions in the same order.
  std::vector<std::string> regions;
};
struct claims_section {
  duration ttl = std::chrono::milliseconds(2000);
  duration renew = std::chrono::milliseconds(700);
  duration task_lease = std::chrono::seconds(10);
  duration contact_ttl = std::chrono::seconds(60);
};
struct retention_section {
  duration keys = std::chrono::minutes(15);
  duration jobs = std::chrono::hours(1);
  std::uint32_t max_keys = 100'000;
  std::uint32_t snapshot_records = 20'000;
  duration snapshot = std::chrono::minutes(30);
};
struct pool_section {
  duration overflow_after = std::chrono::milliseconds(5);
  duration preempt_after = std::chrono::milliseconds(200);
};
struct drain_section {
  duration timeout = std::chrono::seconds(30);
};
struct heartbeat_section {
  duration region = std::chrono::milliseconds(500);
  duration elsewhere = std::chrono::seconds(2);
  duration suspect = std::chrono::milliseconds(1500);
  duration suspect_elsewhere = std::chrono::seconds(6);
};
struct log_section {
  std::string level = "info";
  // Empty stands for standard error.
  std::string file;
};
struct access_section {
  // Sources of tokens, "ENV:NAME" or "FILE:PATH"; see secret.h.
  std::vector<std::string> callers;
  std::vector<std::string> operators;
};

struct process_settings {
  process_section process;
  http_section http;
  peers_section peers;
  platform_section platform;
  partitions_section partitions;
  claims_section claims;
  retention_section retention;
  pool_section pool;
  drain_section drain;
  heartbeat_section heartbeat;
  log_section log;
  access_section access;
};

// Reads settings from TOML text; `file` is named in mistakes only.
parsed<process_settings> ParseSettings(std::string_view text, std::string_view file);

// Reads settings from a file.
parsed<process_settings> LoadSettings(const std::string& path);

// Where the shared key of the peers comes from.
secret_source PeerKeySource(const peers_section& peers);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_PROCESS_SETTINGS_H_
