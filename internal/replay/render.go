package replay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// maxRows bounds the rows of a table that may be long.
const maxRows = 40

// Write prints the tables of a day.
func (d Day) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	d.writeCalls(t)
	d.writeSteps(t)
	d.writeSeconds(t)
	d.writeHolders(t)
	d.writeLimits(t)
	d.writeResumptions(t)
	return Class.Wrap(t.Flush())
}

func (d Day) writeCalls(w io.Writer) {
	total := 0
	for _, c := range d.Calls {
		total += c.Calls
	}
	fmt.Fprintf(w, "calls to the store: %d\n\nrole\tpurpose\tcalls\n", total)
	for _, c := range d.Calls[:min(len(d.Calls), maxRows)] {
		fmt.Fprintf(w, "%s\t%s\t%d\n", c.Role, c.Purpose, c.Calls)
	}
}

func (d Day) writeSteps(w io.Writer) {
	median, unsatisfied := Percentile(d.Steps, 0.5)
	worst, _ := Percentile(d.Steps, 1)
	fmt.Fprintf(w, "\nsteps: %d, not satisfied: %d, lateness p50 %s, worst %s\n\n", len(d.Steps), unsatisfied, seconds(median), seconds(worst))
	fmt.Fprintln(w, "job\tmodel\taccepted\tbegun at age\titems\tfinished\tsatisfied at age\tlateness\tdecisive item\tplaced at age\truns\tevents")
	for _, s := range d.Steps {
		if s.SatisfiedAge == 0 {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\tnever\n", s.ID, s.Model, seconds(s.AcceptedAt), seconds(s.BeginAge), s.Items, s.Finished)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%d\t%d\n", s.ID, s.Model, seconds(s.AcceptedAt), seconds(s.BeginAge), s.Items, s.Finished,
			seconds(s.SatisfiedAge), seconds(s.Lateness()), s.Decisive, seconds(s.DecisivePlaced), s.DecisiveRuns, s.DecisiveEvents)
	}
}

func (d Day) writeSeconds(w io.Writer) {
	fmt.Fprintln(w, "\nsecond\tplaced\tfinished\trejected\tinterrupted\tmoved\trequests refused")
	for _, s := range d.Seconds {
		if s == (Second{Second: s.Second}) {
			continue
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Second, s.Placed, s.Finished, s.Rejected, s.Interrupted, s.Moved, s.Refused)
	}
}

func (d Day) writeHolders(w io.Writer) {
	fmt.Fprintln(w, "\nholder\tfrom\tconnections")
	for _, h := range d.Holders {
		fmt.Fprintf(w, "%s\t%s\t%d\n", h.Node, seconds(h.From), h.Connections)
	}
}

// seconds formats a duration in seconds.
func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
