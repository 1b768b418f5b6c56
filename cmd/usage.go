package cmd

import (
	"context"

	"agateward/internal/result/code"

	"github.com/urfave/cli/v3"
)

// strict makes a command and those below it refuse what they don't know with a
// numbered error.
func strict(c *cli.Command) *cli.Command {
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
		strict(below)
	}
	return c
}
