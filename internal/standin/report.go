package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	sampleInterval  = 20 * time.Millisecond
	maxFaultsBytes  = 4 << 10
	jsonContentType = "application/json"
)

// statusSample is the state of the server at one time, which the health and load endpoints report
// after HealthLag.
type statusSample struct {
	at      time.Time
	healthy bool
	load    float64
}

// load returns the fraction of slots in use.
func (s *Server) load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return 0
	}
	return float64(s.process.running.Load()) / float64(s.cfg.Slots)
}

// recordSamples records a sample every sampleInterval and drops those that are no longer needed to
// report the state of HealthLag ago.
func (s *Server) recordSamples() {
	for sleep(s.ctx, sampleInterval) {
		now := statusSample{at: time.Now(), healthy: s.healthy(), load: s.load()}
		s.mu.Lock()
		s.samples = append(s.samples, now)
		for len(s.samples) > 1 && now.at.Sub(s.samples[1].at) >= s.cfg.HealthLag {
			s.samples = s.samples[1:]
		}
		s.mu.Unlock()
	}
}

// healthy reports whether the server considers itself healthy: it is running, not draining and past its
// cold start. Stalled work is ignored, as the simulated server does not notice it.
func (s *Server) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process != nil && !s.draining && time.Since(s.process.startedAt) >= s.cfg.ColdStart
}

// delayedSample returns the sample of HealthLag ago, or the oldest one if there is none that old.
func (s *Server) delayedSample() statusSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return statusSample{healthy: true}
	}
	return s.samples[0]
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), s.cfg.ProbeTime) {
		return
	}
	report := s.delayedSample()
	if !report.healthy || s.Faults().ReportUnhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "healthy")
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !sleep(r.Context(), s.cfg.ProbeTime) {
		return
	}
	load := s.delayedSample().load
	if s.Faults().ReportIdle {
		load = 0
	}
	writeJSON(w, struct {
		Load float64 `json:"load"`
	}{load})
}

// controlHandler returns the handler of the control listener.
func (s *Server) controlHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	m.HandleFunc("PUT /standin/faults", s.putFaults)
	m.HandleFunc("GET /standin/log", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Ledger()) })
	m.HandleFunc("POST /standin/drain", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.draining = true
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	})
	return m
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "the faults are malformed: "+err.Error()+"; send the known fields only", http.StatusBadRequest)
		return
	}
	if wrong := f.validate(); wrong != "" {
		http.Error(w, wrong, http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", jsonContentType)
	// An error means that the client closed the connection, so it cannot be reported to the client.
	_ = json.NewEncoder(w).Encode(v)
}
