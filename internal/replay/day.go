package replay

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Day is the summary of a deployment's logs.
type Day struct {
	Calls   []CallCount
	Seconds []Second
	Steps   []Step
	Holders []Holder
	Limited []LimitedServer
	Resumed Resumptions
}

// CallCount is the number of calls to the store that the processes of a role made
// for a purpose: an operation and the group of its keys. The calls that a process
// made after its last activity line are missing.
type CallCount struct {
	Role    string
	Purpose string
	Calls   int
}

// Second is what happened in one second, counted from the first log line.
type Second struct {
	Second int
	// Placed and Finished count items; Rejected and Interrupted count their runs,
	// Moved those that were moved to another engine.
	Placed, Finished, Rejected, Interrupted, Moved int
	// Refused counts callers' requests that the instance answered with an error.
	Refused int
}

// Step is one batch job.
type Step struct {
	ID    string
	Model string
	// AcceptedAt is counted from the first log line.
	AcceptedAt time.Duration
	// BeginAge is the age of the job when a scheduler first began it.
	BeginAge time.Duration
	Items    int
	Finished int
	// SatisfiedAge is the age of the job when enough groups for the trainer were
	// complete; 0 if they never were.
	SatisfiedAge time.Duration
	// Due is the age at which the results are due.
	Due time.Duration
	// Decisive is the item that completed the last group needed, DecisivePlaced its
	// age at its first placement, and DecisiveRuns the number of its runs.
	Decisive       string
	DecisivePlaced time.Duration
	DecisiveRuns   int
	DecisiveEvents int
}

// Lateness returns by how much a step that was satisfied missed its due time; it is
// negative for a step in time.
func (s Step) Lateness() time.Duration { return s.SatisfiedAge - s.Due }

// Holder is one node's activity while it held the duty.
type Holder struct {
	Node string
	// From is counted from the first log line.
	From time.Duration
	// Connections is the peak of open connections to servers in the activity lines of
	// the node.
	Connections int
}

// Messages of the programs' log lines that are summarized.
const (
	messageActivity  = "process: activity"
	messageAccepted  = "job: accepted"
	messageBegun     = "job: begun"
	messagePlaced    = "item: placed"
	messageFinished  = "item: finished"
	messageRunEnded  = "item: run ended"
	messageMoved     = "item: moved to a faster engine"
	messageRefused   = "request: refused"
	messageDutyTaken = "duty: taken"
	outcomeNotRun    = "not-run"
)

// Summarize returns the summary of log lines, which must be sorted by time.
func Summarize(lines []Line) Day {
	start := lines[0].At
	return Day{
		Calls: countCalls(lines), Seconds: countSeconds(lines, start), Steps: summarizeSteps(lines, start), Holders: findHolders(lines, start),
		Limited: summarizeLimits(lines), Resumed: countResumptions(lines),
	}
}

func countCalls(lines []Line) []CallCount {
	counts := map[CallCount]int{}
	for _, l := range lines {
		if l.Message != messageActivity {
			continue
		}
		calls, _ := l.fields["store-calls"].(map[string]any)
		for purpose, n := range calls {
			count, _ := n.(float64)
			counts[CallCount{Role: l.text("role"), Purpose: purpose}] += int(count)
		}
	}
	var out []CallCount
	for key, n := range counts {
		key.Calls = n
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Purpose, b.Purpose))
	})
	return out
}

func countSeconds(lines []Line, start time.Time) []Second {
	last := int(lines[len(lines)-1].At.Sub(start) / time.Second)
	out := make([]Second, last+1)
	for i := range out {
		out[i].Second = i
	}
	for _, l := range lines {
		s := &out[int(l.At.Sub(start)/time.Second)]
		switch l.Message {
		case messagePlaced:
			s.Placed++
		case messageFinished:
			s.Finished++
		case messageMoved:
			s.Moved++
		case messageRefused:
			s.Refused++
		case messageRunEnded:
			if l.text("outcome") == outcomeNotRun {
				s.Rejected++
			} else {
				s.Interrupted++
			}
		}
	}
	return out
}

// stepState is a step together with the progress of its groups.
type stepState struct {
	Step
	accepted  time.Time
	wanted    int
	groups    map[string]int
	groupSize int
	complete  int
	// firstPlaced and runs are by item.
	firstPlaced map[string]time.Time
	runs        map[string]int
	done        map[string]bool
}

func summarizeSteps(lines []Line, start time.Time) []Step {
	steps := map[string]*stepState{}
	var order []*stepState
	sizes := groupSizes(lines)
	for _, l := range lines {
		switch l.Message {
		case messageAccepted:
			if _, known := steps[l.text("id")]; !known {
				s := newStepState(l, start, sizes)
				steps[l.text("id")] = s
				order = append(order, s)
			}
		case messageBegun:
			if s, ok := steps[l.text("id")]; ok {
				s.begin(l)
			}
		case messagePlaced:
			if s, ok := steps[l.text("job")]; ok {
				s.place(l)
			}
		case messageFinished:
			if s, ok := steps[l.text("job")]; ok {
				s.finish(l)
			}
		}
	}
	out := make([]Step, 0, len(order))
	for _, s := range order {
		out = append(out, s.Step)
	}
	return out
}

// groupSizes returns the number of items by group. Only items that finished are in
// the logs, so the size of a group that never completed is that of the largest one.
func groupSizes(lines []Line) map[string]int {
	items := map[string]map[string]bool{}
	for _, l := range lines {
		if l.Message == messageFinished {
			group := l.text("job") + "/" + l.text("group")
			if items[group] == nil {
				items[group] = map[string]bool{}
			}
			items[group][l.text("id")] = true
		}
	}
	largest := map[string]int{}
	for group, list := range items {
		largest[jobOf(group)] = max(largest[jobOf(group)], len(list))
	}
	return largest
}

// jobOf returns the job of a group that is named JOB/GROUP.
func jobOf(group string) string {
	job, _, _ := strings.Cut(group, "/")
	return job
}

func newStepState(l Line, start time.Time, sizes map[string]int) *stepState {
	id := l.text("id")
	accepted := l.At.Add(-l.ms("took"))
	return &stepState{
		Step:     Step{ID: id, AcceptedAt: accepted.Sub(start), Items: int(l.number("items"))},
		accepted: accepted, groups: map[string]int{}, groupSize: sizes[id],
		firstPlaced: map[string]time.Time{}, runs: map[string]int{}, done: map[string]bool{},
	}
}

func (s *stepState) begin(l Line) {
	if s.BeginAge == 0 {
		s.BeginAge = l.ms("age")
	}
	s.Model = l.text("model")
	s.wanted = int(l.number("wanted-groups"))
}

func (s *stepState) place(l Line) {
	id := l.text("id")
	s.runs[id]++
	if _, ok := s.firstPlaced[id]; !ok {
		s.firstPlaced[id] = l.At
	}
	if s.Due == 0 {
		s.Due = (l.At.Sub(s.accepted) + l.ms("until-due")).Round(10 * time.Millisecond)
	}
}

func (s *stepState) finish(l Line) {
	id, group := l.text("id"), l.text("group")
	if s.done[id] {
		return
	}
	s.done[id] = true
	s.Finished++
	s.groups[group]++
	if s.groups[group] != s.groupSize {
		return
	}
	s.complete++
	if s.wanted == 0 || s.complete != s.wanted {
		return
	}
	s.SatisfiedAge = l.At.Sub(s.accepted)
	s.Decisive, s.DecisiveRuns, s.DecisiveEvents = id, s.runs[id], int(l.number("events"))
	if placed, ok := s.firstPlaced[id]; ok {
		s.DecisivePlaced = placed.Sub(s.accepted)
	}
}

func findHolders(lines []Line, start time.Time) []Holder {
	var out []Holder
	for _, l := range lines {
		switch l.Message {
		case messageDutyTaken:
			out = append(out, Holder{Node: l.Node, From: l.At.Sub(start)})
		case messageActivity:
			for i := len(out) - 1; i >= 0; i-- {
				if out[i].Node == l.Node {
					out[i].Connections = max(out[i].Connections, int(l.number("connections")))
					break
				}
			}
		}
	}
	return out
}

// Percentile returns a percentile of the lateness of the steps that were satisfied,
// and how many were not. p is from 0 to 1.
func Percentile(steps []Step, p float64) (lateness time.Duration, unsatisfied int) {
	var all []time.Duration
	for _, s := range steps {
		if s.SatisfiedAge == 0 {
			unsatisfied++
			continue
		}
		all = append(all, s.Lateness())
	}
	if len(all) == 0 {
		return 0, unsatisfied
	}
	slices.Sort(all)
	return all[int(math.Ceil(p*float64(len(all)-1)))], unsatisfied
}
