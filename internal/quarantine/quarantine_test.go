package quarantine_test

import (
	"testing"
	"time"

	"cactusspoke/internal/quarantine"

	"github.com/stretchr/testify/require"
)

func TestList(t *testing.T) {
	now := time.Unix(0, 0)
	guilty, innocent := quarantine.Of("s", "r", []byte("a")), quarantine.Of("s", "r", []byte("b"))
	require.NotEqual(t, guilty, innocent)
	l := quarantine.New()
	require.Equal(t, quarantine.Clear, l.Judge(now, guilty))
	l.Crashed(now, guilty)
	l.Crashed(now, innocent)
	require.Equal(t, quarantine.Alone, l.Judge(now, innocent))
	require.True(t, l.TryRun("s", innocent))
	require.False(t, l.TryRun("s", guilty), "suspects run one at a time")
	l.Completed(innocent)
	l.Done("s", innocent)
	require.Equal(t, quarantine.Clear, l.Judge(now, innocent))
	require.True(t, l.TryRun("s", guilty))
	l.Crashed(now, guilty)
	require.Equal(t, quarantine.Refuse, l.Judge(now, guilty))
	l.Completed(guilty)
	require.Equal(t, quarantine.Refuse, l.Judge(now, guilty), "a late end clears nothing")
	other := quarantine.New()
	for _, s := range l.Suspects(now) {
		other.Learn(now, s)
	}
	require.Equal(t, quarantine.Refuse, other.Judge(now, guilty))
	require.Equal(t, quarantine.Clear, other.Judge(now.Add(time.Hour), guilty), "suspicion ends")
}

func TestListIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	l := quarantine.New()
	for i := range 5000 {
		l.Crashed(now.Add(time.Duration(i)), quarantine.Fingerprint(i))
	}
	require.Len(t, l.Suspects(now), 1024)
}
