package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	drainBound = 2 * time.Second
	// uploadBytes is the size of an upload. max_body_bytes allows 64 MB.
	uploadBytes = 700_000
	// minBodyPause and maxBodyPause bound how long a client takes to make the body after it has sent the header.
	minBodyPause = 2300 * time.Millisecond
	maxBodyPause = 3300 * time.Millisecond
	// uploadDeadline is the client's deadline, and the timeout of the route.
	uploadDeadline = 6 * time.Second
	// servesOn is for how long an instance serves after its drain was acknowledged: the bound and a little longer.
	servesOn = 3 * time.Second
)

// upload sends the header of an upload, pauses and sends the body. It returns the status, or 0 without a response.
func (p *play) upload(entry, id string, pause time.Duration) int {
	conn, err := net.Dial("tcp", hostPort(entry, entryPort))
	if err != nil {
		p.recordf("client: upload %s cannot connect: %v", id, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadDeadline))
	p.recordf("client sends the header of upload %s to %s", id, entry)
	_, err = fmt.Fprintf(conn, "POST /upload/batch HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		hostName, id, uploadDeadline.Milliseconds(), uploadBytes)
	if err != nil {
		return 0
	}
	time.Sleep(pause)
	p.recordf("client sends the body of upload %s", id)
	if _, err := conn.Write(bytes.Repeat([]byte("r"), uploadBytes)); err != nil {
		p.recordf("client: the body of upload %s: %v", id, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		p.recordf("client gets no response to upload %s: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	p.recordf("client gets %d %q to upload %s (error %v)", resp.StatusCode, text, id, err)
	return resp.StatusCode
}

// lateBody drains one of eight instances while clients upload. DRAIN is broken if a request reaches the instance later
// than the bound after the drain was acknowledged.
func lateBody(p *play) (broken bool, err error) {
	const controls, entries, instances, uploads = 3, 3, 8, 24
	if err := p.startFleet(controls, entries); err != nil {
		return false, err
	}
	text := document(1, []string{"meter"}, route{"r-upload", "/upload/", "upload", "meter", uploadDeadline})
	if err := p.put(controls, 1, text, 20*time.Second); err != nil {
		return false, err
	}
	var servers []*instance
	for i := range instances {
		s, err := p.startInstance(fmt.Sprintf("i-%d", i+1), "meter", zoneOf(i), p.newInstanceAddress(), controls, 6, 220*time.Millisecond)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := p.awaitReady(entries, 20*time.Second); err != nil {
		return false, err
	}
	// All machines are in touch after contact, 3 s.
	time.Sleep(6 * time.Second)
	if status := p.upload(p.entry(0), "first", 0); status != http.StatusOK {
		return false, fmt.Errorf("the first upload got %d", status)
	}
	var group sync.WaitGroup
	statuses := make([]int, uploads)
	for i := range uploads {
		pause := minBodyPause + time.Duration(i)*(maxBodyPause-minBodyPause)/uploads
		group.Go(func() { statuses[i] = p.upload(p.entry(i%entries), fmt.Sprintf("u-%d", i), pause) })
	}
	time.Sleep(100 * time.Millisecond)
	if !p.trouble {
		group.Wait()
		return false, nil
	}
	acknowledged, err := servers[0].drain()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	servers[0].leave()
	group.Wait()
	for i, status := range statuses {
		if status != http.StatusOK {
			p.recordf("upload u-%d was not served: status %d", i, status)
		}
	}
	for _, a := range servers[0].arrived() {
		if late := a.at.Sub(acknowledged); late > drainBound {
			broken = true
			p.recordf("DRAIN: request %s reached instance %s %.3f s after its drain was acknowledged (run: %v)", a.id, a.instance, late.Seconds(), a.run)
		}
	}
	return broken, nil
}
