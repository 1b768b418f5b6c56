package cmd

import (
	"context"
	"fmt"

	"agateward/internal/config/settings"

	"github.com/urfave/cli/v3"
)

// settingsCommand checks settings files.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check settings files",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check the settings in FILE and say all that is wrong", ArgsUsage: "FILE",
			Description: "Example:\n  agateward settings check examples/tafelberg/entry-1.jsonc",
			Action: func(_ context.Context, c *cli.Command) error {
				file, err := argument(c, "FILE")
				if err != nil {
					return err
				}
				s, err := settings.Load(file)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(c.Root().Writer, "%s: settings of %s of fleet %s are right\n", file, s.Name, s.Fleet)
				return err
			},
		}},
	}
}
