// Package keyvalue provides the client of the platform's small key-value service:
// compare-and-swap, leases, watches and the list of instances.
//
// Every method makes one call, which counts as one against the platform's rate limits; a
// watch that waits counts as one too. The error shows whether the request was certainly
// not sent (ErrNotSent), failed because the value was not at the expected revision
// (ErrConflict), or may have taken effect (any other error). In the last case the caller
// must read the value back before it continues.
package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// Errors of a request that certainly took no effect.
var (
	// ErrConflict reports that the value was not at the expected revision.
	ErrConflict = errors.New("the value is not at the expected revision")
	// ErrNotSent reports that the request was certainly not sent.
	ErrNotSent = errors.New("the request was not sent")
)

// callTimeout is the time limit of one call, in addition to the time that the call asks
// the platform to wait.
const callTimeout = 2 * time.Second

// A Client calls the platform at one address.
type Client struct {
	base   string
	http   *http.Client
	Called func() // called once per call, for counting; may be nil
}

// NewClient returns a client of the platform at address (IP:port).
func NewClient(address string, t upstream.Transports) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: t.Reused}}
}

// A Value is a value with its revision. Revision 0 means that there is no value.
type Value struct {
	Data     []byte
	Revision uint64
}

// Get returns a value. With wait set it returns as soon as the revision is above after;
// if that does not happen within wait, it returns the revision alone.
func (c *Client) Get(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{}
	if wait > 0 {
		query.Set("after", strconv.FormatUint(after, 10))
		query.Set("wait", wait.String())
	}
	return c.call(ctx, http.MethodGet, PathValue+key, query, nil, wait)
}

// CompareAndSwap writes a value if its revision is still expect (0: if there is no value)
// and returns the new revision. The value expires after ttl; 0 means that it does not
// expire.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, expect uint64, ttl time.Duration) (uint64, error) {
	query := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	if ttl > 0 {
		query.Set("ttl", ttl.String())
	}
	v, err := c.call(ctx, http.MethodPut, PathValue+key, query, data, 0)
	return v.Revision, err
}

// Delete deletes a value if its revision is still expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	query := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	_, err := c.call(ctx, http.MethodDelete, PathValue+key, query, nil, 0)
	return err
}

// AcquireLease requests a lease or renews it.
func (c *Client) AcquireLease(ctx context.Context, name string, req LeaseRequest) (LeaseReply, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return LeaseReply{}, trace.Wrap(err)
	}
	v, err := c.call(ctx, http.MethodPost, PathLease+name, nil, data, 0)
	if err != nil {
		return LeaseReply{}, err
	}
	var reply LeaseReply
	if err := json.Unmarshal(v.Data, &reply); err != nil {
		return LeaseReply{}, trace.Wrap(err)
	}
	return reply, nil
}

// Release releases a lease if fence is still the fence of its grant.
func (c *Client) Release(ctx context.Context, name string, fence uint64) error {
	query := url.Values{"fence": {strconv.FormatUint(fence, 10)}}
	_, err := c.call(ctx, http.MethodDelete, PathLease+name, query, nil, 0)
	return err
}

// Instances returns the entries of the platform's list that changed after version since,
// and the list's version. If there are none, it waits up to wait for a change.
func (c *Client) Instances(ctx context.Context, since uint64, wait time.Duration) ([]gossip.Listed, uint64, error) {
	query := url.Values{"since": {strconv.FormatUint(since, 10)}, "wait": {wait.String()}}
	v, err := c.call(ctx, http.MethodGet, PathInstances, query, nil, wait)
	if err != nil {
		return nil, 0, err
	}
	var list InstanceList
	if err := json.Unmarshal(v.Data, &list); err != nil {
		return nil, 0, trace.Wrap(err)
	}
	entries := make([]gossip.Listed, 0, len(list.Instances))
	for _, i := range list.Instances {
		entries = append(entries, i.decode())
	}
	return entries, list.Version, nil
}

// call sends one request and reads the whole response. wait is the time that the request
// asks the platform to wait.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, wait time.Duration) (Value, error) {
	if c.Called != nil {
		c.Called()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var progress upstream.Progress
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(progress.TraceContext(ctx), method, target, bytes.NewReader(body))
	if err != nil {
		return Value{}, trace.Wrap(err)
	}
	// Without GetBody net/http cannot resend a write whose reused connection broke.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		if progress.Phase() == attempt.NotSent {
			return Value{}, trace.Wrap(ErrNotSent, err.Error())
		}
		return Value{}, trace.Wrap(err)
	}
	defer resp.Body.Close()
	return readResponse(resp)
}

// readResponse reads the whole response. A response without a value has revision 0.
func readResponse(resp *http.Response) (Value, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*config.MaxEncodedBytes))
	if err != nil {
		return Value{}, trace.Wrap(err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusNotModified:
	case http.StatusConflict:
		return Value{}, trace.Wrap(ErrConflict)
	default:
		return Value{}, trace.Errorf("the platform answered %d", resp.StatusCode)
	}
	revision, _ := strconv.ParseUint(resp.Header.Get(HeaderRevision), 10, 64) // absent means 0
	if revision == 0 && resp.StatusCode == http.StatusNotFound {
		data = nil
	}
	return Value{Data: data, Revision: revision}, nil
}

// ConfigKey is the key of the operators' configuration.
const ConfigKey = "config"

// IntentsKey returns the key of a zone's intents: orders that the planner stores before it
// sends them to engines that do not check fences (see planner.Intent).
func IntentsKey(zone string) string { return "intents/" + zone }

// LeaseName returns the name of a zone's planner lease.
func LeaseName(zone string) string { return "planner/" + zone }
