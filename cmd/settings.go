package cmd

import (
	"context"
	"fmt"
	"io"

	"agateward/internal/config/settings"

	"github.com/urfave/cli/v3"
)

// settingsCommand checks settings files.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "check settings files",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check the settings in FILE and report all faults", ArgsUsage: "FILE",
			Description: "With --output json the effective settings are printed, with defaults and without keys.\n\n" +
				"Example:\n  agateward settings check examples/tafelberg/entry-1.jsonc",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "output", Value: "table", Usage: "`FORM`: table or json", Validator: oneOf("table", "json")},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				file, err := singleArgument(c, "FILE")
				if err != nil {
					return err
				}
				s, err := settings.Load(file)
				if err != nil {
					return err
				}
				// Secrets are not printed.
				s.Operators.Key = ""
				s.Peers.Key = ""
				return printOutput(c, s, func(w io.Writer, s settings.Settings) {
					fmt.Fprintf(w, "%s: settings of %s of fleet %s are valid\n", file, s.Name, s.Fleet)
				})
			},
		}},
	}
}
