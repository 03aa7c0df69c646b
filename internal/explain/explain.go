// Package explain finds in log files what happened to one request, item or
// job, and what its instances noticed around that time.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("explain")

const (
	// before is how long before the first line of an id its surroundings begin.
	before = 3 * time.Second
	// maxLine bounds one line of a log in bytes.
	maxLine = 1 << 20
)

// surroundings are the messages that tell of dependencies, duties and servers.
var surroundings = []string{"store:", "duty:", "pool: server", "weights:", "entry: stop", "entry: start", "scheduler: st", "job: results not", "configuration:"}

// Line is one line of a log.
type Line struct {
	at     time.Time
	source string
	text   string
	fields map[string]any
}

// At returns when the line was written.
func (l Line) At() time.Time { return l.at }

// Source returns the name of the log that it stands in.
func (l Line) Source() string { return l.source }

// Text returns the line as it was written.
func (l Line) Text() string { return l.text }

// field returns a field as text; empty if it has none.
func (l Line) field(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// Log is the lines of several instances.
type Log struct{ lines []Line }

// Read adds the lines of one instance. Lines that are no JSON are passed over.
func (l *Log) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		line := Line{source: source, text: text[begin:]}
		if json.Unmarshal([]byte(line.text), &line.fields) != nil {
			continue
		}
		at, err := time.Parse("2006-01-02T15:04:05.000Z0700", line.field("ts"))
		if err != nil {
			continue
		}
		line.at = at
		l.lines = append(l.lines, line)
	}
	return Class.Wrap(scanner.Err())
}

// Story is what is known of an id: its own lines, those of the job it belongs
// to, and what was noticed around them.
type Story struct {
	Own    []Line
	Job    []Line
	Around []Line
}

// Of returns the story of an id.
func (l *Log) Of(id string) Story {
	var s Story
	jobs, servers := map[string]bool{}, map[string]bool{}
	for _, line := range l.lines {
		if line.field("id") == id || line.field("reward") == id {
			s.Own = append(s.Own, line)
			jobs[line.field("job")] = true
			servers[line.field("server")] = true
		}
	}
	delete(jobs, "")
	delete(servers, "")
	byTime(s.Own)
	if len(s.Own) == 0 {
		return s
	}
	from, to := s.Own[0].at.Add(-before), s.Own[len(s.Own)-1].at.Add(before)
	for _, line := range l.lines {
		switch {
		case line.field("id") == id:
		case jobs[line.field("id")]:
			s.Job = append(s.Job, line)
		case line.at.Before(from) || line.at.After(to):
		case servers[line.field("server")] || surrounding(line.field("msg")):
			s.Around = append(s.Around, line)
		}
	}
	byTime(s.Job)
	byTime(s.Around)
	return s
}

func surrounding(message string) bool {
	for _, start := range surroundings {
		if strings.HasPrefix(message, start) {
			return true
		}
	}
	return false
}

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
}
