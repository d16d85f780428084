// Command tarragonmux runs every part of the proxy fleet.
package main

import (
	"os"

	"github.com/tarragonmux/tarragonmux/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
