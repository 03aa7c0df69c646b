package quarantine_test

import (
	"testing"
	"time"

	"cactusspoke/internal/quarantine"

	"github.com/stretchr/testify/require"
)

func TestList(t *testing.T) {
	now := time.Unix(0, 0)
	crashing, harmless := quarantine.FingerprintOf("s", "r", []byte("a")), quarantine.FingerprintOf("s", "r", []byte("b"))
	require.NotEqual(t, crashing, harmless)
	tracker := quarantine.New()
	require.Equal(t, quarantine.Allow, tracker.Check(now, crashing))
	tracker.ReportCrash(now, crashing)
	tracker.ReportCrash(now, harmless)
	require.Equal(t, quarantine.Isolate, tracker.Check(now, harmless))
	require.True(t, tracker.TryAcquire("s", harmless))
	require.False(t, tracker.TryAcquire("s", crashing), "suspects of a service run one at a time")
	tracker.ReportCompletion(harmless)
	tracker.Release("s", harmless)
	require.Equal(t, quarantine.Allow, tracker.Check(now, harmless))
	require.True(t, tracker.TryAcquire("s", crashing))
	tracker.ReportCrash(now, crashing)
	require.Equal(t, quarantine.Reject, tracker.Check(now, crashing))
	tracker.ReportCompletion(crashing)
	require.Equal(t, quarantine.Reject, tracker.Check(now, crashing), "a late completion must not clear a rejected request")
	other := quarantine.New()
	for _, s := range tracker.Suspects(now) {
		other.MergeSuspect(now, s)
	}
	require.Equal(t, quarantine.Reject, other.Check(now, crashing))
	require.Equal(t, quarantine.Allow, other.Check(now.Add(time.Hour), crashing), "a suspect expires")
}

func TestListIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := quarantine.New()
	for i := range 5000 {
		tracker.ReportCrash(now.Add(time.Duration(i)), quarantine.Fingerprint(i))
	}
	require.Len(t, tracker.Suspects(now), 1024)
}
