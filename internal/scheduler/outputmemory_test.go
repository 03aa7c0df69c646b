package scheduler

import (
	"context"
	"testing"
	"time"

	"cactusspoke/internal/batch"
	"cactusspoke/internal/memory"
	"cactusspoke/internal/telemetry"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestPartialOutputsInMemory guards against partial outputs without a run that leave no memory for
// runs, and against the loss of more or smaller ones than necessary.
func TestPartialOutputsInMemory(t *testing.T) {
	type partial struct {
		size     int
		retained bool
		state    taskState
		kept     bool
	}
	tests := []struct {
		name     string
		partials []partial
		held     int64
	}{
		{"fits", []partial{{300, false, taskQueued, true}, {200, true, taskQueued, true}}, 500},
		{"largest goes first", []partial{{400, false, taskQueued, false}, {200, false, taskQueued, true}, {100, false, taskQueued, true}}, 300},
		{"retained go before waiting", []partial{{400, false, taskQueued, true}, {200, true, taskQueued, false}, {100, true, taskQueued, true}}, 500},
		{"complete ones stay", []partial{{600, false, taskScoring, true}, {100, false, taskQueued, true}}, 700},
		{"running ones have an account", []partial{{600, false, taskRunning, true}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(t.Context(), Config{MaxOutputBytes: 1000, Metrics: telemetry.NewRegistry(), Log: zap.NewNop()})
			j := &job{spec: &batch.Job{ID: "j"}}
			s.jobs["j"] = j
			tasks := make([]*task, len(tt.partials))
			for i, p := range tt.partials {
				id := string(rune('a' + i))
				o := &output{data: make([]byte, p.size), events: 1}
				if p.retained {
					s.retained[id] = retainedOutput{output: o}
					continue
				}
				tasks[i] = &task{job: j, item: &batch.Item{ID: id}, state: p.state, output: o}
				j.tasks = append(j.tasks, tasks[i])
			}
			s.countOutputs(time.Now())
			for i, p := range tt.partials {
				if p.retained {
					_, kept := s.retained[string(rune('a'+i))]
					require.Equal(t, p.kept, kept, "output %d", i)
					continue
				}
				require.Equal(t, p.kept, len(tasks[i].output.data) > 0, "output %d", i)
			}
			require.Equal(t, tt.held, s.outputs.Held())
		})
	}
}

// TestLargestRunIsEnded guards against a run without end that takes the memory of others.
func TestLargestRunIsEnded(t *testing.T) {
	budget := memory.NewBudget(256 << 10)
	newRun := func(evict func()) *run {
		return &run{job: &batch.Job{}, item: &batch.Item{ID: "i"}, output: &output{}, account: budget.Open(evict)}
	}
	ctx, cancel := context.WithCancel(t.Context())
	endless := newRun(cancel)
	done := make(chan outcome, 1) // the account must be closed before the outcome is read
	go func() {
		defer endless.account.Close()
		done <- endless.readEvents(ctx, largeEvents(), time.NewTimer(time.Hour))
	}()
	for range 100 {
		sound := newRun(func() { t.Error("the small run is ended") })
		require.NoError(t, sound.hold(t.Context(), 32<<10))
		sound.account.Close()
	}
	require.Equal(t, outcomeInterrupted, <-done)
	require.Empty(t, endless.output.data)
}

// TestLeadingResults guards against a write that the store refuses each time because it is too
// long.
func TestLeadingResults(t *testing.T) {
	text := func(n int) batch.Result { return batch.Result{Text: string(make([]byte, n))} } // each byte is encoded as six
	tests := []struct {
		name    string
		results []batch.Result
		want    int
	}{
		{"all fit", []batch.Result{text(10), text(10)}, 2},
		{"the last one does not fit", []batch.Result{text(10), text(10), text(1000)}, 2},
		{"the first one alone is too long", []batch.Result{text(1000), text(1)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, leadingResults(tt.results, 1000))
		})
	}
}
