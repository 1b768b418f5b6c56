// Package cmd provides the command line, one file per command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

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
	outlastHangups(args)
	root := rejectUnknown(rootCommand())
	if err := root.Run(ctx, args); err != nil {
		printError(os.Stderr, err)
		return exitCode(err)
	}
	return ExitOK
}

// outlastHangups keeps a SIGHUP from ending an entry, from its first line to its exit: the
// signal says that a settings file has changed, also to a process that starts or stops.
// Other commands end with their terminal.
func outlastHangups(args []string) {
	if len(args) > 1 && (args[1] == "entry" || args[1] == "forward") {
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
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
