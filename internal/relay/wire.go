// Package relay carries attempts of forwarded calls from an instance that cannot connect to a
// replica to one that can, and their answers back.
//
// The attempt is the HTTP request that the replica would get, sent to the listener for peers
// with a few headers of this package. The answer is the replica's, passed on as it arrives. An
// answer that breaks off at the replica breaks off here too.
package relay

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/links"
)

// Headers of a request.
const (
	headerReplica     = "Birchdrift-Relay-Replica"     // name of the replica
	headerFrom        = "Birchdrift-Relay-From"        // name of the instance that sends it
	headerCall        = "Birchdrift-Relay-Call"        // the caller's identifier of the call
	headerFingerprint = "Birchdrift-Relay-Fingerprint" // in hex
	headerModel       = "Birchdrift-Relay-Model"       // of the request
	headerParts       = "Birchdrift-Relay-Parts"       // of its prompt, in hex
	headerRepeatable  = "Birchdrift-Relay-Repeatable"  // "true": the call may run more than once
)

// Headers of an answer.
const (
	// headerRelayed is "true" on the answer of a replica.
	headerRelayed = "Birchdrift-Relayed"
	// headerFailure says why the attempt was not relayed: a links.RelayFailure as a number.
	headerFailure = "Birchdrift-Relay-Failure"
	// headerUnframed is "true" on an answer that the replica ended with its connection, without a
	// length or chunks.
	headerUnframed = "Birchdrift-Relay-Unframed"
	// headerDetail explains a failed attempt.
	headerDetail = "Birchdrift-Relay-Detail"
)

// AnswerHeaders are the names of the headers of an answer.
var AnswerHeaders = []string{headerRelayed, headerFailure, headerUnframed, headerDetail}

// headers are the names of all headers of this package.
var headers = slices.Concat([]string{headerReplica, headerFrom, headerCall, headerFingerprint, headerModel, headerParts, headerRepeatable}, AnswerHeaders)

// An Attempt describes an attempt that is to be relayed.
type Attempt struct {
	Replica    string
	From       string // name of the instance that sends it
	Call       string // the caller's identifier of the call, for logs
	Request    crash.Request
	Repeatable bool
}

// SetHeaders adds the headers that describe the attempt.
func (a Attempt) SetHeaders(h http.Header) {
	h.Set(headerReplica, a.Replica)
	h.Set(headerFrom, a.From)
	h.Set(headerCall, a.Call)
	h.Set(headerFingerprint, strconv.FormatUint(uint64(a.Request.Fingerprint), 16))
	if len(a.Request.Parts) > 0 {
		h.Set(headerModel, a.Request.Model)
		h.Set(headerParts, formatParts(a.Request.Parts))
	}
	h.Set(headerRepeatable, strconv.FormatBool(a.Repeatable))
}

// readAttempt reads the headers of an attempt and removes them.
func readAttempt(h http.Header) (Attempt, error) {
	a := Attempt{Replica: h.Get(headerReplica), From: h.Get(headerFrom), Call: h.Get(headerCall)}
	fingerprint, err := strconv.ParseUint(h.Get(headerFingerprint), 16, 64)
	if err != nil {
		return a, err
	}
	a.Request.Fingerprint = crash.Fingerprint(fingerprint)
	a.Request.Model = h.Get(headerModel)
	if a.Request.Parts, err = parseParts(h.Get(headerParts)); err != nil {
		return a, err
	}
	a.Repeatable, err = strconv.ParseBool(h.Get(headerRepeatable))
	removeHeaders(h)
	return a, err
}

// formatParts lists the parts of a prompt.
func formatParts(parts []crash.PartID) string {
	var out []string
	for _, part := range parts {
		out = append(out, part.String())
	}
	return strings.Join(out, ",")
}

// parseParts parses what formatParts returns.
func parseParts(v string) ([]crash.PartID, error) {
	if v == "" {
		return nil, nil
	}
	fields := strings.Split(v, ",")
	if len(fields) > crash.MaxParts {
		return nil, fmt.Errorf("%d parts of a prompt, at most %d are allowed", len(fields), crash.MaxParts)
	}
	var out []crash.PartID
	for _, field := range fields {
		part, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, crash.PartID(part))
	}
	return out, nil
}

func removeHeaders(h http.Header) {
	for _, name := range headers {
		h.Del(name)
	}
}

// A Failure says that a relayed attempt got no answer from its replica.
type Failure struct {
	Phase  attempt.Phase // how far the attempt got on the way to the replica
	Reason links.RelayFailure
	Detail string
}

// ReadAnswer removes the headers of this package from a peer's answer. If the answer is not the
// replica's, ok is false and the Failure says why. An instance of a version that does not relay
// attempts answers without these headers, and did nothing with the attempt.
//
// An answer that the replica ended with its connection has neither ContentLength nor TransferEncoding,
// although the peer sends it with one of them.
func ReadAnswer(resp *http.Response) (f Failure, ok bool) {
	defer removeHeaders(resp.Header)
	if resp.Header.Get(headerUnframed) == "true" {
		resp.ContentLength, resp.TransferEncoding = -1, nil
	}
	if resp.Header.Get(headerRelayed) == "true" {
		return Failure{}, true
	}
	f = Failure{Phase: attempt.NotSent, Reason: links.PeerUnreachable, Detail: "the peer does not relay attempts"}
	switch reason, err := strconv.Atoi(resp.Header.Get(headerFailure)); {
	case err != nil:
	case links.RelayFailure(reason) == links.RelaySucceeded:
		f = Failure{Phase: attempt.MaybeSent, Detail: resp.Header.Get(headerDetail)}
	default:
		f.Reason = links.RelayFailure(reason)
		f.Detail = resp.Header.Get(headerDetail)
	}
	return f, false
}
