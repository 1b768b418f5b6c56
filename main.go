// Command agateward is a request scheduler for unlike engines.
package main

import (
	"context"
	"os"

	"agateward/cmd"
)

func main() {
	os.Exit(cmd.Run(context.Background(), os.Args))
}
