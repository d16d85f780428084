package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop checks LOST. Clients send two safe requests at once on one connection, and a while later the front machine gets
// SIGTERM. The second request reaches its server after that, and is still at work when the machine stops to accept.
func playStop(f *fleet, trouble bool) (verdict, error) {
	const (
		clients = 8
		// firstWork and secondWork are how long the servers work on the first and the second request of a client. With the
		// stop after stopAfter the second one is answered 3.5 s after the stop, of a grace of 6 s.
		firstWork  = 2 * time.Second
		secondWork = 2500 * time.Millisecond
		stopAfter  = time.Second
		deadline   = 10 * time.Second
	)
	if err := f.putConfig(
		route{host: hostName, prefix: "/first/", kind: "safe", service: "first", timeout: "5000ms", attempts: 2},
		route{host: hostName, prefix: "/second/", kind: "safe", service: "second", timeout: "5000ms", attempts: 2},
	); err != nil {
		return verdict{}, err
	}
	var l ledger
	for range 4 {
		for service, work := range map[string]time.Duration{"first": firstWork, "second": secondWork} {
			if _, err := f.newServer(&l, serverOptions{service: service, slots: 6, work: work}); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	stopped := f.fronts[0]
	front := net.JoinHostPort(stopped.ip, fmt.Sprint(portFront))
	var group sync.WaitGroup
	answers := make([][]answer, clients)
	for i := range clients {
		group.Go(func() { answers[i] = f.sendBoth(front, []string{"/first/x", "/second/x"}, deadline) })
	}
	time.Sleep(stopAfter)
	if trouble {
		if err := f.signal(stopped, syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
	}
	group.Wait()
	ran := map[string]bool{}
	for _, r := range l.list() {
		ran[r.id] = true
	}
	lost, served := 0, 0
	for _, list := range answers {
		for _, a := range list {
			f.rec.printf("request %s at %s: passed on %v, status %d, %v after it was sent", a.id, a.front, ran[a.id], a.status, a.took.Round(time.Millisecond))
			switch {
			case a.status == http.StatusOK:
				served++
			case a.status == 0 && ran[a.id]:
				lost++
			}
		}
	}
	if served < clients {
		return verdict{}, fmt.Errorf("only %d requests were answered with success", served)
	}
	return verdict{lost > 0, fmt.Sprintf("%d of %d requests were passed on to a server and their connection ended without an answer; %d were answered with success", lost, 2*clients, served)}, nil
}

// sendBoth sends GET requests for the paths at once on one connection and reads their answers in order.
func (f *fleet) sendBoth(front string, paths []string, deadline time.Duration) []answer {
	answers := make([]answer, len(paths))
	var requests strings.Builder
	for i, path := range paths {
		answers[i] = answer{id: newRequestID(), front: front, sent: time.Now()}
		fmt.Fprintf(&requests, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, hostName, answers[i].id, deadline.Milliseconds())
	}
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answers
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(c, requests.String()); err != nil {
		return answers
	}
	responses := bufio.NewReader(c)
	for i := range answers {
		status, closes := readAnswer(responses)
		answers[i].status, answers[i].took = status, time.Since(answers[i].sent)
		if status == 0 || closes {
			break
		}
	}
	return answers
}

// readAnswer returns the status of the next complete answer, or 0, and whether the connection ends with it.
func readAnswer(r *bufio.Reader) (status int, closes bool) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, true
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, true
	}
	return response.StatusCode, response.Close
}
