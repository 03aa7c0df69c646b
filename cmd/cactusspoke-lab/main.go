// Command cactusspoke-lab runs the stand-ins and the load tool.
package main

import (
	"os"

	"cactusspoke/internal/lab"
)

func main() { os.Exit(lab.Main(os.Args, os.Stdout, os.Stderr)) }
