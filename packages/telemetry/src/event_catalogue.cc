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
    event_description{kProcessStarted, kInfo, "process_started", "the process started", "none"},
    event_description{kProcessReady, kInfo, "process_ready",
                      "documents are in force and the process takes work", "none"},
    event_description{kProcessNotReady, kWarning, "process_not_ready",
                      "the process has no documents in force",
                      "check the log service and the peers"},
    event_description{kDrainStarted, kInfo, "drain_started", "a stop or drain was requested",
                      "none"},
    event_description{kDrainFinished, kInfo, "drain_finished",
                      "all requests in flight are answered and all claims released", "none"},
    event_description{kProcessStopped, kInfo, "process_stopped", "the process exits", "none"},
    event_description{kDuplicateName, kError, "duplicate_name",
                      "another process with the same name and a higher incarnation is running",
                      "give each process its own name; this one stops"},
    event_description{kSettingsInvalid, kError, "settings_invalid", "the settings file has errors",
                      "correct the lines that the event names"},
    event_description{kListenFailed, kError, "listen_failed", "an address or port cannot be bound",
                      "free the port or change the setting"},
    event_description{kProcessWasPaused, kWarning, "process_was_paused",
                      "the process did not run for longer than its leases",
                      "look for memory pressure, suspension or an overloaded machine"},
    event_description{kLogLinesDropped, kWarning, "log_lines_dropped",
                      "lines were not written because the reader of the log is too slow",
                      "read the log faster; the metrics still count everything"},
    event_description{kDocumentInForce, kInfo, "document_in_force",
                      "a document version took effect in this process", "none"},
    event_description{kDocumentConflict, kWarning, "document_conflict",
                      "another version was accepted after the base version",
                      "merge with the accepted version that the event names and apply again"},
    event_description{kDocumentInvalid, kWarning, "document_invalid",
                      "a proposed document has errors; nothing was changed",
                      "correct the lines that the event names"},
    event_description{kDocumentsFetched, kInfo, "documents_fetched",
                      "documents were copied from a peer", "none"},
    event_description{kDocumentRestated, kInfo, "document_restated",
                      "a document was appended again before its record leaves the log's retention",
                      "none"},
    event_description{kDocumentsMissing, kWarning, "documents_missing",
                      "neither the log nor any peer has documents",
                      "apply a document or restore the log"},
    event_description{kHostClaimed, kInfo, "host_claimed",
                      "this process claimed the host and its capacity", "none"},
    event_description{kClaimDenied, kInfo, "claim_denied", "another process holds the claim",
                      "none"},
    event_description{kClaimLost, kWarning, "claim_lost",
                      "a claim expired or was taken by another process",
                      "if it repeats, check the load of this process and the network"},
    event_description{kHostLost, kWarning, "host_lost",
                      "a host has been unresponsive for longer than its task leases",
                      "check the host"},
    event_description{kHostLeaving, kInfo, "host_leaving",
                      "the host is leaving and takes no new work", "none"},
    event_description{kHostEjected, kWarning, "host_ejected",
                      "tasks of several jobs fail on this host far more often than on its peers",
                      "check the host; it is probed and reinstated automatically"},
    event_description{kHostReinstated, kInfo, "host_reinstated",
                      "probes on an ejected host succeed", "none"},
    event_description{kHostListUnavailable, kWarning, "host_list_unavailable",
                      "the platform does not answer requests for the host list",
                      "check the platform; hosts already known stay in use"},
    event_description{kHostListMalformed, kWarning, "host_list_malformed",
                      "rows of the host list cannot be parsed and are ignored",
                      "report to the platform"},
    event_description{kHostAnswerMalformed, kWarning, "host_answer_malformed",
                      "an answer of a host cannot be parsed or is inconsistent",
                      "check the version of the host"},
    event_description{kHostOvercommitted, kError, "host_overcommitted",
                      "a host reports more running work than its capacity allows",
                      "report as a bug; the host gets no new work until it has free capacity"},
    event_description{kPartitionAcquired, kInfo, "partition_acquired",
                      "this process became the owner of a partition", "none"},
    event_description{kPartitionLost, kWarning, "partition_lost",
                      "a newer owner of a partition exists", "none, unless it repeats"},
    event_description{kLogUnavailable, kError, "log_unavailable",
                      "the log service does not answer; submissions and keyed requests are refused",
                      "check the log service; accepted work continues"},
    event_description{kLogAvailable, kInfo, "log_available", "the log service answers again",
                      "none"},
    event_description{kRecordMalformed, kError, "record_malformed",
                      "a record in the log cannot be read and is ignored",
                      "look for other writers to the stream that the event names"},
    event_description{
        kSnapshotWritten, kInfo, "snapshot_written",
        "a snapshot of a partition was appended before its records leave the log's retention",
        "none"},
    event_description{kOffsetForgotten, kError, "offset_forgotten",
                      "records were removed from the log before this process read them",
                      "check the log's retention and look for a long outage of this process"},
    event_description{kAppendUnknown, kWarning, "append_unknown",
                      "an append was not acknowledged and is retried", "none, unless it repeats"},
    event_description{kPeerConnected, kInfo, "peer_connected",
                      "the connection to a peer was established", "none"},
    event_description{kPeerDisconnected, kWarning, "peer_disconnected",
                      "the connection to a peer was lost", "check the peer and the network"},
    event_description{kPeerSuspected, kWarning, "peer_suspected", "a peer's heartbeats are overdue",
                      "check the peer and the network"},
    event_description{kPeerRecovered, kInfo, "peer_recovered",
                      "a suspected peer sends heartbeats again", "none"},
    event_description{kPeerGarbage, kWarning, "peer_garbage",
                      "bytes on a peer port are not a frame or cannot be decoded",
                      "find the sender that the event names"},
    event_description{kPeerWrongVersion, kWarning, "peer_wrong_version",
                      "a frame has another protocol version",
                      "upgrade the sender that the event names"},
    event_description{kPeerWrongKey, kWarning, "peer_wrong_key",
                      "the authentication code of a frame is wrong",
                      "give all processes the same key, or find the sender that the event names"},
    event_description{kPeerReplayed, kWarning, "peer_replayed",
                      "a frame was received before, is too old or is for another process",
                      "if it repeats, find the sender that the event names"},
    event_description{kPeerUnknownSender, kWarning, "peer_unknown_sender",
                      "a frame with the right key names a process that is not a peer",
                      "add the process to the peers or stop it"},
    event_description{kPeerOversized, kWarning, "peer_oversized", "a frame exceeds the size limit",
                      "find the sender that the event names"},
    event_description{kPeerQueueFull, kWarning, "peer_queue_full",
                      "a peer receives messages more slowly than they are sent",
                      "check the load of the peer"},
    event_description{kWorkRefused, kWarning, "work_refused",
                      "new work of a class is refused because of overload or a quota",
                      "add hosts or change shares, limits or quotas"},
    event_description{kTaskFailed, kInfo, "task_failed", "a task ran and failed", "none"},
    event_description{kJobFailsEverywhere, kWarning, "job_fails_everywhere",
                      "a job failed on several healthy hosts", "inform the tenant"},
    event_description{kJobFitsNowhere, kWarning, "job_fits_nowhere",
                      "no host is large enough for a task of the job", "inform the tenant"},
    event_description{kOutcomeUnknown, kWarning, "outcome_unknown",
                      "it is not known whether a request ran",
                      "the caller may retry with the same key"},
    event_description{kRetryBudgetExhausted, kWarning, "retry_budget_exhausted",
                      "failures exceed the retry budget; failed attempts are not retried",
                      "look for failing targets"},
    event_description{kTaskPreempted, kInfo, "task_preempted",
                      "a task was stopped to free capacity for a class below its share", "none"},
    event_description{kRequestTimeout, kWarning, "request_timeout",
                      "a caller's request was not answered in time", "look for slow targets"},
    event_description{kRequestMalformed, kInfo, "request_malformed",
                      "a caller's request cannot be parsed", "inform the caller"},
    event_description{kRequestTooLarge, kInfo, "request_too_large",
                      "a caller's headers or body exceed the limit", "inform the caller"},
    event_description{kUnauthorized, kWarning, "unauthorized", "a call carries no valid token",
                      "find the sender that the event names"},
    event_description{kForbidden, kWarning, "forbidden", "a token does not allow the call",
                      "give the caller another token if it should be allowed"},
    event_description{
        kCallerLimited, kWarning, "caller_limited",
        "requests were refused, or connections of callers closed, because of the limit "
        "that the event names",
        "none; if ordinary callers meet it, look for callers that send too much"},
    event_description{kCellAcquired, kInfo, "cell_acquired",
                      "the store assigned the cell to this process and the journal was read",
                      "none"},
    event_description{
        kCellLost, kWarning, "cell_lost", "this process no longer owns the cell",
        "look for cell_acquired of another process; the field cause gives the reason"},
    event_description{kOwnerLearned, kInfo, "owner_learned",
                      "calls are sent to another owner of the cell", "none"},
    event_description{kRecoveryFinished, kInfo, "recovery_finished",
                      "after a change of the cell's owner, every host was polled or counts as lost",
                      "none"},
    event_description{kStoreUnavailable, kWarning, "store_unavailable",
                      "the platform's store does not answer", "check the store and the network"},
    event_description{kStoreAvailable, kInfo, "store_available",
                      "the platform's store answers again", "none"},
    event_description{
        kConfigInForce, kInfo, "config_in_force",
        "a newer version of the configuration took effect in this process; `source` is the "
        "store, or the owner if the store turns this process away",
        "none"},
    event_description{kConfigUnreadable, kError, "config_unreadable",
                      "the configuration cannot be parsed; the previous one stays in force",
                      "correct the configuration in the store"},
    event_description{kHostEntryUnreadable, kWarning, "host_entry_unreadable",
                      "an entry of the host list does not describe a usable host",
                      "report to the platform"},
    event_description{kJournalUnreadable, kError, "journal_unreadable",
                      "a record of the journal cannot be decoded; its job stays known, but none of "
                      "its tasks start",
                      "look for a process with another version; cancel the job if there is none"},
    event_description{kSettingsReloaded, kInfo, "settings_reloaded",
                      "the settings file was read again", "none"},
    event_description{kMemberListed, kInfo, "member_listed",
                      "this process registered itself so that its peers can find it", "none"},
    event_description{kCellStatus, kInfo, "cell_status",
                      "periodic summary of the open work of the cell's owner", "none"},
    event_description{
        kAdviceUnanswered, kWarning, "advice_unanswered",
        "a process returned no answer of the policy service; it is not asked for a while",
        "check that process and the policy service"},
    event_description{
        kCellClaimed, kInfo, "cell_claimed",
        "the store accepted this process's claim to the cell; after_ms is the time that it took",
        "none"},
    event_description{kCellFenced, kInfo, "cell_fenced",
                      "earlier owners of the cell can no longer write", "none"},
    event_description{kJournalRead, kInfo, "journal_read",
                      "the new owner has read the journal or the host list", "none"},
    event_description{
        kMembershipOverdue, kWarning, "membership_overdue",
        "the store has confirmed no renewal of this process's membership for its time "
        "to live; after_ms is the age of the last one",
        "check the load of the process and the connection to the store"},
    event_description{kOwnerPreferred, kInfo, "owner_preferred",
                      "another member is preferred as the owner of the cell; the field cause gives "
                      "the reason",
                      "none"},
    event_description{kMemberUnreadable, kWarning, "member_unreadable",
                      "the group or a claim names a member whose name cannot be parsed; it is "
                      "ignored",
                      "check whether processes of another version run"},
    event_description{kOwnerFenced, kInfo, "owner_fenced",
                      "an earlier owner of the cell renews no lease any more; the subject is its "
                      "address",
                      "none"},
    event_description{kLeasesGranted, kInfo, "leases_granted",
                      "the owner of the cell renews leases from now on", "none"},
    event_description{
        kLeasesPaused, kWarning, "leases_paused",
        "the store has not confirmed the ownership of the cell for after_ms, so the owner renews "
        "no lease and starts no task; work ends when its lease expires",
        "check the store and the network"},
    event_description{kOwnerSilent, kWarning, "owner_silent",
                      "the owner of the cell does not answer this process; calls ask the other "
                      "processes for a newer one",
                      "look for owner_answers or owner_learned; else check the network"},
    event_description{kOwnerAnswers, kInfo, "owner_answers",
                      "the owner of the cell answers this process again", "none"},
    event_description{kSubmissionsWithdrawn, kWarning, "submissions_withdrawn",
                      "the store does not answer; submissions that were not sent to it yet are "
                      "refused, and their callers told when to return",
                      "check the platform's store"},
    event_description{kCellJobAccepted, kInfo, "job_accepted",
                      "a job was accepted and is written to the journal", "none"},
    event_description{kCellJobRefused, kInfo, "job_refused", "a job was refused and will not run",
                      "none"},
    event_description{kCellJobCancelled, kInfo, "job_cancelled", "the caller cancelled the job",
                      "none"},
    event_description{kCellJobEnded, kInfo, "job_ended", "the job ended", "none"},
    event_description{kCellTaskStarted, kInfo, "task_started",
                      "a host was chosen for a task and told to start it", "none"},
    event_description{kCellTaskEnded, kInfo, "task_ended", "a host reported the end of a run",
                      "none"},
    event_description{kCellTaskLost, kWarning, "task_lost",
                      "a run ended without a report; the task is run again", "check the host"},
    event_description{kCellTaskStopped, kInfo, "task_stopped", "a host was told to stop a run",
                      "none"},
    event_description{kCellStartFailed, kWarning, "start_failed",
                      "a host refused a start or did not answer it",
                      "check the host if it repeats"},
    event_description{kCellStepWaits, kInfo, "step_waits",
                      "a step has waited for a long time; the field cause gives the reason",
                      "none"},
    event_description{kCellGangStarted, kInfo, "gang_started",
                      "hosts have confirmed all members of a gang; after_ms counts from its start",
                      "none"},
    event_description{
        kCellGangStopped, kInfo, "gang_stopped",
        "a gang is stopped as a whole; the field cause gives the reason and the state "
        "of its members",
        "none"},
    event_description{kCellMemberAdopted, kInfo, "member_adopted",
                      "a host reports a member of a gang that an earlier owner started", "none"},
    event_description{kCellHostFound, kInfo, "host_found", "the host list contains a new host",
                      "none"},
    event_description{kCellHostGone, kInfo, "host_gone",
                      "the host list no longer contains the host", "none"},
    event_description{kCellHostUnreachable, kWarning, "host_unreachable",
                      "a host does not answer; it gets no work", "check the host and the network"},
    event_description{kCellHostRestarted, kInfo, "host_restarted",
                      "a host restarted and lost its running tasks", "none"},
    event_description{kCellHostAvoided, kWarning, "host_avoided",
                      "a host gets no work for a while; the field cause gives the reason",
                      "check the host if it repeats"},
    event_description{kCallUnanswered, kWarning, "call_unanswered",
                      "no owner of the cell answered a call in time", "look for cell_acquired"},
    event_description{kCallRefused, kInfo, "call_refused",
                      "the owner refused a call of which an earlier attempt got no answer", "none"},
    event_description{
        kCallLate, kWarning, "call_late",
        "an attempt to pass a call to the owner arrived after its sender had given it "
        "up; the field outcome tells whether the owner acted on it",
        "check the network between the processes"},
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

std::span<const event_description> EventCatalogue() { return kRows; }

const event_description* FindEvent(event_number number) {
  const auto found = std::lower_bound(
      kRows.begin(), kRows.end(), number,
      [](const event_description& row, event_number wanted) { return row.number < wanted; });
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
  for (const event_description& row : kRows) {
    AppendRow(page, {std::to_string(static_cast<int>(row.number)), ToString(row.level), row.name,
                     row.cause, row.action});
  }
  page +=
      "\n## Errors\n\n`code` and `error` of an error answer, and what is known about the work.\n\n";
  AppendErrors(page);
  return page;
}

}  // namespace sycamorehinge
