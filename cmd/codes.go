package cmd

import (
	"context"
	"fmt"

	"agateward/internal/result/code"

	"github.com/urfave/cli/v3"
)

// codesCommand prints the table of result codes.
func codesCommand() *cli.Command {
	return &cli.Command{
		Name:        "codes",
		Usage:       "print the table of result codes",
		Description: "Example:\n  agateward codes",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprint(c.Root().Writer, code.Markdown())
			return err
		},
	}
}
