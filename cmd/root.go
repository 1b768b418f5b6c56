// Package cmd provides the command line, one file per command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"agateward/internal/result/code"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed means that the command was valid and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file is invalid.
	ExitUsage = 2
	// ExitUnreachable means that the entry or the platform did not answer.
	ExitUnreachable = 3
)

// Version is the version of the program.
const Version = "0.1.0"

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string) int {
	root := rejectUnknown(rootCommand())
	if err := root.Run(ctx, args); err != nil {
		printError(os.Stderr, err)
		return exitCode(err)
	}
	return ExitOK
}

// rootCommand returns the root command, with its commands in the order of the
// help text.
func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "agateward",
		Usage:                 "a request scheduler for engines of different kinds",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			entryCommand(),
			forwardCommand(),
			settingsCommand(),
			ticketCommand(),
			moveCommand(),
			statusCommand(),
			explainCommand(),
			demoCommand(),
			codesCommand(),
			standInCommand(),
			loadCommand(),
			measureCommand(),
			soakCommand(),
			daysCommand(),
			versionCommand(),
		},
	}
}

// printError writes the code and text of an error, and its advice unless the
// error is internal.
func printError(w io.Writer, err error) {
	c := code.Of(err)
	fmt.Fprintf(w, "agateward: %s: %s\n", c, code.Text(err))
	if c.Number != code.Internal.Number {
		fmt.Fprintf(w, "what to do: %s\n", c.Advice)
	}
}

// exitCode maps an error to the exit code.
func exitCode(err error) int {
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	switch code.Of(err).Number {
	case code.SettingsInvalid.Number, code.TicketSyntax.Number, code.TicketInvalid.Number, code.BadCommand.Number:
		return ExitUsage
	case code.EntryDown.Number, code.TicketStoreDown.Number, code.AcceptanceUnknown.Number:
		return ExitUnreachable
	}
	return ExitFailed
}
