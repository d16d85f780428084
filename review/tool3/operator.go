package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// callTimeout is how long callers of control hosts wait for a response.
	callTimeout = time.Second
	retryPause  = 200 * time.Millisecond
)

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

const hostName = "cue.example"

// document returns a configuration.
func document(version int, services []string, routes ...route) []byte {
	var resources []map[string]any
	add := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{"resource_kind": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		add("routes", r.name, map[string]any{
			"host": hostName, "path_prefix": r.prefix, "kind": r.kind, "timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			"target_latency": "1200ms", "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		add("services", s, map[string]any{"health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false})
	}
	resources = append(resources, map[string]any{"resource_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
	}})
	text, err := json.Marshal(map[string]any{"version": version, "resources": resources})
	if err != nil {
		panic(err)
	}
	return text
}

// call sends one request to a control host and returns the status, or 0 without a response.
func call(method, url string, body []byte) (status int, response []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := controlClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// put sends a configuration until it is acknowledged, to one control host after another.
func (p *play) put(controls int, version int, text []byte, within time.Duration) error {
	for began, i := time.Now(), 0; time.Since(began) < within; i++ {
		status, _ := call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/config", p.control(i%controls), controlPort), text)
		if status == http.StatusOK {
			p.recordf("configuration %d acknowledged by %s", version, p.control(i%controls))
			return nil
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("configuration %d was not acknowledged within %v", version, within)
}

// awaitReady waits until all entry hosts are ready.
func (p *play) awaitReady(entries int, within time.Duration) error {
	for began := time.Now(); time.Since(began) < within; time.Sleep(retryPause) {
		ready := 0
		for i := range entries {
			if status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/ready", p.entry(i), readyPort), nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == entries {
			p.recordf("all %d entry hosts are ready", entries)
			return nil
		}
	}
	return fmt.Errorf("the entry hosts were not ready within %v", within)
}
