package cmd

import (
	"context"

	"agateward/internal/result/code"

	"github.com/urfave/cli/v3"
)

// rejectUnknown makes a command and its subcommands reject unknown flags and commands
// with a numbered error.
func rejectUnknown(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return code.BadCommand.Wrap(err, "%s", c.Name)
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return code.BadCommand.New("%s has no command %q", c.Name, c.Args().First())
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, below := range c.Commands {
		rejectUnknown(below)
	}
	return c
}
