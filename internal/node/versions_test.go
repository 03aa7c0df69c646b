package node_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactusspoke/internal/replica"
	"cactusspoke/platform/standin"

	"github.com/stretchr/testify/require"
)

// productionState is the file with what the version in production wrote. It was made by that
// version's tree, with this file in it and STATE_FILE set.
const productionState = "testdata/state-daa3440.json"

const (
	versionItems = 6
	// versionEvents is the number of events of an item.
	versionEvents = 30
	// longRetention keeps the jobs of the file, whatever the time of day is.
	longRetention = 100 * 365 * 24 * time.Hour
)

// state is what the processes of one version left in the store and told each other.
type state struct {
	Store map[string][]byte `json:"store"`
	// Update is the answer of an entry instance to a poll of its keys by another.
	Update     []byte `json:"update"`
	UpdateZip  bool   `json:"update-zip"`
	Done       string `json:"done"`
	Open       []result
	Streams    []string `json:"streams"`
	StreamsRan []string `json:"streams-ran"`
}

// writeState plays a job that ends, one that is under way, and streams that break off at two
// software versions, and returns what is left.
func writeState(t *testing.T) state {
	c := newCluster(t, 1, 1)
	c.addEngine(newerSoftware)
	c.putConfig(1, routeOverrides{"stream": {"Resumable": true, "MaxAttempts": 3}})
	c.waitReady()
	var s state
	job := func(id string) []byte {
		return jobBody(id, versionItems, 1, func(_ int, item map[string]any) { item["TokenCount"] = 1000 })
	}
	submit := func(id string) {
		require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/"+id, id, key, job(id), nil).status)
	}
	submit("done")
	c.waitForResults(c.entries[0], "done")
	for n := 0; len(s.Streams) < 4; n++ {
		for _, w := range c.engines {
			w.TruncateStreamAfter(2)
		}
		stream := c.beginStream(c.entries[0], fmt.Sprintf("s-%d", n))
		s.Streams = append(s.Streams, stream.id)
		s.StreamsRan = append(s.StreamsRan, c.softwareOf(stream.id))
	}
	for _, w := range c.engines {
		w.TruncateStreamAfter(0)
		w.SetDelay(100 * time.Millisecond)
		w.SetEventCount(func(id string) int {
			if strings.HasSuffix(id, "i0") || strings.HasSuffix(id, "i1") {
				return 5
			}
			return versionEvents
		})
	}
	submit("open")
	c.eventually(func() bool {
		page, _ := c.readResults(c.entries[0], "open", 0)
		s.Open = page.Results
		return len(s.Open) >= 2 && len(c.store.Keys("partial/")) > 0
	})
	c.pollReplica(&s)
	s.Store = map[string][]byte{}
	for _, prefix := range []string{"job/", "spec/", "result/", "partial/", "stream/", "usage/", "cluster/entry"} {
		for _, k := range c.store.Keys(prefix) {
			s.Store[k], _ = c.store.Value(k)
		}
	}
	return s
}

// pollReplica asks an entry instance for its keys as another would.
func (c *cluster) pollReplica(s *state) {
	address := net.JoinHostPort(c.entries[0].settings.IP, strconv.Itoa(c.replicaPort))
	request, err := http.NewRequest(http.MethodGet, "http://"+address+replica.Path+"?incarnation=&after=0,0&wait-ms=0", nil)
	require.NoError(c.t, err)
	request.Header.Set("Accept-Encoding", "identity")
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	defer response.Body.Close()
	require.Equal(c.t, http.StatusOK, response.StatusCode)
	s.Update, err = io.ReadAll(response.Body)
	require.NoError(c.t, err)
	s.UpdateZip = response.Header.Get("Content-Encoding") == "gzip"
}

// TestStateOfProductionVersion guards against formats that this version and the one in
// production do not both read, since they run side by side during an upgrade.
func TestStateOfProductionVersion(t *testing.T) {
	t.Parallel()
	if file := os.Getenv("STATE_FILE"); file != "" {
		data, err := json.MarshalIndent(writeState(t), "", " ")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, data, 0o644))
		return
	}
	file := productionState
	if other := os.Getenv("STATE_READ"); other != "" {
		file = other
	}
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	var s state
	require.NoError(t, json.Unmarshal(data, &s))
	c := newCluster(t, 0, 0)
	c.jobRetention = longRetention
	c.addEngine(newerSoftware)
	for _, w := range c.engines {
		w.SetEventCount(func(id string) int {
			if strings.HasPrefix(id, "open-i") && id != itemID("open", 0) && id != itemID("open", 1) {
				return versionEvents
			}
			return 5
		})
	}
	for k, value := range s.Store {
		if !strings.HasPrefix(k, "cluster/entry-servers") { // its servers are gone
			c.store.Put(k, value)
		}
	}
	c.putConfig(1, routeOverrides{"stream": {"Resumable": true, "MaxAttempts": 3}, "jobs": {"RetainS": longRetention.Seconds()}})
	c.entries = append(c.entries, c.start("entry-new", 0, true))
	c.schedulers = append(c.schedulers, c.start("scheduler-new", 1, false))
	c.waitReady()

	requireCompleteResults(t, "done", versionItems, 5, c.waitForResults(c.entries[0], "done"))
	open := c.waitForResults(c.entries[0], "open")
	require.Len(t, open, versionItems)
	require.NotEmpty(t, s.Open)
	require.Equal(t, s.Open, open[:len(s.Open)], "results changed their place")
	for _, r := range open {
		require.Equal(t, "completed", r.State)
		require.Contains(t, []string{standin.ExpectedText(r.ID, 5), standin.ExpectedText(r.ID, versionEvents)}, r.Output)
	}
	resumed := 0
	for _, w := range c.engines {
		for _, r := range w.Requests() {
			if strings.HasPrefix(r.ID, "open-i") && r.LastEventID != "" {
				resumed++
			}
		}
	}
	require.Positive(t, resumed, "no checkpoint was read")
	for i, id := range s.Streams {
		require.Equal(t, http.StatusOK, c.takeUp(c.entries[0], stream{id, 2}))
		require.Equal(t, s.StreamsRan[i], c.softwareOf(id+"-2"))
	}
	var old string
	for k, value := range s.Store {
		if strings.HasPrefix(k, "cluster/entry/") {
			old, _, _ = strings.Cut(string(value), " ")
		}
	}
	require.Contains(t, c.lookupAddresses(c.entries[0]), old, "the other version's instance is not announced")
}
