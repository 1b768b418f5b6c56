package cmd

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"agateward/internal/operator/surface"
	"agateward/internal/result/code"
	hop "agateward/internal/telemetry/explain"

	"github.com/urfave/cli/v3"
)

// statusCommand shows the status of an entry, or of all entries that it knows.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the revision in force, peers, upstreams and floors",
		Description: "Example:\n  agateward status\n  agateward status --all --output json",
		Flags:       operatorFlags(&cli.BoolFlag{Name: "all", Usage: "ask every entry that the entry knows"}),
		Action:      showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	if !c.Bool("all") {
		return getAndPrint(ctx, c, "/status", printStatus)
	}
	list, err := statusOfAll(ctx, c)
	if err != nil {
		return err
	}
	return printOutput(c, list, printStatuses)
}

// statusOfAll returns the status of the entry and of its peers. A peer that does
// not answer is listed as not ready.
func statusOfAll(ctx context.Context, c *cli.Command) ([]surface.Status, error) {
	cl, err := operatorClient(c)
	if err != nil {
		return nil, err
	}
	var first surface.Status
	if err := cl.Get(ctx, "/status", &first); err != nil {
		return nil, err
	}
	list := []surface.Status{first}
	for _, p := range first.Peers {
		st := surface.Status{Entry: p.Name}
		if err := cl.At(p.Operator).Get(ctx, "/status", &st); err != nil {
			st.NotReady = "no answer: " + code.Text(err)
		}
		list = append(list, st)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Entry < list[j].Entry })
	return list, nil
}

func printStatuses(w io.Writer, list []surface.Status) {
	printRow(w, "ENTRY", "DATA CENTRE", "REVISION", "TICKET", "FLOOR", "WAITING", "RUNNING", "PEERS", "STORE", "STATE")
	for _, s := range list {
		printRow(w, s.Entry, s.DataCentre, s.Revision, s.Ticket, s.Floor, s.Waiting, s.Running, len(s.Peers), s.Store, readyState(s))
	}
}

func readyState(s surface.Status) string {
	if s.NotReady == "" {
		return "ready"
	}
	return s.NotReady
}

func printStatus(w io.Writer, s surface.Status) {
	fmt.Fprintf(w, "entry %s of %s in %s: %s\n", s.Entry, s.Fleet, s.DataCentre, readyState(s))
	fmt.Fprintf(w, "revision %d by ticket %d at %s; store %s\n", s.Revision, s.Ticket, s.Accepted.Format(time.RFC3339), s.Store)
	fmt.Fprintf(w, "floor %d, waiting by tier %v, running %d\n\n", s.Floor, s.Waiting, s.Running)
	printRow(w, "PEER", "DATA CENTRE", "STATE", "REVISION", "FLOOR", "WAITING")
	for _, p := range s.Peers {
		printRow(w, p.Name, p.DataCentre, p.State, p.Revision, p.Floor, p.Waiting)
	}
	fmt.Fprintln(w)
	printRow(w, "UPSTREAM", "SERVES", "VERSION", "DATA CENTRE", "IN FLIGHT", "PART", "LIMIT", "STATE")
	for _, u := range s.Upstreams {
		printRow(w, u.Name, u.Serves, u.Version, u.DataCentre, u.InFlight, fmt.Sprintf("%.1f", u.Share), fmt.Sprintf("%.1f", u.Limit), u.Reason)
	}
	for _, x := range s.Splits {
		fmt.Fprintf(w, "\nroute %s: %.0f%% on %s, the rest on %s, move %s, quarantined %v", x.Route, 100*x.Share, x.Next, x.Version, x.Move, x.Quarantined)
	}
	for _, b := range s.Quarantines {
		fmt.Fprintf(w, "\n%s %s is quarantined on route %q by %s: %s", b.Serves, b.Version, b.Route, b.By, b.Reason)
	}
	fmt.Fprintln(w)
}

// explainCommand shows the hops of a recent request.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the hops of a recent request and the reason of each choice", ArgsUsage: "REQUEST-ID",
		Description: "The id is in the header X-Request-Id of the answer; it starts with the name of the entry.\n\n" +
			"Example:\n  agateward explain entry-1.0d9f6c1e-3c1f-4a57-a1cb-6f1f3a3c9f10",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := singleArgument(c, "REQUEST-ID")
			if err != nil {
				return err
			}
			hops, err := explain(ctx, c, id)
			if err != nil {
				return err
			}
			return printOutput(c, hops, printHops)
		},
	}
}

// explain gets the hops from the entry and, when it doesn't know the request, from
// the peer that the id names.
func explain(ctx context.Context, c *cli.Command, id string) ([]hop.Hop, error) {
	cl, err := operatorClient(c)
	if err != nil {
		return nil, err
	}
	var hops []hop.Hop
	err = cl.Get(ctx, "/explain/"+id, &hops)
	if !code.NoSuchRequest.Is(err) {
		return hops, err
	}
	var st surface.Status
	if statusErr := cl.Get(ctx, "/status", &st); statusErr != nil {
		return nil, err
	}
	server, _, _ := strings.Cut(id, ".")
	for _, p := range st.Peers {
		if p.Name == server {
			err = cl.At(p.Operator).Get(ctx, "/explain/"+id, &hops)
			return hops, err
		}
	}
	return nil, err
}

func printHops(w io.Writer, hops []hop.Hop) {
	for _, h := range hops {
		printRow(w, h.At.Format("15:04:05.000"), h.Name, h.Text)
	}
}
