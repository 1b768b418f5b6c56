package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"agateward/internal/result/code"
	"agateward/internal/ticket/acceptance"
	"agateward/internal/ticket/document"
	"agateward/ward"

	"github.com/urfave/cli/v3"
)

// ticketCommand submits and shows tickets.
func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "submit and show change tickets",
		Description: "Example:\n  agateward ticket submit ticket-7.jsonc --dry-run\n" +
			"  agateward ticket submit ticket-7.jsonc",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit the ticket in FILE", ArgsUsage: "FILE",
				Description: "A ticket that was accepted before is reported as accepted already.\n\nExample:\n  agateward ticket submit ticket-7.jsonc",
				Flags:       operatorFlags(&cli.BoolFlag{Name: "dry-run", Usage: "only show what would change"}),
				Action:      submitTicket,
			},
			{
				Name: "show", Usage: "show the ticket with this NUMBER", ArgsUsage: "NUMBER",
				Description: "Example:\n  agateward ticket show 7", Flags: operatorFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					number, err := singleArgument(c, "NUMBER")
					if err != nil {
						return err
					}
					return getAndPrint(ctx, c, "/tickets/"+number, printTicket)
				},
			},
			{
				Name: "list", Usage: "list the most recently accepted tickets",
				Description: "Example:\n  agateward ticket list --output json", Flags: operatorFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					return getAndPrint(ctx, c, "/tickets", printTickets)
				},
			},
		},
	}
}

func submitTicket(ctx context.Context, c *cli.Command) error {
	file, err := singleArgument(c, "FILE")
	if err != nil {
		return err
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return code.BadCommand.Wrap(err, "read the ticket")
	}
	// Syntax errors are reported without a call to an entry.
	if _, faults := document.Parse(b); len(faults) > 0 {
		return document.Error(code.TicketSyntax, faults)
	}
	cl, err := operatorClient(c)
	if err != nil {
		return err
	}
	path, send := "/tickets", cl.Post
	if c.Bool("dry-run") {
		path, send = "/tickets?dry-run=true", cl.Check
	}
	var r acceptance.Result
	if err := send(ctx, path, b, &r); err != nil {
		return err
	}
	return printOutput(c, r, func(w io.Writer, r acceptance.Result) { printResult(w, r, c.Bool("dry-run")) })
}

func printResult(w io.Writer, r acceptance.Result, dryRun bool) {
	switch {
	case dryRun:
		fmt.Fprintf(w, "ticket %d would be accepted as revision %d; nothing was changed\n", r.Number, r.Revision)
	case r.Already:
		fmt.Fprintf(w, "ticket %d is accepted already, as revision %d\n", r.Number, r.Revision)
	default:
		fmt.Fprintf(w, "ticket %d is accepted, as revision %d\n", r.Number, r.Revision)
	}
	for _, line := range r.Diff {
		fmt.Fprintln(w, line)
	}
}

func printTicket(w io.Writer, e acceptance.StoredTicket) {
	state := "not accepted"
	if e.Revision > 0 {
		state = fmt.Sprintf("accepted at %s as revision %d", e.Accepted.Format(time.RFC3339), e.Revision)
	}
	fmt.Fprintf(w, "ticket %d by %s: %s\n", e.Ticket.Number, e.Ticket.Operator, state)
	b, err := json.MarshalIndent(e.Ticket, "", "  ")
	if err != nil {
		return
	}
	fmt.Fprintf(w, "%s\n", b)
}

func printTickets(w io.Writer, list []ward.AcceptedTicket) {
	printRow(w, "NUMBER", "REVISION", "ACCEPTED")
	for _, t := range list {
		printRow(w, t.Number, t.Revision, t.Accepted.Format(time.RFC3339))
	}
}
