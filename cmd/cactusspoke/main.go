// Command cactusspoke runs entry instances and schedulers and provides the
// operators' commands.
package main

import (
	"os"

	"cactusspoke/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args, os.Stdout, os.Stderr)) }
