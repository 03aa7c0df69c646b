// Command cactusspoke-lab runs the platform simulators and the load generator.
package main

import (
	"os"

	"cactusspoke/internal/lab"
)

func main() { os.Exit(lab.Main(os.Args, os.Stdout, os.Stderr)) }
