package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonmux/tarragonmux/internal/app"
	"github.com/tarragonmux/tarragonmux/internal/configuration"
	"github.com/tarragonmux/tarragonmux/internal/logging"
	"github.com/tarragonmux/tarragonmux/internal/settings"
	"github.com/tarragonmux/tarragonmux/internal/standin"
	"github.com/tarragonmux/tarragonmux/platform"
)

const (
	// standinDrainTimeout limits how long a stopping stand-in waits for its accepted work.
	standinDrainTimeout = time.Minute
	// standinLeaveTime is how long a draining stand-in keeps accepting connections and rejects new
	// requests. After 3 s no node sends new work. A server that closes earlier breaks connections
	// on which a request may just have been written.
	standinLeaveTime = 3 * time.Second
	// logCloseTimeout limits the time to write the last log lines.
	logCloseTimeout = 100 * time.Millisecond
)

type nodeCommand struct {
	Settings string `arg:"" help:"Settings file." type:"path"`
}

type platformCommand struct {
	Settings string `arg:"" optional:"" help:"Settings file in the platform's format. Default: the file that TARRAGONMUX_BOOT names, or /etc/tarragonmux/settings.yaml." type:"path"`
}

// Run runs the process that the platform's settings describe until the context ends. Log lines go to
// the standard output.
func (c *platformCommand) Run(ctx context.Context, out *output) error {
	path := cmp.Or(c.Settings, os.Getenv(platform.SettingsVariable), platform.SettingsPath)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	lines := logging.NewAsync(out.out)
	defer closeLog(ctx, lines)
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	return app.Run(ctx, s, lines, app.Options{
		Adapter: platform.New(logging.New(lines, s.Log.Level, s.Log.JSON)),
		Reload:  func() (*settings.Settings, error) { return platform.LoadSettings(path) },
		Signals: hangUps,
	})
}

// Run runs an entry host until the context ends.
func (c *nodeCommand) Run(ctx context.Context, out *output) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Entry == nil {
		return errors.New("the settings have no entry section; add one, or run: tarragonmux control")
	}
	return app.Run(ctx, s, out.errs, app.Options{})
}

// closeLog writes the queued log lines. It gives up after logCloseTimeout, in case nobody reads the output.
func closeLog(ctx context.Context, lines *logging.Async) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), logCloseTimeout)
	defer cancel()
	lines.Close(bounded)
}

type controlCommand struct {
	Settings string `arg:"" help:"Settings file." type:"path"`
}

// Run runs a control replica until the context ends.
func (c *controlCommand) Run(ctx context.Context, out *output) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.Control == nil {
		return errors.New("the settings have no control section; add one, or run: tarragonmux node")
	}
	return app.Run(ctx, s, out.errs, app.Options{})
}

type backendCommand struct {
	Service      string        `help:"Service that the stand-in belongs to." required:""`
	Instance     string        `help:"Name of the stand-in, unique in its service." required:""`
	DataCentre   string        `help:"Data centre that is announced." required:""`
	Address      string        `help:"Address (ip:port) for work." default:"127.0.0.1:0"`
	Control      string        `help:"Address (ip:port) for faults and the log of work." default:"127.0.0.1:0"`
	Entry        []string      `help:"Entry hosts (ip:port) to announce to." placeholder:"ADDRESS"`
	Slots        int           `help:"Requests that run at once." default:"6"`
	Connections  int           `help:"Connections that are accepted at once." default:"330"`
	WorkTime     time.Duration `help:"Mean time of one request." default:"20ms"`
	ColdStart    time.Duration `help:"Time in the state starting." default:"0s"`
	WarmUp       time.Duration `help:"Time from ready to full speed." default:"0s"`
	HealthLag    time.Duration `help:"Age of the answers of the health and load endpoints." default:"0s"`
	RestartAfter time.Duration `help:"Time from a crash to the next start; negative means never." default:"1s"`
}

// Run runs a stand-in backend server until the context ends, then drains and closes it.
func (c *backendCommand) Run(ctx context.Context, out *output) error {
	logger := logging.New(out.errs, logging.LevelInfo, false).WithPrefix("backend")
	server, err := standin.New(standin.Config{
		Service:        c.Service,
		Instance:       c.Instance,
		DataCentre:     c.DataCentre,
		Address:        c.Address,
		ControlAddress: c.Control,
		Entries:        c.Entry,
		Slots:          c.Slots,
		Connections:    c.Connections,
		WorkTime:       c.WorkTime,
		ColdStart:      c.ColdStart,
		WarmUp:         c.WarmUp,
		HealthLag:      c.HealthLag,
		RestartAfter:   c.RestartAfter,
		Log:            logger,
	})
	if err != nil {
		return err
	}
	if err := server.Start(); err != nil {
		return err
	}
	logger.Info("started", "work", server.Address(), "control", server.ControlAddress())
	<-ctx.Done()
	logger.Info("draining")
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinDrainTimeout)
	defer cancel()
	leaveTimer := time.After(standinLeaveTime)
	err = server.Drain(drainCtx)
	<-leaveTimer
	server.Close()
	return err
}

type checkSettingsCommand struct {
	Files []string `arg:"" help:"Settings files and configuration documents, told apart by their content." type:"existingfile"`
}

// Run validates each file and fails if one is invalid.
func (c *checkSettingsCommand) Run(out *output) error {
	failed := false
	for _, path := range c.Files {
		kind, err := checkFile(path)
		if err != nil {
			failed = true
			out.warnf("%s:\n%v\n", path, err)
			continue
		}
		if err := out.printf("%s: valid %s\n", path, kind); err != nil {
			return err
		}
	}
	if failed {
		return ErrNegativeResult
	}
	return nil
}

// checkFile validates the file and returns its kind: settings or configuration.
func checkFile(path string) (kind string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read the file; check its path")
	}
	if !isConfiguration(data) {
		_, err := settings.Parse(data)
		return "settings", err
	}
	document, err := configuration.ParseDocument(data)
	if err != nil {
		return "", err
	}
	if rejection := configuration.ValidateDocument(document); rejection != nil {
		return "", rejection
	}
	return "configuration", nil
}

// isConfiguration reports whether the data is a configuration document, by the sections that settings lack.
func isConfiguration(data []byte) bool {
	var sections struct {
		Services json.RawMessage `json:"services"`
		Routes   json.RawMessage `json:"routes"`
		Hosts    json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(data, &sections); err != nil {
		return false
	}
	return sections.Services != nil || sections.Routes != nil || sections.Hosts != nil
}
