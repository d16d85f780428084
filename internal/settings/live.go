package settings

import (
	"context"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// reloadInterval is how often the settings are read again, since a file may change without a signal.
const reloadInterval = time.Second

// Live holds the settings in force. Only the control replicas, through which hosts are found, change
// while the process runs; other changes need a restart. It is safe for concurrent use.
type Live struct {
	current atomic.Pointer[Settings]
	load    func() (*Settings, error)
	logger  *log.Logger
	lastLoadFailed  bool
}

// NewLive returns the holder of the settings, which load reads again. A nil load means that they never change.
func NewLive(s *Settings, load func() (*Settings, error), logger *log.Logger) *Live {
	l := &Live{load: load, logger: logger.WithPrefix("settings")}
	l.current.Store(s)
	return l
}

// Replicas returns the control replicas in force.
func (l *Live) Replicas() []Replica {
	return l.current.Load().ControlReplicas
}

// Run reads the settings again every second, and at once after a signal, until the context ends.
func (l *Live) Run(ctx context.Context, signals <-chan os.Signal) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			l.logger.Info("asked to read the settings again")
			l.reload()
		case <-ticker.C:
			l.reload()
		}
	}
}

// reload keeps the settings in force if the new ones are at fault.
func (l *Live) reload() {
	if l.load == nil {
		return
	}
	next, err := l.load()
	if err != nil {
		if !l.lastLoadFailed {
			l.logger.Error("kept the settings in force, since the new ones are at fault", "err", err.Error())
		}
		l.lastLoadFailed = true
		return
	}
	l.lastLoadFailed = false
	former := l.current.Load()
	if slices.Equal(next.ControlReplicas, former.ControlReplicas) {
		return
	}
	changed := *former
	changed.ControlReplicas = next.ControlReplicas
	l.current.Store(&changed)
	addresses := make([]string, 0, len(next.ControlReplicas))
	for _, r := range next.ControlReplicas {
		addresses = append(addresses, r.Address)
	}
	l.logger.Info("reloaded the settings", "control_replicas", addresses)
}
