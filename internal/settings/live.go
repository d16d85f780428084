package settings

import (
	"context"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// reloadInterval is the time between two periodic reloads, which find a file that changed without a signal.
const reloadInterval = time.Second

// Live holds the settings in force. Only the list of control replicas, through which hosts are found, can
// change while the process runs; other changes need a restart. It is safe for concurrent use.
type Live struct {
	current        atomic.Pointer[Settings]
	load           func() (*Settings, error)
	logger         *log.Logger
	lastLoadFailed bool
}

// NewLive returns a Live that starts with s and reloads it with load. With a nil load the settings never
// change.
func NewLive(s *Settings, load func() (*Settings, error), logger *log.Logger) *Live {
	l := &Live{load: load, logger: logger.WithPrefix("settings")}
	l.current.Store(s)
	return l
}

// Replicas returns the control replicas in force.
func (l *Live) Replicas() []Replica {
	return l.current.Load().ControlReplicas
}

// Run reloads the settings every second, and immediately after a signal, until the context ends.
func (l *Live) Run(ctx context.Context, signals <-chan os.Signal) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			l.logger.Info("received a signal to reload the settings")
			l.reload()
		case <-ticker.C:
			l.reload()
		}
	}
}

// reload loads the settings. It keeps those in force if the new ones are invalid, and logs only the first
// of several failures in a row.
func (l *Live) reload() {
	if l.load == nil {
		return
	}
	next, err := l.load()
	if err != nil {
		if !l.lastLoadFailed {
			l.logger.Error("the new settings are invalid; keeping those in force", "err", err.Error())
		}
		l.lastLoadFailed = true
		return
	}
	l.lastLoadFailed = false
	previous := l.current.Load()
	if slices.Equal(next.ControlReplicas, previous.ControlReplicas) {
		return
	}
	changed := *previous
	changed.ControlReplicas = next.ControlReplicas
	l.current.Store(&changed)
	addresses := make([]string, 0, len(next.ControlReplicas))
	for _, r := range next.ControlReplicas {
		addresses = append(addresses, r.Address)
	}
	l.logger.Info("reloaded the settings", "control_replicas", addresses)
}
