// Package cli holds the commands of the binary.
package cli

import (
	"fmt"
	"io"
)

// Run executes the command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	fmt.Fprintln(stderr, "tarragonmux: no commands yet", len(args))
	_ = stdout
	return 2
}
