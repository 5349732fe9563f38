// Package platform is the client of the platform's object API, which is JSON over
// HTTP, and owns the encoding of the objects that the platform stores.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/distribution"
	"basilmill/core/host"
)

const (
	// DefaultTimeout bounds a call. A watch may take its wait in addition.
	DefaultTimeout = 3 * time.Second
	// DefaultMaxListBytes bounds the response to List, Watch and Hosts. 8,100
	// objects of 4 KB are below it.
	DefaultMaxListBytes = 48 << 20

	// maxObjectBytes bounds a response with one object: the platform's limit of
	// 1 MB for the value, and 4 KB for the envelope.
	maxObjectBytes = 1<<20 + 4<<10
	// maxMessageBytes bounds what is read of an error message.
	maxMessageBytes = 1 << 10

	dialTimeout = time.Second
	// idleRetention is how long an unused connection stays open.
	idleRetention = 30 * time.Second
	maxIdleConns  = 4
)

// Client calls the platform's object API. It is safe for concurrent use.
type Client struct {
	// Eras tracks the era of the platform's store, which each answer states.
	Eras distribution.Eras

	base         url.URL
	http         *http.Client
	timeout      time.Duration
	maxListBytes int64
}

var _ API = (*Client)(nil)

// Options configures a Client. The zero value selects the defaults.
type Options struct {
	// Timeout bounds each call; a watch may take its wait in addition.
	Timeout time.Duration
	// MaxListBytes bounds the response to List, Watch and Hosts.
	MaxListBytes int64
	// Transport replaces the HTTP transport.
	Transport http.RoundTripper
}

// NewClient returns a client of the platform at the given address.
func NewClient(address netip.AddrPort, options Options) *Client {
	c := &Client{
		base:         url.URL{Scheme: "http", Host: address.String()},
		http:         &http.Client{Transport: options.Transport},
		timeout:      options.Timeout,
		maxListBytes: options.MaxListBytes,
	}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if c.maxListBytes <= 0 {
		c.maxListBytes = DefaultMaxListBytes
	}
	if c.http.Transport == nil {
		c.http.Transport = newTransport()
	}
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleRetention,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns one object.
func (c *Client) Get(ctx context.Context, key Key) (object Object, err error) {
	defer wrapf(&err, "get %s", key)
	var wire wireObject
	era, err := c.read(ctx, call{path: objectPath(key), maxBytes: maxObjectBytes}, &wire)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return Object{}, &NotFoundError{Key: key}
	}
	if err != nil {
		return Object{}, err
	}
	return wire.object(era)
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind Kind) (items Items, err error) {
	defer wrapf(&err, "list %s", kind)
	var wire wireItems
	path := []string{"objects", string(kind)}
	era, err := c.read(ctx, call{path: path, maxBytes: c.maxListBytes}, &wire)
	if err != nil {
		return Items{}, err
	}
	return wire.items(era)
}

// Watch returns the objects of the given kinds that changed after a version. It
// waits up to the given time for the first one and returns none if there is none. It
// returns distribution.ErrHistoryGone as soon as it is known that the store has been
// restored since the version.
func (c *Client) Watch(ctx context.Context, after distribution.Version, wait time.Duration, kinds ...Kind) (items Items, err error) {
	defer wrapf(&err, "watch after %d", after)
	if after != 0 {
		defer func() {
			if err != nil && c.Eras.IsOver(after.Era()) {
				err = distribution.ErrHistoryGone
			}
		}()
		var release context.CancelFunc
		ctx, release = c.Eras.During(ctx, after.Era())
		defer release()
	}
	query := url.Values{
		"after": {strconv.FormatInt(after.Revision(), 10)},
		"wait":  {wait.String()},
	}
	for _, kind := range kinds {
		query.Add("kind", string(kind))
	}
	var wire wireItems
	era, err := c.read(ctx, call{path: []string{"watch"}, query: query, maxBytes: c.maxListBytes, waitTimeout: wait}, &wire)
	switch {
	case err != nil:
		return Items{}, err
	case after != 0 && era != after.Era():
		return Items{}, errOutdated
	default:
		return wire.items(era)
	}
}

// Hosts returns the platform's host list, which may be stale.
func (c *Client) Hosts(ctx context.Context) (hosts []host.Info, err error) {
	defer wrapf(&err, "list hosts")
	var wire wireHosts
	if _, err := c.read(ctx, call{path: []string{"hosts"}, maxBytes: c.maxListBytes}, &wire); err != nil {
		return nil, err
	}
	return wire.hosts()
}

// Put stores a value if the object still has the version ifMatch, and returns the
// new version. The version 0 creates the object.
func (c *Client) Put(ctx context.Context, key Key, value json.RawMessage, ifMatch distribution.Version) (version distribution.Version, err error) {
	defer wrapf(&err, "put %s", key)
	if ifMatch != 0 && c.Eras.IsOver(ifMatch.Era()) {
		return 0, c.conflict(ctx, key)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.request(ctx, http.MethodPut, call{path: objectPath(key)}, bytes.NewReader(value))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", fmt.Sprintf(`"%d"`, ifMatch.Revision()))
	response, err := c.http.Do(request)
	// An update whose connection could not be opened was not sent.
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return 0, &OutageError{Cause: err}
	}
	if err != nil {
		return 0, &UnknownResultError{Key: key, Cause: err}
	}
	defer closeBody(response)
	era := c.noteEra(response)
	if ifMatch != 0 && era != ifMatch.Era() {
		// The version may have been that of another object.
		return 0, &UnknownResultError{Key: key, Cause: errOutdated}
	}
	return putResult(response, key, era)
}

// conflict returns the ConflictError for an update of an object whose version belongs to
// an earlier era.
func (c *Client) conflict(ctx context.Context, key Key) error {
	current, err := c.Get(ctx, key)
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notFound):
		return &ConflictError{Current: Object{Key: key}}
	case err != nil:
		return err
	default:
		return &ConflictError{Current: current}
	}
}

// putResult reads the response to an update. After a response that the object API
// does not define it is unknown whether the update took effect.
func putResult(response *http.Response, key Key, era distribution.Era) (distribution.Version, error) {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		var stored wireStored
		if err := decodeResponse(response, maxObjectBytes, &stored); err != nil {
			return 0, &UnknownResultError{Key: key, Cause: err}
		}
		version, err := distribution.NewVersion(era, stored.Version)
		if err != nil {
			return 0, &UnknownResultError{Key: key, Cause: err}
		}
		return version, nil
	case status == http.StatusConflict:
		var wire wireObject
		if err := decodeResponse(response, maxObjectBytes, &wire); err != nil {
			return 0, err
		}
		current, err := wire.object(era)
		if err != nil {
			return 0, err
		}
		return 0, &ConflictError{Current: current}
	case status == http.StatusServiceUnavailable:
		return 0, &OutageError{}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return 0, newRefusedError(response)
	default:
		return 0, &UnknownResultError{Key: key, Cause: newRefusedError(response)}
	}
}

// call is a request without a body.
type call struct {
	path  []string
	query url.Values
	// maxBytes bounds the response.
	maxBytes int64
	// waitTimeout is how long the platform may hold the call open.
	waitTimeout time.Duration
}

// read makes a call and decodes its answer. It returns the era that the answer states.
func (c *Client) read(ctx context.Context, call call, into any) (distribution.Era, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout+call.waitTimeout)
	defer cancel()
	request, err := c.request(callCtx, http.MethodGet, call, nil)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, readError(ctx, err)
	}
	defer closeBody(response)
	era := c.noteEra(response)
	switch {
	case c.Eras.IsOver(era):
		return 0, &OutageError{Cause: errOutdated}
	case response.StatusCode == http.StatusOK:
		err = decodeResponse(response, call.maxBytes, into)
		if err != nil && callCtx.Err() != nil {
			return 0, readError(ctx, err)
		}
		return era, err
	case response.StatusCode == http.StatusServiceUnavailable:
		return 0, &OutageError{}
	default:
		return 0, newRefusedError(response)
	}
}

// eraHeader is the header of the platform's answers that counts the restorations of its
// store.
const eraHeader = "Store-Era"

// errOutdated says that an answer is from before a restoration of the store that this
// host already knows of, or that a call was made across one.
var errOutdated = errors.New("the store was restored from a copy meanwhile")

// noteEra notes and returns the era that an answer states, the newest known one if it
// states none.
func (c *Client) noteEra(response *http.Response) distribution.Era {
	era, err := strconv.ParseInt(response.Header.Get(eraHeader), 10, 64)
	if err != nil {
		newest, _ := c.Eras.Newest()
		return newest
	}
	c.Eras.Note(distribution.Era(era))
	return distribution.Era(era)
}

// readError returns an OutageError, unless the call failed because the caller's
// context ended.
func readError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	return &OutageError{Cause: err}
}

func (c *Client) request(ctx context.Context, method string, call call, body io.Reader) (*http.Request, error) {
	target := c.base
	escaped := make([]string, len(call.path))
	for i, segment := range call.path {
		if segment == "" || segment == "." || segment == ".." {
			return nil, eris.Errorf("%q is not a name of an object", segment)
		}
		escaped[i] = url.PathEscape(segment)
	}
	target.Path = "/" + strings.Join(call.path, "/")
	target.RawPath = "/" + strings.Join(escaped, "/")
	target.RawQuery = call.query.Encode()
	return http.NewRequestWithContext(ctx, method, target.String(), body)
}

func objectPath(key Key) []string { return []string{"objects", string(key.Kind), key.Name} }

// errResponseTooLarge means that a response exceeds its size limit.
var errResponseTooLarge = errors.New("the answer is too long")

func decodeResponse(response *http.Response, maxBytes int64, into any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = errResponseTooLarge
	}
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		return &InvalidResponseError{Cause: err}
	}
	return nil
}

func newRefusedError(response *http.Response) error {
	// The status is sufficient if the message cannot be read.
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	return &RefusedError{Status: response.StatusCode, Message: strings.TrimSpace(string(message))}
}

// closeBody reads the rest of a short body before it closes the body, so that the
// connection can be reused.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxMessageBytes)
	_ = response.Body.Close()
}

// wrapf adds context to a non-nil error. It is deferred.
func wrapf(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, "platform: "+format, args...)
	}
}
