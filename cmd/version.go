package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// versionCommand prints the version.
func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Example:\n  agateward version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, Version)
			return err
		},
	}
}
