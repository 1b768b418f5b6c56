package cmd

import (
	"context"

	"agateward/internal/result/code"
	"agateward/platform/dayreport"

	"github.com/urfave/cli/v3"
)

// daysCommand prints a table of the reports of the users' bench.
func daysCommand() *cli.Command {
	return &cli.Command{
		Name: "days", Usage: "print a table of days from the reports of the users' bench", ArgsUsage: "REPORT...",
		Description: "Reports are the files of `fleetbench run SITE DAY --report FILE`.\n\nExample:\n  agateward days tafel-scale-1.json tafel-scale-2.json",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return code.BadCommand.New("no report given: name at least one file")
			}
			var list []dayreport.Report
			for _, file := range c.Args().Slice() {
				r, err := dayreport.Read(file)
				if err != nil {
					return code.BadCommand.Wrap(err, "read the reports")
				}
				list = append(list, r)
			}
			return dayreport.Table(c.Root().Writer, list)
		},
	}
}
