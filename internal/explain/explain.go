// Package explain searches log files for the lines about one request, item or job
// and for related events of the same time, such as failures of the store or of
// backend servers.
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
	// relatedMargin is how long before the first and after the last line of an id
	// an event counts as related.
	relatedMargin = 3 * time.Second
	// maxLineBytes is the maximum length of a line of a log.
	maxLineBytes = 1 << 20
	// initialBufferBytes is the initial size of the read buffer.
	initialBufferBytes = 64 << 10
)

// relatedPrefixes are the prefixes of messages about dependencies, duties, servers
// and the start and stop of instances.
var relatedPrefixes = []string{"store:", "duty:", "pool: server", "weights:", "entry: stop", "entry: start", "scheduler: st", "job: results not", "configuration:", "admission:"}

// Line is a JSON line of a log.
type Line struct {
	timestamp time.Time
	source    string
	text      string
	fields    map[string]any
}

// Time returns when the line was written.
func (l Line) Time() time.Time { return l.timestamp }

// Source returns the name of the log that contains the line.
func (l Line) Source() string { return l.source }

// Text returns the JSON object of the line as it was written.
func (l Line) Text() string { return l.text }

// field returns a string field. It is empty if the line does not have it.
func (l Line) field(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// Log holds the lines of several instances.
type Log struct{ lines []Line }

// Read adds the lines of one instance. It skips lines without a JSON object or
// without a valid timestamp, and ignores text before the object.
func (l *Log) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialBufferBytes), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := Line{source: source, text: text[start:]}
		if json.Unmarshal([]byte(line.text), &line.fields) != nil {
			continue
		}
		timestamp, err := time.Parse("2006-01-02T15:04:05.000Z0700", line.field("ts"))
		if err != nil {
			continue
		}
		line.timestamp = timestamp
		l.lines = append(l.lines, line)
	}
	return Class.Wrap(scanner.Err())
}

// Result holds the lines found for an id, each group sorted by time.
type Result struct {
	// Matches are the lines that carry the id.
	Matches []Line
	// JobLines are the lines of the jobs to which the id belongs.
	JobLines []Line
	// Related are the lines of the same time that concern the servers involved, or
	// dependencies, duties and instances in general.
	Related []Line
}

// Find returns the lines found for an id.
func (l *Log) Find(id string) Result {
	var result Result
	jobs, servers := map[string]bool{}, map[string]bool{}
	for _, line := range l.lines {
		if line.field("id") == id || line.field("reward") == id {
			result.Matches = append(result.Matches, line)
			jobs[line.field("job")] = true
			servers[line.field("server")] = true
		}
	}
	delete(jobs, "")
	delete(servers, "")
	sortByTime(result.Matches)
	if len(result.Matches) == 0 {
		return result
	}
	from, to := result.Matches[0].timestamp.Add(-relatedMargin), result.Matches[len(result.Matches)-1].timestamp.Add(relatedMargin)
	for _, line := range l.lines {
		switch {
		case line.field("id") == id:
		case jobs[line.field("id")]:
			result.JobLines = append(result.JobLines, line)
		case line.timestamp.Before(from) || line.timestamp.After(to):
		case servers[line.field("server")] || isRelated(line.field("msg")):
			result.Related = append(result.Related, line)
		}
	}
	sortByTime(result.JobLines)
	sortByTime(result.Related)
	return result
}

func isRelated(message string) bool {
	for _, prefix := range relatedPrefixes {
		if strings.HasPrefix(message, prefix) {
			return true
		}
	}
	return false
}

func sortByTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].timestamp.Before(lines[j].timestamp) })
}
