// Command arbutusramp runs the processes of the serving system: entry and side.
package main

import (
	"os"

	"arbutusramp/internal/command"
)

func main() { os.Exit(command.Ramp()) }
