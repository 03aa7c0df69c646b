// Command cactusspoke-lab runs simulators of the systems around cactusspoke, and the
// load generator.
package main

import (
	"os"

	"cactusspoke/internal/lab"
)

func main() { os.Exit(lab.Main(os.Args, os.Stdout, os.Stderr)) }
