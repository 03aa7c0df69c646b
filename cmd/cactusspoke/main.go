// Command cactusspoke runs an entry instance and its operators' commands.
package main

import (
	"os"

	"cactusspoke/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args, os.Stdout, os.Stderr)) }
