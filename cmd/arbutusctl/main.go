// Command arbutusctl is for operators: plans, confirms, jobs and measurements.
package main

import (
	"os"

	"arbutusramp/internal/command"
)

func main() { os.Exit(command.Ctl()) }
