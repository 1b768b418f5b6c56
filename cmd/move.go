package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"agateward/internal/operator/notice"
	"agateward/internal/operator/surface"
	"agateward/ward"

	"github.com/urfave/cli/v3"
)

// moveCommand shows moves and prints their events.
func moveCommand() *cli.Command {
	return &cli.Command{
		Name: "move", Usage: "show and follow moves of traffic",
		Description: "Example:\n  agateward move list\n  agateward move watch",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the moves in force", Flags: operatorFlags(),
				Description: "Example:\n  agateward move list",
				Action: func(ctx context.Context, c *cli.Command) error {
					return getAndPrint(ctx, c, "/moves", printMoves)
				},
			},
			{
				Name: "show", Usage: "show the move with an ID and its events", ArgsUsage: "ID", Flags: operatorFlags(),
				Description: "Example:\n  agateward move show menus-to-v2",
				Action: func(ctx context.Context, c *cli.Command) error {
					name, err := singleArgument(c, "ID")
					if err != nil {
						return err
					}
					return getAndPrint(ctx, c, "/moves/"+name, printMove)
				},
			},
			{
				Name: "watch", Usage: "print events as they come, until interrupted",
				Flags: operatorFlags(
					&cli.IntFlag{Name: "after", Usage: "print only events after this `PLACE` in the log"},
					&cli.StringFlag{Name: "until", Usage: "exit when the move with this `ID` is done or rolled back"},
				),
				Description: "Example:\n  agateward move watch --until menus-to-v2",
				Action:      watchMoves,
			},
		},
	}
}

func watchMoves(ctx context.Context, c *cli.Command) error {
	cl, err := operatorClient(c)
	if err != nil {
		return err
	}
	until := c.String("until")
	w := c.Root().Writer
	return cl.Events(ctx, c.Int("after"), func(e notice.Numbered) bool {
		if c.String("output") == "json" {
			b, err := json.Marshal(e)
			if err == nil {
				fmt.Fprintf(w, "%s\n", b)
			}
		} else {
			printEvent(w, e)
		}
		ended := e.Kind == ward.EventMoveDone || e.Kind == ward.EventMoveRolledBack
		return until == "" || !ended || e.Move != until
	})
}

func printEvent(w io.Writer, e notice.Numbered) {
	fmt.Fprintf(w, "%d %s %s %s share=%.2f %s\n", e.Seq, e.At.Format(time.RFC3339), e.Kind, e.Move, e.Share, e.Text)
}

func printMoves(w io.Writer, list []surface.MoveView) {
	printRow(w, "MOVE", "SERVES", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "TICKET")
	for _, v := range list {
		printRow(w, v.Move.Name, v.Move.Serves, v.Move.From, v.Move.To, v.State.State,
			fmt.Sprintf("%.2f", v.State.Share), v.Move.Deadline.Format(time.RFC3339), v.Move.Ticket)
	}
}

func printMove(w io.Writer, v surface.MoveView) {
	printMoves(w, []surface.MoveView{v})
	if v.State.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", v.State.Reason)
	}
	if v.State.Holder != "" {
		fmt.Fprintf(w, "controlled by %s with fencing number %d\n", v.State.Holder, v.State.Fence)
	}
	for _, e := range v.Events {
		printEvent(w, e)
	}
}
