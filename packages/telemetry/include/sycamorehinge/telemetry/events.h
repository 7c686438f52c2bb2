// Catalogue of numbered events, and the log that writes them.
#ifndef SYCAMOREHINGE_TELEMETRY_EVENTS_H_
#define SYCAMOREHINGE_TELEMETRY_EVENTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorehinge/core/types.h"

namespace sycamorehinge {

// Numbers are stable, since operators build alerts on them. The number of a removed event is not
// reused.
enum class event_number : std::uint16_t {
  // Process.
  kProcessStarted = 1001,
  kProcessReady,
  kProcessNotReady,
  kDrainStarted,
  kDrainFinished,
  kProcessStopped,
  kDuplicateName,
  kSettingsInvalid,
  kListenFailed,
  kProcessWasPaused,
  kLogLinesDropped,
  // Documents.
  kDocumentInForce = 2001,
  kDocumentConflict,
  kDocumentInvalid,
  kDocumentsFetched,
  kDocumentRestated,
  kDocumentsMissing,
  // Hosts.
  kHostClaimed = 3001,
  kClaimDenied,
  kClaimLost,
  kHostLost,
  kHostLeaving,
  kHostEjected,
  kHostReinstated,
  kHostListUnavailable,
  kHostListMalformed,
  kHostAnswerMalformed,
  kHostOvercommitted,
  // Log and partitions.
  kPartitionAcquired = 4001,
  kPartitionLost,
  kLogUnavailable,
  kLogAvailable,
  kRecordMalformed,
  kSnapshotWritten,
  kOffsetForgotten,
  kAppendUnknown,
  // Peers.
  kPeerConnected = 5001,
  kPeerDisconnected,
  kPeerSuspected,
  kPeerRecovered,
  kPeerGarbage,
  kPeerWrongVersion,
  kPeerWrongKey,
  kPeerReplayed,
  kPeerUnknownSender,
  kPeerOversized,
  kPeerQueueFull,
  // Work.
  kWorkRefused = 6001,
  kTaskFailed,
  kJobFailsEverywhere,
  kJobFitsNowhere,
  kOutcomeUnknown,
  kRetryBudgetExhausted,
  kTaskPreempted,
  kRequestTimeout,
  // Callers' input.
  kRequestMalformed = 7001,
  kRequestTooLarge,
  kUnauthorized,
  kForbidden,
  kCallerLimited,
  // The cell and its owner.
  kCellAcquired = 8001,
  kCellLost,
  kOwnerLearned,
  kRecoveryFinished,
  kStoreUnavailable,
  kStoreAvailable,
  kConfigInForce,
  kConfigUnreadable,
  kHostEntryUnreadable,
  kJournalUnreadable,
  kSettingsReloaded,
  kMemberListed,
  kCellStatus,
  kAdviceUnanswered,
  kCellClaimed,
  kCellFenced,
  kJournalRead,
  kMembershipOverdue,
  kOwnerPreferred,
  kMemberUnreadable,
  kOwnerFenced,
  kLeasesGranted,
  kLeasesPaused,
  kOwnerSilent,
  kOwnerAnswers,
  kSubmissionsWithdrawn,
  // Decisions about jobs and tasks of the cell.
  kCellJobAccepted = 8101,
  kCellJobRefused,
  kCellJobCancelled,
  kCellJobEnded,
  kCellTaskStarted,
  kCellTaskEnded,
  kCellTaskLost,
  kCellTaskStopped,
  kCellStartFailed,
  kCellStepWaits,
  kCellGangStarted,
  kCellGangStopped,
  kCellMemberAdopted,
  // Changes in what the owner of the cell knows about hosts.
  kCellHostFound = 8201,
  kCellHostGone,
  kCellHostUnreachable,
  kCellHostRestarted,
  kCellHostAvoided,
  // Calls.
  kCallUnanswered = 8301,
  kCallRefused,
  kCallLate,
};

enum class severity { kInfo, kWarning, kError };
std::string_view ToString(severity level);

struct event_description {
  event_number number;
  severity level;
  std::string_view name;
  std::string_view cause;
  // What the operator should do, or "none".
  std::string_view action;
};

// Sorted by number.
std::span<const event_description> EventCatalogue();
// nullptr if there is no such event.
const event_description* FindEvent(event_number number);
// Content of docs/events.md: the catalogue and the error codes that callers receive.
std::string EventsPage();

struct event_field {
  std::string_view key;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;
};

// One line without the newline: "time level event=N name key=value ...". Values with spaces,
// quotes,
// '=' or control characters are quoted and escaped, so that input from callers cannot forge lines
// or fields.
std::string FormatEvent(std::int64_t wall_ms, const event_description& row,
                        std::span<const event_field> fields, std::uint64_t repeated);

struct event_log_options {
  // Receives the lines; must outlive the log. nullptr means std::clog.
  std::ostream* out = nullptr;
  severity min_severity = severity::kInfo;
  // Events with the same number and subject are logged once in this interval; further ones are only
  // counted.
  duration repeat_interval = std::chrono::seconds(10);
  // Number of subjects counted separately for one event number; further ones share one count.
  std::size_t max_subjects = 1024;
  std::function<time_point()> now;
  std::function<std::int64_t()> wall_ms;
};

// Thread-safe. The first field of an event is its subject, for example the host. Write() never
// waits for the stream: a background thread writes the lines, and lines that arrive while its queue
// is full are dropped and counted.
class event_log {
 public:
  explicit event_log(event_log_options options = {});
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  void Write(event_number number, std::span<const event_field> fields);
  void Write(event_number number, std::initializer_list<event_field> fields = {});
  // Waits until all earlier lines, and the counts of repeated events whose interval has ended, are
  // written to the stream. False after the timeout.
  bool Flush(std::chrono::milliseconds timeout);

 private:
  class sink;
  class repeat_filter;
  // Lines with the counts of repeated events and of dropped lines.
  std::vector<std::string> SummaryLines();

  event_log_options options_;
  std::unique_ptr<repeat_filter> filter_;
  // Last member, so that its thread ends before the other members are destroyed.
  std::unique_ptr<sink> sink_;
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_TELEMETRY_EVENTS_H_
