/** Log events of the gateway, 800 to 899.
 *
 * @module
 */
import type { LogEvent } from "@banyanlb/core";

/** Maximum number of parts of a prompt in the line about a request. */
export const LOGGED_PARTS_MAX = 16;

/** The gateway has opened its listeners. The fields give the name of this
 * instance and its addresses. */
export const STARTED: LogEvent = {
  id: 800,
  severity: "info",
  text: "gateway started",
};

/** SIGTERM was received. Requests are served until the process exits. */
export const STOPPING: LogEvent = {
  id: 801,
  severity: "info",
  text: "gateway is stopping",
};

/** A gateway that is stopping takes no more requests. It answers the `active` ones,
 * and refuses those that are still being read on its `connections`. */
export const INTAKE_CLOSED: LogEvent = {
  id: 886,
  severity: "info",
  text: "gateway takes no more requests",
};

/** The gateway has stopped; the process exits. */
export const STOPPED: LogEvent = {
  id: 802,
  severity: "info",
  text: "gateway stopped",
};

/** SIGHUP was received and the settings file was read without errors. Changed
 * settings take effect at the next start. */
export const SETTINGS_REREAD: LogEvent = {
  id: 803,
  severity: "info",
  text: "settings file read again",
};

/** SIGHUP was received, but the settings file could not be read or is invalid.
 * The current settings stay in force. */
export const SETTINGS_INVALID: LogEvent = {
  id: 804,
  severity: "error",
  text: "settings file not read; current settings stay in force",
};

/** An unexpected error was caught at the top level of the process, of a request
 * or of a periodic task. */
export const UNEXPECTED_ERROR: LogEvent = {
  id: 805,
  severity: "error",
  text: "unexpected error",
};

/** The store does not respond to requests for one kind of record. */
export const STORE_UNAVAILABLE: LogEvent = {
  id: 810,
  severity: "warn",
  text: "store unavailable",
};

/** The store responds again to requests for one kind of record. */
export const STORE_RECOVERED: LogEvent = {
  id: 811,
  severity: "info",
  text: "store available again",
};

/** A newer version of the configuration has been applied. `source` tells whether
 * it came from a watch or a list of the store, or from a peer. */
export const CONFIGURATION_APPLIED: LogEvent = {
  id: 812,
  severity: "info",
  text: "configuration applied",
};

/** An engine was added to or removed from the engine list, or its state
 * changed. */
export const ENGINE_CHANGED: LogEvent = {
  id: 813,
  severity: "info",
  text: "engine changed",
};

/** An entry of the engine list could not be decoded as an engine. */
export const ENGINE_ENTRY_IGNORED: LogEvent = {
  id: 814,
  severity: "warn",
  text: "engine list entry ignored",
};

/** A newer version of an adapter was announced. */
export const VERSION_ANNOUNCED: LogEvent = {
  id: 815,
  severity: "info",
  text: "adapter version announced",
};

/** A peer had newer records than this instance had received from the store.
 * They were fetched from the peer. */
export const RECORDS_FETCHED_FROM_PEER: LogEvent = {
  id: 816,
  severity: "info",
  text: "records fetched from a peer",
};

/** A watch of one kind of record ended without a reply: its call failed, it was
 * restarted, or the store no longer has the changes since `from`, the revision
 * at which it started. `waitedMs` is how long it had waited. */
export const WATCH_INTERRUPTED: LogEvent = {
  id: 817,
  severity: "info",
  text: "watch interrupted",
};

/** The store replied to a watch. Written for every watch of the configuration,
 * and for the first reply to another kind after an interrupted watch. `from` is
 * the revision at which the watch started, `revision` the one at which it
 * continues, and `changes` how many changes the reply contained. */
export const WATCH_ANSWERED: LogEvent = {
  id: 818,
  severity: "info",
  text: "watch answered",
};

/** A configuration was received that is not put in force: it could not be
 * decoded, or its version is lower than the one in force. */
export const CONFIGURATION_IGNORED: LogEvent = {
  id: 819,
  severity: "warn",
  text: "configuration ignored; the one in force stays",
};

/** A watch had not reported a change that a list or a peer had brought some
 * time before. It is restarted. */
export const WATCH_SILENT: LogEvent = {
  id: 828,
  severity: "warn",
  text: "watch has not reported a known change; restarted",
};

/** The store did not answer a list that was to confirm the records of one kind,
 * or answered with an older list. `ageMs` is the time since the records were
 * last confirmed. Written for the first failure in a row. */
export const CONFIRMATION_FAILED: LogEvent = {
  id: 829,
  severity: "warn",
  text: "records not confirmed by the store",
};

/** The first digest of a peer was received, or the first after the peer had
 * been unresponsive. */
export const PEER_REACHABLE: LogEvent = {
  id: 820,
  severity: "info",
  text: "peer reachable",
};

/** No digest of a peer has been received for too long. */
export const PEER_UNRESPONSIVE: LogEvent = {
  id: 821,
  severity: "warn",
  text: "peer unresponsive",
};

/** The entry of a member that had not renewed it for a whole lease term was
 * removed from the store. */
export const MEMBER_REMOVED: LogEvent = {
  id: 822,
  severity: "warn",
  text: "expired member entry removed",
};

/** The renewal of this instance's own member entry failed. If no renewal
 * succeeds before the lease term ends, this instance stops sending orders. */
export const RENEWAL_FAILED: LogEvent = {
  id: 823,
  severity: "warn",
  text: "member entry not renewed; orders stop when the lease term ends",
};

/** This instance wrote the assignment of engines to their owners. */
export const ASSIGNMENT_WRITTEN: LogEvent = {
  id: 824,
  severity: "info",
  text: "engine assignment written",
};

/** This instance became, or ceased to be, the owner of an engine: the instance
 * that sends load and unload orders to it. */
export const OWNERSHIP_CHANGED: LogEvent = {
  id: 825,
  severity: "info",
  text: "engine ownership changed",
};

/** A message of a peer could not be decoded. The connection to the peer is
 * re-established. */
export const PEER_MESSAGE_INVALID: LogEvent = {
  id: 826,
  severity: "error",
  text: "invalid peer message",
};

/** An engine turned a request away and asked this instance to send it nothing
 * for `pauseMs`. Written for the first of a pause. */
export const ENGINE_PAUSED: LogEvent = {
  id: 861,
  severity: "info",
  text: "engine asked for a pause",
};

/** An engine said in its answer to a request that it is leaving, or, after it had
 * said so, that it is not. Requests go to other engines. */
export const ENGINE_LEAVING_SAID: LogEvent = {
  id: 862,
  severity: "info",
  text: "engine said whether it is leaving",
};

/** A row of a digest could not be applied. `peer` is the instance that reported
 * it; its other rows, and those of other instances, are applied. */
export const PEER_ROW_INVALID: LogEvent = {
  id: 860,
  severity: "error",
  text: "invalid row of a peer",
};

/** The member entries or the assignment could not be checked or updated, since
 * a call to the store failed. The next periodic check tries again. */
export const MEMBERSHIP_CHECK_FAILED: LogEvent = {
  id: 827,
  severity: "warn",
  text: "members and assignment not checked",
};

/** An engine replied to a load or unload order and did not refuse it. */
export const ORDER_ANSWERED: LogEvent = {
  id: 830,
  severity: "info",
  text: "order answered",
};

/** An engine refused a load or unload order or did not reply to it. */
export const ORDER_FAILED: LogEvent = {
  id: 831,
  severity: "warn",
  text: "order not accepted",
};

/** An engine's response was forwarded to the caller. */
export const REQUEST_SERVED: LogEvent = {
  id: 840,
  severity: "info",
  text: "request served",
};

/** The gateway refused a request. It did not run. */
export const REQUEST_REFUSED: LogEvent = {
  id: 841,
  severity: "warn",
  text: "request refused",
};

/** A request failed. An engine may have run it. */
export const REQUEST_FAILED: LogEvent = {
  id: 842,
  severity: "warn",
  text: "request failed",
};

/** One attempt at an engine failed, or another engine goes on with the request of
 * one that sent nothing; `next` is that engine. Another attempt may follow. */
export const ATTEMPT_FAILED: LogEvent = {
  id: 843,
  severity: "warn",
  text: "attempt failed",
};

/** The caller disconnected before an attempt at an engine. No further attempt
 * is made. */
export const CALLER_DISCONNECTED: LogEvent = {
  id: 844,
  severity: "info",
  text: "caller disconnected",
};

/** A request was refused because its workspace has exceeded its rate limit:
 * `left` units remain of this instance's `share` of the limit, and the instances
 * that were `asked` lent none. */
export const RATE_EXCEEDED: LogEvent = {
  id: 845,
  severity: "info",
  text: "workspace rate limit exceeded",
};

/** An engine ended while it ran requests. `suspects` are the requests of this
 * instance whose answers had not got past their beginning. Each has the parts of
 * its prompt and, as `request`, the key of the whole request, with the crashes and
 * the answers that are known of them; `others` had got past it. */
export const ENGINE_CRASHED: LogEvent = {
  id: 846,
  severity: "warn",
  text: "engine crashed",
};

/** Requests with a part of a prompt, or one whole request, are refused from now
 * on, because the `part` or the `request` explains crashes of engines. `reason`
 * tells whether this instance concluded so from the evidence, or adopted it from
 * a peer or from the store. */
export const SUSPECT_HELD: LogEvent = {
  id: 847,
  severity: "warn",
  text: "prompt part or request held: it crashes engines",
};

/** Requests with a part of a prompt, or one whole request, are sent again: the
 * evidence no longer speaks against the `part` or the `request`, its trial was
 * answered, nobody asked for it for long, or a peer released it. */
export const SUSPECT_RELEASED: LogEvent = {
  id: 848,
  severity: "info",
  text: "prompt part or request released",
};

/** A request was refused because a `part` of its prompt is held, or the `request`
 * itself. The fields are the evidence: crashes that this explains, answers on it,
 * trials, and how long it has been held. */
export const SUSPECT_REFUSED: LogEvent = {
  id: 849,
  severity: "info",
  text: "held request or request with a held prompt part refused",
};

/** A request is sent to try whether the held `part` or `request` still crashes
 * engines. */
export const SUSPECT_TRIED: LogEvent = {
  id: 850,
  severity: "info",
  text: "held prompt part or request tried",
};

/** What is held could not be read from the store or written to it. */
export const HOLDS_NOT_STORED: LogEvent = {
  id: 851,
  severity: "warn",
  text: "holds not read or written",
};

/** An engine names a limit on the requests a second from all instances, has
 * changed it, or, without `limit`, names none any more. `share` is the part of
 * it that this instance may send. */
export const ENGINE_LIMIT_CHANGED: LogEvent = {
  id: 852,
  severity: "info",
  text: "engine's limit on requests changed",
};

/** A request was refused because this instance may send no engine of the service
 * a request now: all name a limit. For each engine the limit, the age of the
 * response that showed it, and the share of this instance. */
export const ENGINE_LIMITS_REACHED: LogEvent = {
  id: 853,
  severity: "info",
  text: "limits of all engines reached",
};

/** The caller disconnected during an attempt, which is aborted. `startMs` is the
 * time from the arrival of the request to the start of the attempt,
 * `connectionMs` the time from there until the request was written to a
 * connection, left out if it was not, and `leftMs` the time until the caller's
 * own deadline. */
export const CALLER_LEFT_ATTEMPT: LogEvent = {
  id: 854,
  severity: "info",
  text: "caller disconnected during an attempt",
};

/** The event loop stood still: a periodic check ran late by `delayMs`. */
export const EVENT_LOOP_DELAYED: LogEvent = {
  id: 855,
  severity: "warn",
  text: "event loop delayed",
};

/** A reply of the store was large, or its body was under way for long. `bytes`
 * is what arrived of the body, `bodyMs` the time since its head arrived, left
 * out if none did. */
export const STORE_TRANSFER_LONG: LogEvent = {
  id: 856,
  severity: "info",
  text: "large or slow reply of the store",
};

/** A peer did not reply in time to a request for all its records of one kind. */
export const PULL_UNANSWERED: LogEvent = {
  id: 857,
  severity: "warn",
  text: "records not received from a peer",
};

/** Once a second for each workspace of whose share more than half is used, or
 * for which units were asked of other instances. `shareUnits` is what this
 * instance may admit within a window by itself, `left` what remains of it. Since
 * the last line: `lent` units to other instances, `borrowed` from them, and
 * `asked` questions to them, of which `unanswered` got no reply in time. */
export const RATE_STATE: LogEvent = {
  id: 858,
  severity: "info",
  text: "use of a workspace's limit",
};

/** A record of the store is malformed. It names no member, or the owners that it
 * should name stay as they were. `kind` and `name` are the record's. */
export const RECORD_IGNORED: LogEvent = {
  id: 859,
  severity: "warn",
  text: "malformed record ignored",
};

/** A listener could not be opened, since its address is in use or not assigned
 * yet, or no descriptor is free. It is tried again. */
export const ADDRESS_NOT_FREE: LogEvent = {
  id: 863,
  severity: "warn",
  text: "address not free yet",
};

/** The settings file is missing, empty or incomplete at the start. It is read
 * again for a few seconds, since it may be about to be written. */
export const SETTINGS_AWAITED: LogEvent = {
  id: 864,
  severity: "warn",
  text: "settings file not complete yet",
};

/** A part of the configuration in force does not have the effect that it seems to
 * have. `path`, `problem` and `remedy` say what to correct. */
export const CONFIGURATION_PROBLEM: LogEvent = {
  id: 865,
  severity: "warn",
  text: "part of the configuration has no effect or refuses requests",
};

/** An operator's evacuation of a zone has become known here, or its end. Its
 * engines get no further request while it is in force. `ms` is how long it was in
 * force. */
export const EVACUATION_CHANGED: LogEvent = {
  id: 866,
  severity: "info",
  text: "evacuation of a zone changed",
};

/** An evacuation names a zone that the deployment does not have. It has no
 * effect. */
export const EVACUATION_WITHOUT_ZONE: LogEvent = {
  id: 867,
  severity: "warn",
  text: "evacuation of an unknown zone",
};

/** The last request of this instance at an engine of an evacuated zone has ended;
 * `ms` is the time since the evacuation became known here. */
export const EVACUATION_COMPLETE: LogEvent = {
  id: 868,
  severity: "info",
  text: "no more requests in an evacuated zone",
};

/** An engine is cold for `leftMs`: it gets few requests, `share` a second from
 * this instance. `source` says how that became known: from its list entry, from
 * the engine itself, from a peer, or because the evacuation of its zone has
 * ended. */
export const ENGINE_WARM_UP: LogEvent = {
  id: 869,
  severity: "info",
  text: "engine is cold",
};

/** An engine's entry names a time for which it stays cold that cannot be one. The
 * engine is used as if it were warm; correct the program that writes its
 * entry. */
export const COLD_TIME_IGNORED: LogEvent = {
  id: 870,
  severity: "warn",
  text: "cold time of an engine ignored",
};

/** The store has come back from an older copy: it is in its era `era`, and has
 * lost the changes after the copy. */
export const STORE_ERA_CHANGED: LogEvent = {
  id: 871,
  severity: "warn",
  text: "store restored from an older copy",
};

/** A list of the store is older than what is known, `known`, and was not used. */
export const LIST_REFUSED: LogEvent = {
  id: 872,
  severity: "warn",
  text: "outdated list of the store refused",
};

/** Once a second, if 8 KiB or more arrived in it from the store and from peers of
 * other regions: the bytes from these `peers` by type of message and region, and
 * those from the `store` by kind of record and call. */
export const TRAFFIC_SUM: LogEvent = {
  id: 873,
  severity: "info",
  text: "control traffic of a second",
};

/** A request goes on with a stream that the attempt `resumes` began: at
 * `softwareVersion`, which `engines` of the service have. `source` is how the
 * version is known, `reason` why it is not; `outdated` are the processes whose
 * reports are older than the split that moved the stream. */
export const STREAM_TAKEN_UP: LogEvent = {
  id: 874,
  severity: "info",
  text: "stream taken up",
};

/** This instance wrote how new streams are split among the versions of engines'
 * software, as ranges of each pool of engines. */
export const SPLITS_WRITTEN: LogEvent = {
  id: 875,
  severity: "info",
  text: "version splits written",
};

/** This instance begins streams by the splits `number` from now on, and has
 * reported `strayed` streams that began elsewhere than these would let them. */
export const SPLITS_ADOPTED: LogEvent = {
  id: 876,
  severity: "info",
  text: "version splits adopted",
};

/** The report of this instance's streams was not stored. It is tried again; until
 * then, streams that new splits move do not begin here, and none do if it is the
 * first report. */
export const REPORT_NOT_STORED: LogEvent = {
  id: 877,
  severity: "warn",
  text: "report of streams not stored",
};

/** The version splits could not be updated, since a call to the store failed.
 * They are checked again. */
export const SPLITS_NOT_STORED: LogEvent = {
  id: 878,
  severity: "warn",
  text: "version splits not stored",
};

/** The splits or the reports could not be read for a stream that is taken up. It
 * is refused unless peers or this instance's memory tell its version. */
export const SPLITS_NOT_READ: LogEvent = {
  id: 879,
  severity: "warn",
  text: "version splits not read",
};

/** This process is about to end, and has reported all its streams that may still
 * be taken up: whatever splits follow, others can tell where those began. Without
 * this line, ids that later splits move are unknown for 40 s. */
export const LAST_REPORT_STORED: LogEvent = {
  id: 885,
  severity: "info",
  text: "last report of streams stored",
};

/** This instance has no path to the engines of a service: most of those that it
 * asked (`blocked`) are silent or refuse connections, `open` were heard of. Other
 * instances serve its callers, and own its engines. */
export const ENGINES_OUT_OF_REACH: LogEvent = {
  id: 880,
  severity: "warn",
  text: "no path to the engines of a service",
};

/** This instance reaches the engines of a service again. */
export const ENGINES_IN_REACH: LogEvent = {
  id: 881,
  severity: "info",
  text: "engines of a service reached again",
};

/** A request was passed on to an instance that reaches the engines, or the store
 * that its stream needs. `outcome`:
 * answered (also with a refusal), broken off midway, `lost` with the other instance
 * after it may have read the request, `not_taken` or `unreachable`: then another
 * one is asked. The other instance logs the request under the same id. */
export const REQUEST_PASSED: LogEvent = {
  id: 882,
  severity: "info",
  text: "request passed on",
};

/** A request on the listener for instances named no member of the fleet, and was
 * refused. A member that has started lately may not be known yet. */
export const PASSED_REQUEST_REFUSED: LogEvent = {
  id: 883,
  severity: "warn",
  text: "passed request of no member refused",
};

/** An engine says in its answers that it ends if it has to turn more than
 * `refusalsMax` requests away in a second, from all instances together; without
 * that field, that it does not any more. Few requests wait there meanwhile. */
export const ENGINE_BRITTLE_CHANGED: LogEvent = {
  id: 884,
  severity: "info",
  text: "engine is brittle, or no longer",
};

/** A former process of this instance has left a report of its streams, `process`.
 * This process has recorded that it has ended, so that streams are not kept waiting
 * for it. */
export const FORMER_PROCESS_ENDED: LogEvent = {
  id: 887,
  severity: "info",
  text: "end of a former process recorded",
};
