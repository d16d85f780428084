package baseline

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// maxConsecutiveFailures is how many consecutive failures eject a server on this node.
	maxConsecutiveFailures = 5
	// baseEjectionTime is the duration of a first ejection; it is multiplied by the number of ejections.
	baseEjectionTime = 5 * time.Second
	// maxEjectionTime bounds the duration of an ejection.
	maxEjectionTime = 5 * time.Minute
	// maxEjectedShare is the largest share of the servers that a node ejects.
	maxEjectedShare = 0.5
)

type outlierRecord struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// outlierDetector ejects servers on one node.
type outlierDetector struct {
	records map[string]*outlierRecord
}

func (o *outlierDetector) ejected(now time.Time, instance string) bool {
	r := o.records[instance]
	return r != nil && now.Before(r.ejectedUntil)
}

// recordCompletion records the end of a request; total is the number of known servers.
func (o *outlierDetector) recordCompletion(now time.Time, instance string, result grant.Result, total int) {
	r := o.records[instance]
	if r == nil {
		r = &outlierRecord{}
		o.records[instance] = r
	}
	switch result {
	case grant.OK:
		r.consecutiveFailures = 0
	case grant.Error, grant.ConnectFailed, grant.Broken, grant.Timeout:
		r.consecutiveFailures++
	}
	if r.consecutiveFailures < maxConsecutiveFailures || o.ejected(now, instance) {
		return
	}
	if float64(o.ejectedCount(now)+1) > maxEjectedShare*float64(total) {
		return
	}
	r.consecutiveFailures = 0
	r.ejections++
	r.ejectedUntil = now.Add(min(baseEjectionTime*time.Duration(r.ejections), maxEjectionTime))
}

func (o *outlierDetector) ejectedCount(now time.Time) int {
	count := 0
	for _, r := range o.records {
		if now.Before(r.ejectedUntil) {
			count++
		}
	}
	return count
}
