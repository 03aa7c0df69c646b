package batch_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"
	"cactusspoke/internal/telemetry"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newJob(id string, n int) *batch.Job {
	j := &batch.Job{ID: id, Customer: "a", Host: "h", Model: "m", MinVersion: 1, WantedGroups: 1}
	for i := range n {
		j.Items = append(j.Items, batch.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/x", Body: []byte("body")})
	}
	return j
}

// holder appends results like the holder of a duty. It knows only from replies
// and reads which of its writes were carried out.
type holder struct {
	jobs  *batch.JobStore
	fence kv.Condition
}

// TestResults asserts that results never change position while the duty moves
// between holders whose last writes are delayed by random store failures.
func TestResults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		turns := rapid.IntRange(1, 4).Draw(rt, "turns")
		synctest.Test(t, func(t *testing.T) { playResults(t, seed, turns) })
	})
}

func playResults(t *testing.T, seed uint64, turns int) {
	ctx := t.Context()
	random := rand.New(rand.NewPCG(seed, 2))
	faults := kvtest.Faults{RefusedRate: 0.1, LostReplyRate: 0.2, DelayedWriteRate: 0.2, MaxLatency: 50 * time.Millisecond}
	store := kvtest.New(seed, kvtest.Faults{})
	client := store.Client()
	job := newJob("j", 30)
	require.NoError(t, batch.NewJobStore(client, 1<<20).Submit(ctx, job))
	reader := batch.NewJobStore(client, 1<<20)
	var seen []batch.Result
	checkResults := func() {
		page, err := reader.ReadResults(ctx, "j", "a", 0, 0)
		require.NoError(t, err)
		require.GreaterOrEqual(t, len(page.Results), len(seen), "results that were read are gone")
		for position := range seen {
			require.Equal(t, seen[position], page.Results[position], "a position holds another result")
		}
		seen = page.Results
	}
	checkResults()
	for turn := range turns {
		revision, err := client.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: "duty", Value: []byte{byte(turn)}}}})
		require.NoError(t, err)
		h := holder{batch.NewJobStore(store.Client(), 1<<20), kv.Condition{Key: "duty", Revision: revision}}
		done, err := batch.NewJobStore(client, 1<<20).CommittedResults(ctx, "j", "a")
		require.NoError(t, err)
		store.SetFaults(faults)
		h.work(t, random, job, done)
		store.SetFaults(kvtest.Faults{})
		checkResults()
	}
	time.Sleep(10 * time.Second) // delayed writes are carried out or fail
	checkResults()
	ids := map[string]bool{}
	for _, r := range seen {
		require.False(t, ids[r.ID], "%s stands at two positions", r.ID)
		ids[r.ID] = true
	}
}

// work appends results in a number of writes. The last one may be left without
// an answer.
func (h holder) work(t *testing.T, random *rand.Rand, job *batch.Job, done []batch.Result) {
	ids := map[string]bool{}
	for _, r := range done {
		ids[r.ID] = true
	}
	var left []batch.Result
	for _, item := range job.Items {
		if !ids[item.ID] {
			left = append(left, batch.Result{ID: item.ID, Completed: true, Text: fmt.Sprint(random.Uint64()), Versions: []int64{1}})
		}
	}
	position := len(done)
	for range 8 {
		if len(left) == 0 {
			return
		}
		n := 1 + random.IntN(min(3, len(left)))
		for tries := 0; ; tries++ {
			err := h.jobs.AppendResults(t.Context(), h.fence, job.Record(), position, left[:n])
			if err == nil {
				break
			}
			if tries == 6 || errors.Is(err, kv.ErrConflict) || random.IntN(3) == 0 {
				return // the holder may stop while a write is in flight
			}
		}
		position += n
		left = left[n:]
	}
}

// TestSubmitOnce asserts that a submitted job is in the store, and that a job
// reported as refused is not accepted by a delayed write.
func TestSubmitOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			store := kvtest.New(seed, kvtest.Faults{RefusedRate: 0.3, LostReplyRate: 0.2, DelayedWriteRate: 0.2, MaxLatency: 20 * time.Millisecond})
			err := batch.NewJobStore(store.Client(), 1<<20).Submit(t.Context(), newJob("j", 3))
			store.SetFaults(kvtest.Faults{})
			time.Sleep(10 * time.Second)
			_, found := batch.NewJobStore(store.Client(), 1<<20).Find(t.Context(), "j", "a")
			switch {
			case err == nil:
				require.NoError(t, found)
			case errors.Is(err, kv.ErrRefused):
				require.ErrorIs(t, found, batch.ErrJobNotFound, "said not to run, and accepted later")
			}
		})
	})
}

// TestLargeJob asserts that a job that exceeds the value size limit is stored
// completely.
func TestLargeJob(t *testing.T) {
	store := kvtest.New(1, kvtest.Faults{})
	job := newJob("j", 40)
	for i := range job.Items {
		job.Items[i].Body = make([]byte, 100<<10)
		job.Items[i].Body[0] = byte(i)
	}
	require.NoError(t, batch.NewJobStore(store.Client(), 1<<20).Submit(t.Context(), job))
	loaded, err := batch.NewJobStore(store.Client(), 1<<20).Load(t.Context(), "j")
	require.NoError(t, err)
	require.Equal(t, job.Items, loaded.Items)
}

// TestConfigurationVersion guards against the loss of the configuration version of a job, and
// against records of earlier versions that cannot be read since they lack it.
func TestConfigurationVersion(t *testing.T) {
	tests := []struct {
		name   string
		record string // that an earlier version wrote; empty for one of this version
		want   int64
	}{
		{"this version", "", 7},
		{"earlier version", `{"customer":"a","total":1,"parts":1,"submitted-at":5}`, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := kvtest.New(1, kvtest.Faults{}).Client()
			job := newJob("j", 1)
			job.ConfigurationVersion = 7
			require.NoError(t, batch.NewJobStore(client, 1<<20).Submit(t.Context(), job))
			if tt.record != "" {
				_, err := client.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: batch.JobPrefix + "j/job", Value: []byte(tt.record)}}})
				require.NoError(t, err)
			}
			loaded, err := batch.NewJobStore(client, 1<<20).Load(t.Context(), "j")
			require.NoError(t, err)
			require.Equal(t, tt.want, loaded.ConfigurationVersion)
			require.Equal(t, tt.want, loaded.Record().ConfigurationVersion)
		})
	}
}

// TestDelete asserts that Delete removes all keys of a job that has more keys
// than one write may contain.
func TestDelete(t *testing.T) {
	store := kvtest.New(1, kvtest.Faults{}).Client()
	jobs := batch.NewJobStore(store, 1<<20)
	job := newJob("j", 70)
	require.NoError(t, jobs.Submit(t.Context(), job))
	revision, err := store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "duty"}}})
	require.NoError(t, err)
	fence := kv.Condition{Key: "duty", Revision: revision}
	for i, item := range job.Items {
		require.NoError(t, jobs.AppendResults(t.Context(), fence, job.Record(), i, []batch.Result{{ID: item.ID}}))
		require.NoError(t, jobs.SavePartialResults(t.Context(), fence, map[string][]batch.PartialResult{"j": {{Item: item.ID}}}))
	}
	require.NoError(t, jobs.MarkEnded(t.Context(), "j", "a"))
	require.ErrorIs(t, jobs.Delete(t.Context(), kv.Condition{Key: "duty", Revision: revision + 1}, "j"), kv.ErrConflict)
	require.NoError(t, jobs.Delete(t.Context(), fence, "j"))
	left, _, err := kv.ListAll(t.Context(), store, "")
	require.NoError(t, err)
	require.Len(t, left, 1, "the duty alone is left")
}

// TestSavePartialResults asserts that the texts of several jobs share a write, and
// that all are saved if there are more than one write can hold.
func TestSavePartialResults(t *testing.T) {
	for _, perJob := range []int{2, 50} {
		client := kvtest.New(1, kvtest.Faults{}).Client()
		metered := kv.WithMetrics(client, telemetry.NewRegistry())
		jobs := batch.NewJobStore(metered, 1<<20)
		revision, err := client.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "fence"}}})
		require.NoError(t, err)
		partials := map[string][]batch.PartialResult{}
		for _, job := range []string{"a", "b", "c"} {
			for i := range perJob {
				partials[job] = append(partials[job], batch.PartialResult{Item: fmt.Sprintf("i%d", i), Events: i + 1})
			}
		}
		require.NoError(t, jobs.SavePartialResults(t.Context(), kv.Condition{Key: "fence", Revision: revision}, partials))
		require.Equal(t, (3*perJob+29)/30, metered.TakeCalls()["partial commit"])
		for job := range partials {
			saved, err := jobs.PartialResults(t.Context(), job)
			require.NoError(t, err)
			require.Len(t, saved, perJob)
		}
		require.Error(t, jobs.SavePartialResults(t.Context(), kv.Condition{Key: "fence", Revision: revision + 1}, partials))
	}
}

// TestCallsOfReads asserts how many calls a trainer's reads cost at an instance that
// has not cached the job: one if there are results, and one more to wait for the next.
func TestCallsOfReads(t *testing.T) {
	client := kvtest.New(1, kvtest.Faults{}).Client()
	writer := batch.NewJobStore(client, 1<<20)
	revision, err := client.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "fence"}}})
	require.NoError(t, err)
	fence := kv.Condition{Key: "fence", Revision: revision}
	j := newJob("j", 6)
	require.NoError(t, writer.Submit(t.Context(), j))
	result := func(i int) batch.Result { return batch.Result{ID: j.Items[i].ID, Completed: true} }
	require.NoError(t, writer.AppendResults(t.Context(), fence, j.Record(), 0, []batch.Result{result(0), result(1), result(2)}))
	tests := []struct {
		name  string
		after int
		read  int
		calls map[string]int
	}{
		{"from the start", 0, 3, map[string]int{"result range": 1}},
		{"from the end of a chunk", 3, 0, map[string]int{"result range": 1, "result watch": 1}},
		{"from the middle of a chunk", 1, 2, map[string]int{"result range": 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			metered := kv.WithMetrics(client, telemetry.NewRegistry())
			page, err := batch.NewJobStore(metered, 1<<20).ReadResults(t.Context(), "j", "a", tt.after, 20*time.Millisecond)
			require.NoError(t, err)
			require.Equal(t, 6, page.Total)
			require.Len(t, page.Results, tt.read)
			require.Equal(t, tt.calls, metered.TakeCalls())
		})
	}
}
