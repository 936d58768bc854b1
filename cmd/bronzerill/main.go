// Command bronzerill runs and operates the router fleet.
package main

import (
	"context"
	"os"

	"bronzerill/internal/operator/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
