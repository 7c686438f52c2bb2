#include <algorithm>
#include <array>
#include <system_error>

#include "sycamorehinge/core/error.h"
#include "sycamorehinge/telemetry/events.h"

namespace sycamorehinge {

namespace {

constexpr auto kInfo = severity::kInfo;
constexpr auto kWarning = severity::kWarning;
constexpr auto kError = severity::kError;

using enum event_number;

constexpr std::array kRows = {
    event_row{kProcessStarted, kInfo, "process_started", "the process started", "none"},
    event_row{kProcessReady, kInfo, "process_ready",
              "documents are in force and the process takes work", "none"},
    event_row{kProcessNotReady, kWarning, "process_not_ready",
              "the process has no documents in force", "check the log service and the peers"},
    event_row{kDrainStarted, kInfo, "drain_started", "a stop or drain was requested", "none"},
    event_row{kDrainFinished, kInfo, "drain_finished",
              "all requests in flight are answered and all claims released", "none"},
    event_row{kProcessStopped, kInfo, "process_stopped", "the process exits", "none"},
    event_row{kDuplicateName, kError, "duplicate_name",
              "another process with the same name and a higher incarnation is running",
              "give each process its own name; this one stops"},
    event_row{kSettingsInvalid, kError, "settings_invalid", "the settings file has errors",
              "correct the lines that the event names"},
    event_row{kListenFailed, kError, "listen_failed", "an address or port cannot be bound",
              "free the port or change the setting"},
    event_row{kProcessWasPaused, kWarning, "process_was_paused",
              "the process did not run for longer than its leases",
              "look for memory pressure, suspension or an overloaded machine"},
    event_row{kLogLinesDropped, kWarning, "log_lines_dropped",
              "lines were not written because the reader of the log is too slow",
              "read the log faster; the metrics still count everything"},
    event_row{kDocumentInForce, kInfo, "document_in_force",
              "a document version took effect in this process", "none"},
    event_row{kDocumentConflict, kWarning, "document_conflict",
              "another version was accepted after the base version",
              "merge with the accepted version that the event names and apply again"},
    event_row{kDocumentInvalid, kWarning, "document_invalid",
              "a proposed document has errors; nothing was changed",
              "correct the lines that the event names"},
    event_row{kDocumentsFetched, kInfo, "documents_fetched", "documents were copied from a peer",
              "none"},
    event_row{kDocumentRestated, kInfo, "document_restated",
              "a document was appended again before its record leaves the log's retention", "none"},
    event_row{kDocumentsMissing, kWarning, "documents_missing",
              "neither the log nor any peer has documents", "apply a document or restore the log"},
    event_row{kHostClaimed, kInfo, "host_claimed", "this process claimed the host and its capacity",
              "none"},
    event_row{kClaimDenied, kInfo, "claim_denied", "another process holds the claim", "none"},
    event_row{kClaimLost, kWarning, "claim_lost", "a claim expired or was taken by another process",
              "if it repeats, check the load of this process and the network"},
    event_row{kHostLost, kWarning, "host_lost",
              "a host has been unresponsive for longer than its task leases", "check the host"},
    event_row{kHostLeaving, kInfo, "host_leaving", "the host is leaving and takes no new work",
              "none"},
    event_row{kHostEjected, kWarning, "host_ejected",
              "tasks of several jobs fail on this host far more often than on its peers",
              "check the host; it is probed and reinstated automatically"},
    event_row{kHostReinstated, kInfo, "host_reinstated", "probes on an ejected host succeed",
              "none"},
    event_row{kHostListUnavailable, kWarning, "host_list_unavailable",
              "the platform does not answer requests for the host list",
              "check the platform; hosts already known stay in use"},
    event_row{kHostListMalformed, kWarning, "host_list_malformed",
              "rows of the host list cannot be parsed and are ignored", "report to the platform"},
    event_row{kHostAnswerMalformed, kWarning, "host_answer_malformed",
              "an answer of a host cannot be parsed or is inconsistent",
              "check the version of the host"},
    event_row{kHostOvercommitted, kError, "host_overcommitted",
              "a host reports more running work than its capacity allows",
              "report as a bug; the host gets no new work until it has free capacity"},
    event_row{kPartitionAcquired, kInfo, "partition_acquired",
              "this process became the owner of a partition", "none"},
    event_row{kPartitionLost, kWarning, "partition_lost", "a newer owner of a partition exists",
              "none, unless it repeats"},
    event_row{kLogUnavailable, kError, "log_unavailable",
              "the log service does not answer; submissions and keyed requests are refused",
              "check the log service; accepted work continues"},
    event_row{kLogAvailable, kInfo, "log_available", "the log service answers again", "none"},
    event_row{kRecordMalformed, kError, "record_malformed",
              "a record in the log cannot be read and is ignored",
              "look for other writers to the stream that the event names"},
    event_row{kSnapshotWritten, kInfo, "snapshot_written",
              "a snapshot of a partition was appended before its records leave the log's retention",
              "none"},
    event_row{kOffsetForgotten, kError, "offset_forgotten",
              "records were removed from the log before this process read them",
              "check the log's retention and look for a long outage of this process"},
    event_row{kAppendUnknown, kWarning, "append_unknown",
              "an append was not acknowledged and is retried", "none, unless it repeats"},
    event_row{kPeerConnected, kInfo, "peer_connected", "the connection to a peer was established",
              "none"},
    event_row{kPeerDisconnected, kWarning, "peer_disconnected", "the connection to a peer was lost",
              "check the peer and the network"},
    event_row{kPeerSuspected, kWarning, "peer_suspected", "a peer's heartbeats are overdue",
              "check the peer and the network"},
    event_row{kPeerRecovered, kInfo, "peer_recovered", "a suspected peer sends heartbeats again",
              "none"},
    event_row{kPeerGarbage, kWarning, "peer_garbage",
              "bytes on a peer port are not a frame or cannot be decoded",
              "find the sender that the event names"},
    event_row{kPeerWrongVersion, kWarning, "peer_wrong_version",
              "a frame has another protocol version", "upgrade the sender that the event names"},
    event_row{kPeerWrongKey, kWarning, "peer_wrong_key",
              "the authentication code of a frame is wrong",
              "give all processes the same key, or find the sender that the event names"},
    event_row{kPeerReplayed, kWarning, "peer_replayed",
              "a frame was received before, is too old or is for another process",
              "if it repeats, find the sender that the event names"},
    event_row{kPeerUnknownSender, kWarning, "peer_unknown_sender",
              "a frame with the right key names a process that is not a peer",
              "add the process to the peers or stop it"},
    event_row{kPeerOversized, kWarning, "peer_oversized", "a frame exceeds the size limit",
              "find the sender that the event names"},
    event_row{kPeerQueueFull, kWarning, "peer_queue_full",
              "a peer receives messages more slowly than they are sent",
              "check the load of the peer"},
    event_row{kWorkRefused, kWarning, "work_refused",
              "new work of a class is refused because of overload or a quota",
              "add hosts or change shares, limits or quotas"},
    event_row{kTaskFailed, kInfo, "task_failed", "a task ran and failed", "none"},
    event_row{kJobFailsEverywhere, kWarning, "job_fails_everywhere",
              "a job failed on several healthy hosts", "inform the tenant"},
    event_row{kJobFitsNowhere, kWarning, "job_fits_nowhere",
              "no host is large enough for a task of the job", "inform the tenant"},
    event_row{kOutcomeUnknown, kWarning, "outcome_unknown", "it is not known whether a request ran",
              "the caller may retry with the same key"},
    event_row{kRetryBudgetExhausted, kWarning, "retry_budget_exhausted",
              "failures exceed the retry budget; failed attempts are not retried",
              "look for failing targets"},
    event_row{kTaskPreempted, kInfo, "task_preempted",
              "a task was stopped to free capacity for a class below its share", "none"},
    event_row{kRequestTimeout, kWarning, "request_timeout",
              "a caller's request was not answered in time", "look for slow targets"},
    event_row{kRequestMalformed, kInfo, "request_malformed", "a caller's request cannot be parsed",
              "inform the caller"},
    event_row{kRequestTooLarge, kInfo, "request_too_large",
              "a caller's headers or body exceed the limit", "inform the caller"},
    event_row{kUnauthorized, kWarning, "unauthorized", "a call carries no valid token",
              "find the sender that the event names"},
    event_row{kForbidden, kWarning, "forbidden", "a token does not allow the call",
              "give the caller another token if it should be allowed"},
    event_row{kCellAcquired, kInfo, "cell_acquired",
              "the store assigned the cell to this process and the journal was read", "none"},
    event_row{kCellLost, kWarning, "cell_lost", "this process no longer owns the cell",
              "look for cell_acquired of another process; the field cause gives the reason"},
    event_row{kOwnerLearned, kInfo, "owner_learned", "calls are sent to another owner of the cell",
              "none"},
    event_row{kRecoveryFinished, kInfo, "recovery_finished",
              "after a change of the cell's owner, every host was polled or counts as lost",
              "none"},
    event_row{kStoreUnavailable, kWarning, "store_unavailable",
              "the platform's store does not answer", "check the store and the network"},
    event_row{kStoreAvailable, kInfo, "store_available", "the platform's store answers again",
              "none"},
    event_row{kConfigInForce, kInfo, "config_in_force",
              "a newer version of the configuration took effect in this process", "none"},
    event_row{kConfigUnreadable, kError, "config_unreadable",
              "the configuration cannot be parsed; the previous one stays in force",
              "correct the configuration in the store"},
    event_row{kHostEntryUnreadable, kWarning, "host_entry_unreadable",
              "an entry of the host list does not describe a usable host",
              "report to the platform"},
    event_row{kJournalUnreadable, kError, "journal_unreadable",
              "a record of the journal cannot be decoded and is ignored",
              "look for a process with another version"},
    event_row{kSettingsReloaded, kInfo, "settings_reloaded", "the settings file was read again",
              "none"},
    event_row{kMemberListed, kInfo, "member_listed",
              "this process registered itself so that its peers can find it", "none"},
    event_row{kCellStatus, kInfo, "cell_status",
              "periodic summary of the open work of the cell's owner", "none"},
    event_row{kAdviceUnanswered, kWarning, "advice_unanswered",
              "a process returned no answer of the policy service; it is not asked for a while",
              "check that process and the policy service"},
    event_row{
        kCellClaimed, kInfo, "cell_claimed",
        "the store accepted this process's claim to the cell; after_ms is the time that it took",
        "none"},
    event_row{kCellFenced, kInfo, "cell_fenced", "earlier owners of the cell can no longer write",
              "none"},
    event_row{kJournalRead, kInfo, "journal_read",
              "the new owner has read the journal or the host list", "none"},
    event_row{kCellJobAccepted, kInfo, "job_accepted",
              "a job was accepted and is written to the journal", "none"},
    event_row{kCellJobRefused, kInfo, "job_refused", "a job was refused and will not run", "none"},
    event_row{kCellJobCancelled, kInfo, "job_cancelled", "the caller cancelled the job", "none"},
    event_row{kCellJobEnded, kInfo, "job_ended", "the job ended", "none"},
    event_row{kCellTaskStarted, kInfo, "task_started",
              "a host was chosen for a task and told to start it", "none"},
    event_row{kCellTaskEnded, kInfo, "task_ended", "a host reported the end of a run", "none"},
    event_row{kCellTaskLost, kWarning, "task_lost",
              "a run ended without a report; the task is run again", "check the host"},
    event_row{kCellTaskStopped, kInfo, "task_stopped", "a host was told to stop a run", "none"},
    event_row{kCellStartFailed, kWarning, "start_failed",
              "a host refused a start or did not answer it", "check the host if it repeats"},
    event_row{kCellStepWaits, kInfo, "step_waits",
              "a step has waited for a long time; the field cause gives the reason", "none"},
    event_row{kCellHostFound, kInfo, "host_found", "the host list contains a new host", "none"},
    event_row{kCellHostGone, kInfo, "host_gone", "the host list no longer contains the host",
              "none"},
    event_row{kCellHostUnreachable, kWarning, "host_unreachable",
              "a host does not answer; it gets no work", "check the host and the network"},
    event_row{kCellHostRestarted, kInfo, "host_restarted",
              "a host restarted and lost its running tasks", "none"},
    event_row{kCellHostAvoided, kWarning, "host_avoided",
              "a host gets no work for a while; the field cause gives the reason",
              "check the host if it repeats"},
    event_row{kCallUnanswered, kWarning, "call_unanswered",
              "no owner of the cell answered a call in time", "look for cell_acquired"},
};

std::string_view OutcomeName(work_outcome outcome) {
  switch (outcome) {
    case work_outcome::kNotRun:
      return "not run";
    case work_outcome::kUnknown:
      return "unknown";
    case work_outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

void AppendRow(std::string& page, std::initializer_list<std::string_view> cells) {
  page += "|";
  for (const std::string_view cell : cells) {
    page += " ";
    page += cell;
    page += " |";
  }
  page += "\n";
}

void AppendErrors(std::string& page) {
  // All errc numbers are smaller.
  constexpr int kErrorBound = 300;
  AppendRow(page, {"number", "name", "meaning", "work"});
  AppendRow(page, {"---", "---", "---", "---"});
  for (int number = 1; number < kErrorBound; ++number) {
    const auto code = static_cast<errc>(number);
    if (ErrorByName(ErrorName(code)) != code) continue;
    AppendRow(page, {std::to_string(number), ErrorName(code), make_error_code(code).message(),
                     OutcomeName(OutcomeOf(code))});
  }
}

}  // namespace

std::string_view ToString(severity level) {
  switch (level) {
    case severity::kInfo:
      return "info";
    case severity::kWarning:
      return "warning";
    case severity::kError:
      return "error";
  }
  return "error";
}

std::span<const event_row> EventCatalogue() { return kRows; }

const event_row* FindEvent(event_number number) {
  const auto found = std::lower_bound(
      kRows.begin(), kRows.end(), number,
      [](const event_row& row, event_number wanted) { return row.number < wanted; });
  return found != kRows.end() && found->number == number ? &*found : nullptr;
}

std::string EventsPage() {
  std::string page =
      "# Events and errors\n\n"
      "This page is generated from the catalogue in `packages/telemetry`; its test checks it.\n\n"
      "## Events\n\n"
      "One line each: `time level event=N name key=value ...`. Events of the same number and\n"
      "first field are logged once in an interval; `repeated=K` counts those not logged.\n\n";
  AppendRow(page, {"number", "level", "name", "cause", "action"});
  AppendRow(page, {"---", "---", "---", "---", "---"});
  for (const event_row& row : kRows) {
    AppendRow(page, {std::to_string(static_cast<int>(row.number)), ToString(row.level), row.name,
                     row.cause, row.action});
  }
  page +=
      "\n## Errors\n\n`code` and `error` of an error answer, and what is known about the work.\n\n";
  AppendErrors(page);
  return page;
}

}  // namespace sycamorehinge
