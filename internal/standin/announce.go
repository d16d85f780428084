package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/backend"
)

const (
	// announceTimeout leaves time to try three more hosts within the lease of 2 s.
	announceTimeout          = 400 * time.Millisecond
	maxAnnounceResponseBytes = 64 << 10
)

// announcement is the body of PUT /v1/backends/{service}/{instance}.
type announcement struct {
	Address     string  `json:"address"`
	DataCentre  string  `json:"data_centre"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	State       string  `json:"state"`
	Incarnation uint64  `json:"incarnation"`
	WarmUpMS    int64   `json:"warm_up_ms"`
	Load        float64 `json:"load"`
	Token       string  `json:"token,omitempty"`
}

// announceUntilClosed renews the announcement at one entry host and switches to the next one after a
// failure. After a failure it waits for a shorter time than RenewEvery.
func (s *Server) announceUntilClosed() {
	host := int(s.cfg.Seed % uint64(len(s.cfg.Entries)))
	wait := time.Duration(0)
	for sleep(s.ctx, wait) {
		wait = s.cfg.RenewEvery
		server := s.Server()
		if server.State == backend.Left || s.Faults().RefuseOutbound {
			continue
		}
		if err := s.announceTo(s.cfg.Entries[host], server); err != nil {
			s.cfg.Log.Debug("cannot announce to the entry host; trying the next one", "host", s.cfg.Entries[host], "error", err)
			host = (host + 1) % len(s.cfg.Entries)
			wait = s.cfg.RenewEvery / time.Duration(2*len(s.cfg.Entries))
		}
	}
}

func (s *Server) announceTo(host string, b backend.Server) error {
	body, err := json.Marshal(announcement{
		Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots, Connections: b.Connections, State: b.State.String(),
		Incarnation: b.Incarnation, WarmUpMS: b.WarmUp.Milliseconds(), Load: min(b.Load, 1), Token: s.token,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	data, err := s.sendRequest(http.MethodPut, s.announcementURL(host), body)
	if err != nil {
		return err
	}
	var lease struct {
		Token string `json:"token"`
	}
	if err := json.Unmarshal(data, &lease); err != nil {
		return errors.Wrap(err, "cannot parse the response to the announcement")
	}
	s.token = lease.Token
	return nil
}

func (s *Server) announcementURL(host string) string {
	return fmt.Sprintf("http://%s/v1/backends/%s/%s", host, s.cfg.Service, s.cfg.Instance)
}

func (s *Server) sendRequest(method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := s.cfg.Client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnnounceResponseBytes))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Errorf("the entry host responded with status %d: %s", response.StatusCode, data)
	}
	return data, nil
}

// withdraw removes the announcement at the first entry host that accepts the withdrawal.
func (s *Server) withdraw() {
	for _, host := range s.cfg.Entries {
		url := fmt.Sprintf("%s?incarnation=%d", s.announcementURL(host), s.Incarnation())
		if _, err := s.sendRequest(http.MethodDelete, url, nil); err == nil {
			return
		}
	}
}
