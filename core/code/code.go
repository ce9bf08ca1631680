// Package code provides the numbered result codes that callers and operators
// see, and the table from which docs/codes.md is generated.
//
// A number is never reused with another meaning. The first digit indicates who has
// to act or where the cause lies: 1xx the caller, 2xx capacity, 3xx an upstream,
// 4xx the platform or the operators' configuration, 5xx the settings of this
// program, 9xx a bug.
package code

import (
	"fmt"
	"time"
)

// A Code is the number of a result.
type Code int

// The result codes. Table describes the meaning and the remedy of each.
const (
	OK Code = 0

	BadRequest          Code = 101
	UnknownService      Code = 102
	Unauthorized        Code = 103
	Forbidden           Code = 104
	TooLarge            Code = 105
	KeyClaimed          Code = 106
	RefusedByPolicy     Code = 107
	CallerGone          Code = 108
	Quarantined         Code = 109
	CallerSilent        Code = 110
	NoCapacity          Code = 201
	TargetMissed        Code = 202
	NotResident         Code = 203
	Stopping            Code = 204
	TimedOut            Code = 205
	NoReplica           Code = 301
	UpstreamBroke       Code = 302
	StreamCut           Code = 303
	UpstreamRefused     Code = 304
	StreamUnknown       Code = 305
	VersionGone         Code = 306
	PlatformDown        Code = 401
	NoConfiguration     Code = 402
	ConfigSyntax        Code = 411
	ConfigUnknownField  Code = 412
	ConfigDanglingName  Code = 413
	ConfigDuplicateName Code = 414
	ConfigNeverFits     Code = 415
	ConfigBadValue      Code = 416
	ConfigBadPolicy     Code = 417
	ConfigConflict      Code = 418
	ConfigTooLarge      Code = 419
	ConfigUnresolved    Code = 420
	BadSetting          Code = 501
	BadUsage            Code = 502
	Internal            Code = 901
)

// An Info describes one code for callers and operators.
type Info struct {
	Code    Code
	Name    string
	HTTP    int // HTTP status sent to callers; 0 if callers never see the code
	Meaning string
	Remedy  string
}

// Table lists all codes in ascending order.
var Table = []Info{
	{BadRequest, "bad_request", 400, "The call could not be understood.", "Correct the call; the detail names the field."},
	{UnknownService, "unknown_service", 404, "No service, model or route has this name.", "Compare the name with `GET /v1/models` and the configuration."},
	{Unauthorized, "unauthorized", 401, "The call carries no key that is known here.", "Send `Authorization: Bearer KEY` with a configured key."},
	{Forbidden, "forbidden", 403, "The caller's key is known but does not admit to this service.", "Ask the operators to add the service to the caller."},
	{TooLarge, "too_large", 413, "The call's body is larger than the limit.", "Send less, or ask the operators to raise `--max-body`."},
	{KeyClaimed, "key_claimed", 409, "Another call with the same idempotency key was accepted earlier; this one did not run.", "Look up the outcome of the earlier call, or use a new key for a new action."},
	{RefusedByPolicy, "refused_by_policy", 429, "The operators' policy refuses this call now.", "Retry after the time in `Retry-After`."},
	{CallerGone, "caller_gone", 499, "The caller closed its connection before the answer was whole.", "None; the call was cancelled at the upstream."},
	{Quarantined, "quarantined", 503, "Replicas ended while they ran this request, again and again, so it is not run for now.", "Find out what in the request terminates the replicas (event 1811 names them). Retry after the time in `Retry-After`, or send a different request."},
	{CallerSilent, "caller_silent", 408, "The caller sent nothing of its call's body for too long.", "Retry the call; raise `--header-time` for callers that pause."},
	{NoCapacity, "no_capacity", 503, "Every replica that could serve the call is at its limit and the waiting line is full.", "Retry after the time in `Retry-After`; add accelerators if it persists."},
	{TargetMissed, "target_missed", 503, "The call can no longer meet its target, so it was given up before it ran.", "Retry after the time in `Retry-After`."},
	{NotResident, "not_resident", 503, "The model is being loaded and will not be ready within the call's target.", "Retry after the time in `Retry-After`."},
	{Stopping, "stopping", 503, "This instance is stopping and takes no new calls.", "Retry; the load balancer picks another instance."},
	{TimedOut, "timed_out", 504, "The time for which the operators let a call be held has passed.", "The `run` field tells whether the call may have run; raise the forward's timeout if it is too short."},
	{NoReplica, "no_replica", 503, "No live replica can serve this service.", "Check the upstreams with `birchctl status`."},
	{UpstreamBroke, "upstream_broke", 502, "The upstream failed before any part of the answer was delivered.", "The `run` field tells whether the call may have run."},
	{StreamCut, "stream_cut", 502, "The answer was cut after a part of it was delivered and could not be resumed.", "Discard the part; retry if the call may run more than once."},
	{UpstreamRefused, "upstream_refused", 502, "The upstream answered with a refusal.", "The detail contains the upstream's status."},
	{StreamUnknown, "stream_unknown", 503, "This request takes up a stream, and no instance that can be reached knows which version of the replicas' software began it, so it is not continued.", "Send the request again without the last event, to begin the stream anew. See event 1817."},
	{VersionGone, "version_gone", 503, "This request takes up a stream, and no replica of the version that began it can serve it.", "Send the request again without the last event, to begin the stream anew."},
	{PlatformDown, "platform_down", 503, "The platform's key-value service did not answer and the call needs it.", "Retry after the time in `Retry-After`."},
	{NoConfiguration, "no_configuration", 503, "This instance has no configuration yet.", "Check that the platform or a peer can be reached."},
	{ConfigSyntax, "config_syntax", 400, "The configuration is not well-formed YAML or JSON.", "Correct the line in the message."},
	{ConfigUnknownField, "config_unknown_field", 400, "The configuration has a field that does not exist.", "Remove or rename the field."},
	{ConfigDanglingName, "config_dangling_name", 400, "The configuration names something that it does not define.", "Define it or correct the name."},
	{ConfigDuplicateName, "config_duplicate_name", 400, "Two things in the configuration have the same name.", "Rename one of the two."},
	{ConfigNeverFits, "config_never_fits", 400, "A model or adapter is larger than every engine that could hold it.", "Use a smaller model or a larger engine."},
	{ConfigBadValue, "config_bad_value", 400, "A value is out of its allowed range.", "Use a value that the detail allows."},
	{ConfigBadPolicy, "config_bad_policy", 400, "A policy program does not type-check or costs too much.", "Correct the expression; the detail contains the compiler's message."},
	{ConfigConflict, "config_conflict", 409, "Another operator changed the configuration first; nothing was changed.", "Review the difference, then apply again on the new revision."},
	{ConfigTooLarge, "config_too_large", 400, "The encoded configuration exceeds the platform's limit for one value.", "Remove unused parts."},
	{ConfigUnresolved, "config_unresolved", 503, "The platform's answer was lost and reading back did not tell whether the change took effect.", "Run `birchctl get` before applying again."},
	{BadSetting, "bad_setting", 0, "A flag or environment variable has a value that is not allowed.", "The message names the setting, its value and what is allowed."},
	{BadUsage, "bad_usage", 0, "The command line could not be understood.", "See `--help`."},
	{Internal, "internal", 500, "A bug in birchdrift.", "Report it with the log line."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, info := range Table {
		m[info.Code] = info
	}
	return m
}()

// Lookup returns the table row of c, or the row of Internal if c is unknown.
func Lookup(c Code) Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// RunState states whether a call ran, as far as this instance can know.
type RunState string

// The run states.
const (
	NotRun     RunState = "not_run" // the call did not run
	Ran        RunState = "ran"     // the call ran
	MayHaveRun RunState = "unknown" // the call may have run
)

// An Error is an error with a result code.
type Error struct {
	Code   Code
	Path   string // dotted path within the offending document, if any
	Line   int    // line within the offending document, 0 if none
	Detail string
}

// Errorf returns an Error with a formatted detail and without a path or line.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error. It returns a text such as "BD-102 unknown_service: detail".
func (e *Error) Error() string {
	head := fmt.Sprintf("BD-%d %s", e.Code, Lookup(e.Code).Name)
	if e.Line > 0 {
		head += fmt.Sprintf(": line %d", e.Line)
	}
	if e.Path != "" {
		head += ": " + e.Path
	}
	return head + ": " + e.Detail
}

// A Refusal is the final response to a call that is not served.
type Refusal struct {
	Code       Code
	Run        RunState
	RetryAfter time.Duration // 0 if retrying is pointless
	Detail     string
}
