package standin_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tarragonmux/tarragonmux/internal/backend"
	"github.com/tarragonmux/tarragonmux/internal/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stand-in")
}

func startStandin(cfg standin.Config) *standin.Server {
	cfg.Service, cfg.Instance, cfg.DataCentre = "cuefeed", "i-1", "a"
	s, err := standin.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Close)
	return s
}

// sendRequest sends one request on a separate connection. It returns the status, the outcome header
// followed by the body, and the error.
func sendRequest(ctx context.Context, method, address, path, body string, headers ...string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Tarragon-Outcome") + string(text), err
}

var _ = Describe("A stand-in", func() {
	ctx := context.Background()

	// Guards against a stand-in without limits, which would hide the effects of overload on real backend
	// servers.
	It("runs up to its slots, queues up to its queue and rejects the rest before running it", func() {
		s := startStandin(standin.Config{Slots: 2, Queue: 1})
		s.SetFaults(standin.Faults{StallWork: true})
		type reply struct {
			status int
			text   string
		}
		replies := make(chan reply, 5)
		for range 5 {
			go func() {
				status, text, _ := sendRequest(ctx, "GET", s.Address(), "/w", "")
				replies <- reply{status, text}
			}()
		}
		for range 2 {
			Eventually(replies).Should(Receive(Equal(reply{503, "not-runno slot\n"})))
		}
		Eventually(func() float64 { return s.Server().Load }).Should(Equal(1.0))
		status, text, err := sendRequest(ctx, "GET", s.Address(), "/healthz", "")
		Expect([]any{status, text, err}).To(Equal([]any{200, "healthy\n", nil}), "the health endpoint responds while work is stalled")
		s.SetFaults(standin.Faults{})
		for range 3 {
			var got reply
			Eventually(replies).Should(Receive(&got))
			Expect(got.status).To(Equal(200))
		}
		Expect(s.Ledger().Total).To(Equal(standin.Run{Started: 3, Finished: 3}))
		Expect(s.Ledger().Rejected).To(Equal(2))
	})

	It("cancels work whose client disconnected or whose deadline expired", func() {
		s := startStandin(standin.Config{WorkTime: time.Minute})
		status, _, err := sendRequest(ctx, "GET", s.Address(), "/w", "", "Grpc-Timeout", "20m", "Request-Id", "r")
		Expect([]any{status, err}).To(Equal([]any{504, nil}))
		shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, _, err = sendRequest(shortCtx, "GET", s.Address(), "/w", "")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(func() int { return s.Ledger().Total.Cancelled }).Should(Equal(2))
		Expect(s.Ledger().Requests["r"]).To(Equal(standin.Run{Started: 1, Cancelled: 1}))
	})

	// Guards against a simulated crash that keeps the incarnation or the warm state: it would not exercise
	// recovery.
	It("crashes on a marked request and restarts cold with a new incarnation", func() {
		s := startStandin(standin.Config{WorkTime: time.Minute, RestartAfter: 300 * time.Millisecond, ColdStart: 400 * time.Millisecond})
		Eventually(func() backend.State { return s.Server().State }).Should(Equal(backend.Ready))
		before := s.Incarnation()
		other := make(chan error)
		go func() {
			_, _, err := sendRequest(ctx, "GET", s.Address(), "/w", "")
			other <- err
		}()
		Eventually(func() int { return s.Ledger().Total.Started }).Should(Equal(1))
		_, _, err := sendRequest(ctx, "GET", s.Address(), "/w", "", standin.HeaderCrash, "1", "Idempotency-Key", "k")
		Expect(err).To(HaveOccurred())
		Expect(<-other).To(HaveOccurred(), "other connections are reset too")
		_, _, err = sendRequest(ctx, "GET", s.Address(), "/w", "")
		Expect(err).To(HaveOccurred(), "the crashed server does not listen")
		Eventually(func() backend.State { return s.Server().State }).Should(Equal(backend.Starting))
		Expect(s.Incarnation()).To(BeNumerically(">", before))
		_, text, err := sendRequest(ctx, "GET", s.Address(), "/w", "")
		Expect([]any{text, err}).To(Equal([]any{"not-runnot ready\n", nil}))
		Eventually(func() backend.State { return s.Server().State }).Should(Equal(backend.Ready))
		Expect(s.Ledger().Keys["k"].Started).To(Equal(1), "the log of work is kept across the crash")
	})

	It("finishes accepted work and rejects new work while draining", func() {
		s := startStandin(standin.Config{WorkTime: 100 * time.Millisecond})
		first := make(chan int)
		go func() {
			status, _, _ := sendRequest(ctx, "GET", s.Address(), "/w", "")
			first <- status
		}()
		Eventually(func() int { return s.Ledger().Total.Started }).Should(Equal(1))
		drained := make(chan error)
		go func() { drained <- s.Drain(ctx) }()
		Eventually(func() backend.State { return s.Server().State }).Should(Equal(backend.Draining))
		status, text, err := sendRequest(ctx, "GET", s.Address(), "/w", "")
		Expect([]any{status, text, err}).To(Equal([]any{503, "not-runnot ready\n", nil}))
		Expect(<-first).To(Equal(200))
		Expect(<-drained).To(Succeed())
	})

	// Guards against faults that cannot be set or removed at run time, for example because the fault also
	// affects the control listener: tests of recovery would then be impossible.
	It("accepts faults over its control listener while the work listener refuses connections", func() {
		s := startStandin(standin.Config{WorkTime: -1, Connections: 1})
		put := func(text string) int {
			status, _, err := sendRequest(ctx, "PUT", s.ControlAddress(), "/standin/faults", text)
			Expect(err).NotTo(HaveOccurred())
			return status
		}
		Expect(put(`{"refuse_inbound":true}`)).To(Equal(204))
		_, _, err := sendRequest(ctx, "GET", s.Address(), "/w", "")
		Expect(err).To(HaveOccurred())
		Expect(put(`{"drop_answers":true}`)).To(Equal(204))
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, _, err = sendRequest(shortCtx, "GET", s.Address(), "/w", "", "Request-Id", "lost")
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(s.Ledger().Requests["lost"].Finished).To(Equal(1), "the work ran although its response was lost")
		Expect(put(`{"error_share":1,"slow_factor":0.5}`)).To(Equal(204))
		Eventually(func() int {
			status, _, _ := sendRequest(ctx, "GET", s.Address(), "/w", "")
			return status
		}).Should(Equal(500))
		Expect(put(`{"error_share":2}`)).To(Equal(400))
		Expect(put(`{"unknown":1}`)).To(Equal(400))
		_, text, err := sendRequest(ctx, "GET", s.ControlAddress(), "/standin/log", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(ContainSubstring(`"lost":{"started":1,"finished":1,"cancelled":0}`))
	})

	It("flaps, and reports its health with a delay", func() {
		s := startStandin(standin.Config{WorkTime: -1, HealthLag: 250 * time.Millisecond, ProbeTime: -1})
		s.SetFaults(standin.Faults{FlapMS: 80})
		slow, fast := 0, 0
		for began := time.Now(); time.Since(began) < 300*time.Millisecond; {
			sent := time.Now()
			_, _, err := sendRequest(ctx, "GET", s.Address(), "/w", "")
			Expect(err).NotTo(HaveOccurred())
			if time.Since(sent) > 40*time.Millisecond {
				slow++
			} else {
				fast++
			}
		}
		Expect(slow).To(BeNumerically(">", 0))
		Expect(fast).To(BeNumerically(">", 0))
		Expect(s.Drain(ctx)).To(Succeed())
		health := func() int {
			status, _, _ := sendRequest(ctx, "GET", s.Address(), "/healthz", "")
			return status
		}
		Consistently(health, 100*time.Millisecond).Should(Equal(200), "the report is delayed")
		Eventually(health).Should(Equal(503))
	})
})
