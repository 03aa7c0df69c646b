// Package replay summarizes the logs of a deployment's day: calls to the store, the
// pace of the scheduler, the lateness of training steps and the connections of the
// duty holder.
package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("replay")

const (
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
	// initialBufferBytes is the initial size of the read buffer.
	initialBufferBytes = 64 << 10
	// timeLayout is the format of the timestamps in the logs.
	timeLayout = "2006-01-02T15:04:05.000Z0700"
)

// Line is one line of a process's log.
type Line struct {
	At      time.Time
	Node    string
	Message string
	fields  map[string]any
}

// text returns a string field, or "" if there is none.
func (l Line) text(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// number returns a numeric field, or 0 if there is none.
func (l Line) number(name string) float64 {
	n, _ := l.fields[name].(float64)
	return n
}

// ms returns a duration that was logged in milliseconds.
func (l Line) ms(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Millisecond))
}

// ReadLog reads log lines, sorted by time. The words before the JSON object of a
// line are ignored, except that the last one is the node that wrote it. Lines
// without an object are skipped.
func ReadLog(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialBufferBytes), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		before, object, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		line := Line{}
		if json.Unmarshal([]byte("{"+object), &line.fields) != nil {
			continue
		}
		at, err := time.Parse(timeLayout, line.text("ts"))
		if err != nil {
			continue
		}
		if words := strings.Fields(before); len(words) > 0 {
			line.Node = words[len(words)-1]
		}
		line.At, line.Message = at, line.text("msg")
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, Class.Wrap(err)
	}
	if len(lines) == 0 {
		return nil, Class.New("no log lines found")
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, nil
}
