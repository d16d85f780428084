package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryLimit is memory_mb of the settings of a core machine.
	memoryLimit = 280 << 20
	// restartDelay is the pause before the platform starts a process again that has ended.
	restartDelay  = 500 * time.Millisecond
	memoryChecked = 10 * time.Millisecond
	catchUp       = 4 * time.Second
)

// anonymousMemory returns the memory of the process that is not backed by a file, in bytes; 0 if it has ended.
func (m *machine) anonymousMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if value, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, _ := strconv.Atoi(string(bytes.TrimSpace(bytes.TrimSuffix(bytes.TrimSpace(value), []byte("kB")))))
			return kb << 10
		}
	}
	return 0
}

// memoryGuard does what the platform does with processes of core machines: it kills those that use more memory than they
// may, and starts ended ones again.
type memoryGuard struct {
	f    *fleet
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	kills map[string]int
	peaks map[string]int
}

func (f *fleet) guardMemory() *memoryGuard {
	g := &memoryGuard{f: f, stop: make(chan struct{}), kills: map[string]int{}, peaks: map[string]int{}}
	for _, m := range f.cores {
		g.done.Go(func() { g.watch(m) })
	}
	return g
}

func (g *memoryGuard) watch(m *machine) {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(memoryChecked):
		}
		g.mu.Lock()
		used := m.anonymousMemory()
		g.peaks[m.ip] = max(g.peaks[m.ip], used)
		if used > memoryLimit {
			g.kills[m.ip]++
			g.f.rec.printf("process on %s uses %d MB, above its memory_mb of %d, and is killed", m.ip, used>>20, memoryLimit>>20)
			_ = m.cmd.Process.Kill()
			<-m.done
			time.Sleep(restartDelay)
			if err := g.f.start(m, false); err != nil {
				g.f.rec.printf("start: %v", err)
			}
		}
		g.mu.Unlock()
	}
}

// loseDisk ends the process of the machine, empties its disk and starts it again after the given time.
func (g *memoryGuard) loseDisk(m *machine, downFor time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.f.signal(m, syscall.SIGKILL); err != nil {
		return err
	}
	<-m.done
	if err := os.RemoveAll(filepath.Join(m.folder, "data")); err != nil {
		return err
	}
	time.Sleep(downFor)
	g.f.rec.printf("machine %s is back with an empty disk", m.ip)
	return g.f.start(m, false)
}

// readConfig returns the status and the version of a read of the configuration.
func (f *fleet) readConfig(m *machine) (status, version int) {
	client := &http.Client{Timeout: nodeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/config", m.ip, portControl))
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	var document struct {
		Version int `json:"version"`
	}
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && json.Unmarshal(content, &document) == nil {
		version = document.Version
	}
	return response.StatusCode, version
}

// playMemory checks LOST and CONFIG. After many changes of a configuration, core machines lose their disks one after the
// other, each after the one before has had catch_up to recover.
func playMemory(f *fleet, trouble bool) (verdict, error) {
	const (
		routes  = 16 + 6*350
		changes = 90
		gap     = 330 * time.Millisecond
		// A storm has stormChanges changes in 4 s, and stormPause lies between two.
		stormChanges = 12
		stormPause   = time.Second
		losses       = 3
		downFor      = time.Second
		margin       = time.Second
		// readFor is how long the configuration is read back at the end.
		readFor = 5 * contact
	)
	var l ledger
	for range 3 {
		if _, err := f.newServer(&l, serverOptions{service: "stock", slots: 2, work: 100 * time.Millisecond}); err != nil {
			return verdict{}, err
		}
	}
	var list []route
	for i := range routes {
		list = append(list, route{host: hostName, prefix: fmt.Sprintf("/r%d/", i), kind: "safe", service: "stock", timeout: "2000ms", attempts: 2})
	}
	guard := f.guardMemory()
	defer func() {
		close(guard.stop)
		guard.done.Wait()
	}()
	for n := range changes {
		began := time.Now()
		list[n%routes].timeout = fmt.Sprintf("%dms", 1500+n)
		if err := f.putConfig(list...); err != nil {
			return verdict{}, err
		}
		time.Sleep(gap - time.Since(began))
		if n%stormChanges == stormChanges-1 {
			time.Sleep(stormPause)
		}
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	if trouble {
		for _, m := range f.cores[:losses] {
			if err := guard.loseDisk(m, downFor); err != nil {
				return verdict{}, err
			}
			time.Sleep(catchUp + margin)
		}
	}
	until := time.Now().Add(readFor)
	newest, answered := 0, 0
	for time.Now().Before(until) {
		for _, m := range f.cores {
			status, version := f.readConfig(m)
			f.rec.printf("read of the configuration at %s: status %d, version %d", m.ip, status, version)
			if status == http.StatusOK {
				answered++
				newest = max(newest, version)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	text := fmt.Sprintf("version %d was acknowledged; in %v of reads %d were answered, the newest with version %d; processes killed for their memory: %v; peak memory: %v",
		f.version, readFor, answered, newest, guard.kills, guard.peaks)
	return verdict{newest < f.version, text}, nil
}
