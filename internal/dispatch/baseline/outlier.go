package baseline

import (
	"time"

	"github.com/tarragonmux/tarragonmux/internal/grant"
)

const (
	// failuresInARow eject a server on this node.
	failuresInARow = 5
	// ejectFor is the time of a first ejection; it is multiplied by the number of ejections.
	ejectFor = 5 * time.Second
	// ejectCap bounds the time of an ejection.
	ejectCap = 5 * time.Minute
	// mostEjected is the share of the servers that a node ejects at most.
	mostEjected = 0.5
)

type record struct {
	failures  int
	ejections int
	until     time.Time
}

// outliers is the per-node ejection.
type outliers struct {
	records map[string]*record
}

func (o *outliers) ejected(now time.Time, instance string) bool {
	r := o.records[instance]
	return r != nil && now.Before(r.until)
}

// observe counts the end of a request; total is the number of known servers.
func (o *outliers) observe(now time.Time, instance string, result grant.Result, total int) {
	r := o.records[instance]
	if r == nil {
		r = &record{}
		o.records[instance] = r
	}
	switch result {
	case grant.OK:
		r.failures = 0
	case grant.Error, grant.ConnectFailed, grant.Broken, grant.Timeout:
		r.failures++
	}
	if r.failures < failuresInARow || o.ejected(now, instance) {
		return
	}
	if float64(o.count(now)+1) > mostEjected*float64(total) {
		return
	}
	r.failures = 0
	r.ejections++
	r.until = now.Add(min(ejectFor*time.Duration(r.ejections), ejectCap))
}

func (o *outliers) count(now time.Time) int {
	count := 0
	for _, r := range o.records {
		if now.Before(r.until) {
			count++
		}
	}
	return count
}
