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
	l := quarantine.New()
	require.Equal(t, quarantine.Allow, l.Check(now, crashing))
	l.ReportCrash(now, crashing)
	l.ReportCrash(now, harmless)
	require.Equal(t, quarantine.Isolate, l.Check(now, harmless))
	require.True(t, l.TryAcquire("s", harmless))
	require.False(t, l.TryAcquire("s", crashing), "suspects of a service run one at a time")
	l.ReportCompletion(harmless)
	l.Release("s", harmless)
	require.Equal(t, quarantine.Allow, l.Check(now, harmless))
	require.True(t, l.TryAcquire("s", crashing))
	l.ReportCrash(now, crashing)
	require.Equal(t, quarantine.Reject, l.Check(now, crashing))
	l.ReportCompletion(crashing)
	require.Equal(t, quarantine.Reject, l.Check(now, crashing), "a late completion must not clear a rejected request")
	other := quarantine.New()
	for _, s := range l.Suspects(now) {
		other.MergeSuspect(now, s)
	}
	require.Equal(t, quarantine.Reject, other.Check(now, crashing))
	require.Equal(t, quarantine.Allow, other.Check(now.Add(time.Hour), crashing), "a suspect expires")
}

func TestListIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	l := quarantine.New()
	for i := range 5000 {
		l.ReportCrash(now.Add(time.Duration(i)), quarantine.Fingerprint(i))
	}
	require.Len(t, l.Suspects(now), 1024)
}
