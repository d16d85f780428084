package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/entry"
	"github.com/tarragonmux/tarragonmux/internal/problem"
	"github.com/tarragonmux/tarragonmux/internal/standin"
	"github.com/tarragonmux/tarragonmux/internal/transport"
)

const (
	// endpointTimeout bounds one query for endpoints.
	endpointTimeout = time.Second
	// responseGrace is how long after the deadline of a request its caller still waits for a refusal.
	responseGrace    = 2 * time.Second
	maxResponseBytes = 1 << 20
)

// Violation is a violated guarantee that a caller detects in a response.
type Violation string

// The violations.
const (
	// MismatchedResponse is a response to another request.
	MismatchedResponse Violation = "answer of another request"
	// TruncatedResponse is a response that ends early without a transport error.
	TruncatedResponse Violation = "answer is not whole"
	// MissingOutcome is a refusal without a valid outcome.
	MissingOutcome Violation = "refusal without an outcome"
)

// Outcome describes the end of one request.
type Outcome struct {
	Class   string
	ID      string
	Key     string
	Team    string
	Latency time.Duration
	// Status is 0 if no response arrived.
	Status int
	// Kind and Refusal are set if the fleet refused the request: the problem kind and the stated outcome.
	Kind    problem.Kind
	Refusal problem.Outcome
	// Instance is the stand-in that responded.
	Instance string
	// Body is the body of a stand-in's response.
	Body string
	// Err is set if no endpoints were found or the request failed before a complete response arrived.
	Err error
	// Violation is set if the response violates a guarantee of the fleet.
	Violation Violation
	// At is when the request ended.
	At time.Time
}

// OK reports whether a stand-in responded with a status below 500.
func (o Outcome) OK() bool {
	return o.Err == nil && o.Kind == "" && o.Status != 0 && o.Status < 500
}

// request is a request of a class before it is sent.
type request struct {
	id    string
	key   string
	team  string
	class *Class
}

// caller has its own endpoints and connections, like a small client application.
type caller struct {
	name    string
	entries []string
	client  *http.Client

	mu        sync.Mutex
	endpoints map[string]endpoints
}

type endpoints struct {
	addresses []string
	expires   time.Time
	next      int
}

func newCaller(i int, entries []string, dialer transport.Dialer) *caller {
	return &caller{
		name:      "caller-" + strconv.Itoa(i),
		entries:   entries,
		client:    NewClient(dialer),
		endpoints: map[string]endpoints{},
	}
}

func (c *caller) close() {
	c.client.CloseIdleConnections()
}

// address returns the next address for the service. It queries the endpoints again when the list has expired.
func (c *caller) address(service string) (string, error) {
	c.mu.Lock()
	e := c.endpoints[service]
	if len(e.addresses) > 0 && time.Now().Before(e.expires) {
		e.next++
		c.endpoints[service] = e
		c.mu.Unlock()
		return e.addresses[e.next%len(e.addresses)], nil
	}
	c.mu.Unlock()
	fresh, err := c.queryEndpoints(service)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints[service] = fresh
	return fresh.addresses[0], nil
}

// dropEndpoints discards the endpoints of a service after a failure, so that the next request queries them
// again.
func (c *caller) dropEndpoints(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.endpoints, service)
}

// queryEndpoints queries the entry hosts one after another, starting with a random one, until one returns
// endpoints.
func (c *caller) queryEndpoints(service string) (endpoints, error) {
	err := errors.New("no entry host is known")
	begin := rand.IntN(len(c.entries))
	for i := range c.entries {
		var e endpoints
		e, err = c.queryEntry(c.entries[(begin+i)%len(c.entries)], service)
		if err == nil {
			return e, nil
		}
	}
	return endpoints{}, err
}

func (c *caller) queryEntry(address, service string) (endpoints, error) {
	ctx, cancel := context.WithTimeout(context.Background(), endpointTimeout)
	defer cancel()
	target := "http://" + address + "/v1/endpoints?service=" + url.QueryEscape(service) + "&caller=" + c.name
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return endpoints{}, errors.WithStack(err)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return endpoints{}, errors.WithStack(err)
	}
	defer response.Body.Close()
	var list entry.EndpointsResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&list); err != nil {
		return endpoints{}, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK || len(list.Endpoints) == 0 {
		return endpoints{}, errors.Errorf("no endpoints for %s from %s: status %d", service, address, response.StatusCode)
	}
	e := endpoints{expires: time.Now().Add(time.Duration(list.TTLMS) * time.Millisecond)}
	for _, endpoint := range list.Endpoints {
		e.addresses = append(e.addresses, endpoint.Address)
	}
	return e, nil
}

// execute sends the request and checks the response.
func (c *caller) execute(r request) Outcome {
	start := time.Now()
	o := Outcome{Class: r.class.Name, ID: r.id, Key: r.key, Team: r.team}
	c.send(r, &o)
	o.At = time.Now()
	o.Latency = o.At.Sub(start)
	if o.Err != nil {
		c.dropEndpoints(r.class.Service)
	}
	return o
}

func (c *caller) send(r request, o *Outcome) {
	address, err := c.address(r.class.Service)
	if err != nil {
		o.Err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.class.Deadline+responseGrace)
	defer cancel()
	exchange(ctx, c.client, address, r.toRequest(), o)
}

// checkResponse checks that the response is complete and belongs to the request, or that the refusal is well
// formed.
func checkResponse(r Request, response *http.Response, body []byte, o *Outcome) {
	o.Status = response.StatusCode
	if strings.HasPrefix(response.Header.Get("Content-Type"), problem.ContentType) {
		checkRefusal(body, o)
		return
	}
	o.Instance = response.Header.Get(standin.HeaderInstance)
	o.Body = string(body)
	if response.StatusCode >= http.StatusInternalServerError {
		return
	}
	text := o.Body
	switch {
	case !strings.HasSuffix(strings.TrimRight(text, "."), "\n"):
		o.Violation = TruncatedResponse
	case r.Key != "" && !strings.Contains(text, " key="+r.Key+" "):
		o.Violation = MismatchedResponse
	case r.Key == "" && !strings.Contains(text, " request="+r.ID+" "):
		o.Violation = MismatchedResponse
	}
}

func checkRefusal(body []byte, o *Outcome) {
	var document struct {
		Type    string          `json:"type"`
		Outcome problem.Outcome `json:"outcome"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		o.Violation = MissingOutcome
		return
	}
	o.Kind = problem.Kind(strings.TrimPrefix(document.Type, problem.TypePrefix))
	o.Refusal = document.Outcome
	switch document.Outcome {
	case problem.NotRun, problem.Unknown, problem.Run:
	default:
		o.Violation = MissingOutcome
	}
}
