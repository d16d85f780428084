// Package cli implements the commands of the binary. Output is for people by default,
// and for programs with --json.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// ErrNegativeResult is returned by a command that ran but whose result is negative, such as a benchmark that
// missed its target. The command has already printed the reason.
var ErrNegativeResult = errors.New("the command ran, but its result is negative")

// commands declares the command line.
type commands struct {
	Node          nodeCommand          `cmd:"" help:"Run an entry host, with a control replica if its settings have a control section."`
	Control       controlCommand       `cmd:"" help:"Run a control replica."`
	Platform      platformCommand      `cmd:"" help:"Run the process that the settings of the users' platform describe."`
	Backend       backendCommand       `cmd:"" help:"Run a stand-in backend server."`
	Demo          demoCommand          `cmd:"" help:"Run an embedded fleet with a load, all in one process."`
	Config        configCommands       `cmd:"" help:"Read and change the replicated configuration."`
	Hosts         hostsCommand         `cmd:"" help:"List the hosts as a node sees them."`
	Backends      backendsCommand      `cmd:"" help:"List the backend servers with the dispatchers' judgement."`
	Drain         drainCommand         `cmd:"" help:"Drain a host or a backend server."`
	Report        reportCommands       `cmd:"" help:"Reports."`
	Bench         benchCommands        `cmd:"" help:"Load and experiment tool."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Validate a settings file or a configuration file."`
}

// output holds the writers that a command prints to.
type output struct {
	out  io.Writer
	errs io.Writer
}

// Run executes the command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// After the first signal, the default handling is restored, so that a second signal ends the process.
	context.AfterFunc(ctx, stop)
	return run(ctx, args, stdout, stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	exited := false
	status := exitOK
	parser, err := kong.New(&commands{},
		kong.Name("tarragonmux"),
		kong.Description("A proxy fleet for backend servers with gray failures."),
		kong.Writers(stdout, stderr),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { exited, status = true, code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(&output{out: stdout, errs: stderr}),
	)
	if err != nil {
		fmt.Fprintln(stderr, "tarragonmux:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if exited {
		return status
	}
	if err != nil {
		fmt.Fprintf(stderr, "tarragonmux: %v; see tarragonmux --help\n", err)
		return exitUsage
	}
	return exitStatus(parsed.Run(), stderr)
}

// exitStatus returns the exit status for the error of a command. It prints the error, except for
// ErrNegativeResult, whose reason the command has already printed.
func exitStatus(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	if !errors.Is(err, ErrNegativeResult) {
		fmt.Fprintln(stderr, "tarragonmux:", err)
	}
	return exitFailure
}
