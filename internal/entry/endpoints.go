package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/tarragonmux/tarragonmux/internal/problem"
)

// maxCallerBytes limits the caller's name in an endpoint query.
const maxCallerBytes = 256

// EndpointsResponse is the response body of GET /v1/endpoints.
type EndpointsResponse struct {
	Endpoints []Endpoint `json:"endpoints"`
	// TTLMS is how long callers may cache the list, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// handleEndpoints returns the addresses that a caller may use for a service.
func (s *Server) handleEndpoints(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	service, caller := query.Get("service"), query.Get("caller")
	refusal := s.checkService(service)
	if refusal == nil && len(caller) > maxCallerBytes {
		refusal = problem.New(problem.BadRequest, problem.NotRun, "the caller's name exceeds 256 bytes")
	}
	if refusal != nil {
		refusal.Write(w, "")
		return
	}
	list := s.cfg.Endpoints(service, caller)
	if len(list) == 0 {
		problem.New(problem.NoCapacity, problem.NotRun, "no host can reach the service").After(time.Second).Write(w, "")
		return
	}
	writeJSON(w, EndpointsResponse{Endpoints: list, TTLMS: s.cfg.Settings.EndpointTTL.D().Milliseconds()})
}

// checkService refuses services that are not configured.
func (s *Server) checkService(service string) *problem.Problem {
	snapshot := s.cfg.Routes.Current()
	switch {
	case snapshot == nil || !s.cfg.Ready():
		return problem.New(problem.Starting, problem.NotRun, "").After(hostRetryAfter)
	case service == "":
		return problem.New(problem.BadRequest, problem.NotRun, "the service is missing")
	case !snapshot.HasService(service):
		return problem.New(problem.NoRoute, problem.NotRun, "the service is not configured")
	default:
		return nil
	}
}

func writeJSON(w http.ResponseWriter, response any) {
	body, err := json.Marshal(response)
	if err != nil {
		problem.New(problem.Internal, problem.NotRun, "").Write(w, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// An error means that the caller has disconnected, so it cannot be reported.
	_, _ = w.Write(body)
}
