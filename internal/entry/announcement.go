package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/problem"
)

const (
	announcementPath = "/v1/backends/{service}/{instance}"
	// MaxAnnouncementBytes limits the body of an announcement.
	MaxAnnouncementBytes = 4 << 10

	maxNameBytes        = 128
	maxSlots            = 1 << 16
	maxConnections      = 1 << 20
	maxWarmUp           = 10 * time.Minute
	defaultWarmUp       = 10 * time.Second
	announceTimeout     = time.Second
	announceBodyTimeout = time.Second
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// Announcement is the body of PUT /v1/backends/{service}/{instance}.
type Announcement struct {
	// Address is the ip:port at which the backend server accepts connections.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Slots is how many requests the server runs concurrently; 0 means the service's default.
	Slots int `json:"slots,omitempty"`
	// Connections is how many connections the server accepts; 0 means the service's default.
	Connections int `json:"connections,omitempty"`
	// State is starting, ready or draining.
	State string `json:"state"`
	// Incarnation increases with each start of the server; it can be the start time in milliseconds.
	Incarnation uint64 `json:"incarnation"`
	// WarmUpMS is the time from the state ready until all slots are used, in milliseconds; 10 s if
	// absent.
	WarmUpMS *int64 `json:"warm_up_ms,omitempty"`
	// Load is the server's own estimate of its load, from 0 to 1. It is only a hint.
	Load float64 `json:"load,omitempty"`
	// Token is the token of the same host's last Lease. It prevents an announcement that was
	// delayed on its way from counting as a renewal.
	Token string `json:"token,omitempty"`
}

// Lease is the response to an announcement.
type Lease struct {
	// LeaseMS is how long the announcement is valid, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// RenewMS is the interval at which to renew it, in milliseconds.
	RenewMS int64 `json:"renew_ms"`
	// Token must be sent with the next announcement to this host.
	Token string `json:"token"`
}

// ParseAnnouncement parses and validates the body of an announcement. The problem states which field is
// invalid and what to send instead.
func ParseAnnouncement(service, instance string, body []byte) (backend.Server, *problem.Problem) {
	server, _, refusal := parseAnnouncement(service, instance, body)
	return server, refusal
}

func parseAnnouncement(service, instance string, body []byte) (server backend.Server, token string, refusal *problem.Problem) {
	var announcement Announcement
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		return backend.Server{}, "", malformedRequest("the announcement is not a JSON object of the known fields")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return backend.Server{}, "", malformedRequest("the announcement has content after the object")
	}
	if err := announcement.validate(service, instance); err != "" {
		return backend.Server{}, "", malformedRequest(err)
	}
	state, _ := backend.ParseState(announcement.State)
	warmUp := defaultWarmUp
	if announcement.WarmUpMS != nil {
		warmUp = time.Duration(*announcement.WarmUpMS) * time.Millisecond
	}
	return backend.Server{
		Service: service, Instance: instance, Incarnation: announcement.Incarnation, Address: announcement.Address, DataCentre: announcement.DataCentre,
		State: state, Slots: announcement.Slots, Connections: announcement.Connections, WarmUp: warmUp, Load: announcement.Load,
	}, announcement.Token, nil
}

func malformedRequest(detail string) *problem.Problem {
	return problem.New(problem.BadRequest, problem.NotRun, detail)
}

// validate returns what is wrong with the announcement, or "".
func (a *Announcement) validate(service, instance string) string {
	state, known := backend.ParseState(a.State)
	switch {
	case !validName(service):
		return "service must be a name of letters, digits, dots, hyphens and underscores"
	case !validName(instance):
		return "instance must be a name of letters, digits, dots, hyphens and underscores"
	case !validAddress(a.Address):
		return "address must be ip:port of the backend server itself"
	case !validName(a.DataCentre):
		return "data_centre must be the name of a data centre"
	case a.Slots < 0 || a.Slots > maxSlots:
		return fmt.Sprintf("slots must be 0 to %d", maxSlots)
	case a.Connections < 0 || a.Connections > maxConnections:
		return fmt.Sprintf("connections must be 0 to %d", maxConnections)
	case !known || state == backend.Left:
		return "state must be starting, ready or draining"
	case a.Incarnation == 0:
		return "incarnation must be above 0 and rise with each start"
	case a.WarmUpMS != nil && (*a.WarmUpMS < 0 || *a.WarmUpMS > maxWarmUp.Milliseconds()):
		return fmt.Sprintf("warm_up_ms must be 0 to %d", maxWarmUp.Milliseconds())
	case !(a.Load >= 0 && a.Load <= 1) || math.IsNaN(a.Load):
		return "load must be 0 to 1"
	default:
		return ""
	}
}

func validName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

func validAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// handleAnnounce registers a backend server or renews its lease.
func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	server, refusal := s.readAnnouncement(w, r)
	if refusal == nil {
		refusal = s.recordAnnouncement(r.Context(), server)
	}
	if refusal != nil {
		refuseAndClose(w, refusal)
		return
	}
	writeJSON(w, Lease{LeaseMS: backend.Lease.Milliseconds(), RenewMS: backend.RenewEvery.Milliseconds(), Token: s.tokens.issue(time.Now())})
}

// handleWithdraw removes a backend server. The incarnation prevents a delayed withdrawal from removing a
// server that has restarted since.
func (s *Server) handleWithdraw(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	incarnation, err := strconv.ParseUint(r.URL.Query().Get("incarnation"), 10, 64)
	var refusal *problem.Problem
	switch {
	case !validName(vars["service"]) || !validName(vars["instance"]):
		refusal = malformedRequest("service and instance must be names of letters, digits, dots, hyphens and underscores")
	case err != nil || incarnation == 0:
		refusal = malformedRequest("the query parameter incarnation must be the announced incarnation")
	default:
		refusal = s.checkService(vars["service"])
	}
	if refusal == nil {
		refusal = s.recordAnnouncement(r.Context(), backend.Server{
			Service: vars["service"], Instance: vars["instance"], Incarnation: incarnation, State: backend.Left,
		})
	}
	if refusal != nil {
		refuseAndClose(w, refusal)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) readAnnouncement(w http.ResponseWriter, r *http.Request) (backend.Server, *problem.Problem) {
	vars := mux.Vars(r)
	if refusal := s.checkService(vars["service"]); refusal != nil {
		return backend.Server{}, refusal
	}
	control := http.NewResponseController(w)
	// If the connection does not support deadlines, the server's own timeouts apply.
	_ = control.SetReadDeadline(time.Now().Add(announceBodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxAnnouncementBytes+1))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return backend.Server{}, malformedRequest("the announcement did not arrive whole in time")
	}
	if len(body) > MaxAnnouncementBytes {
		return backend.Server{}, problem.New(problem.BodyTooLarge, problem.NotRun, fmt.Sprintf("the limit is %d bytes", MaxAnnouncementBytes))
	}
	server, token, refusal := parseAnnouncement(vars["service"], vars["instance"], body)
	server.Renewed = s.tokens.announcedAt(token, time.Now())
	return server, refusal
}

func (s *Server) recordAnnouncement(ctx context.Context, server backend.Server) *problem.Problem {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := s.cfg.Backends.Announce(ctx, server)
	if err == nil {
		return nil
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	s.cfg.Log.Warn("cannot record an announcement", "service", server.Service, "instance", server.Instance, "error", err)
	return problem.New(problem.Starting, problem.NotRun, "the announcement cannot be recorded now").After(backend.RenewEvery)
}

// refuseAndClose sends the refusal and closes the connection, since a part of the body may be unread.
func refuseAndClose(w http.ResponseWriter, refusal *problem.Problem) {
	w.Header().Set("Connection", "close")
	setDrainDeadline(w)
	refusal.Write(w, "")
}
