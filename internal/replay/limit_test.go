package replay_test

import (
	"testing"

	"cactusspoke/internal/replay"

	"github.com/stretchr/testify/require"
)

// limitLog is the log of two processes that send to a server which names a limit of 1.
// The requests before 06:00:03 are not compared with it.
const limitLog = `
 0.0 front-a {"ts":"2026-04-01T06:00:00.000Z","msg":"pool: limit of a server","server":"s1","limited":true,"per-second":1}
 4.0 front-a {"ts":"2026-04-01T06:00:04.000Z","msg":"pool: requests to a limited server","server":"s1","per-second":1,"from":1775023200,"sent":[9,9,0,3]}
 4.0 front-b {"ts":"2026-04-01T06:00:04.000Z","msg":"pool: requests to a limited server","server":"s1","per-second":1,"from":1775023200,"sent":[0,0,0,4]}
 8.0 front-b {"ts":"2026-04-01T06:00:08.000Z","msg":"pool: requests to a limited server","server":"s1","per-second":1,"from":1775023204,"sent":[2,0,3,1]}
 8.1 store-a {"ts":"2026-04-01T06:00:08.100Z","msg":"item: placed","id":"i1","job":"j1","events":3,"software":"v1","begun-at":"v1"}
 8.2 store-a {"ts":"2026-04-01T06:00:08.200Z","msg":"item: placed","id":"i2","job":"j1","events":3,"software":"v2","begun-at":"v1"}
 8.3 store-a {"ts":"2026-04-01T06:00:08.300Z","msg":"item: placed","id":"i3","job":"j1","events":0,"software":"v2","begun-at":""}
 8.4 store-a {"ts":"2026-04-01T06:00:08.400Z","msg":"item: started over","id":"i4"}
 8.5 front-a {"ts":"2026-04-01T06:00:08.500Z","msg":"request: stream taken up","id":"r1","verdict":"goes-on"}
 8.6 front-a {"ts":"2026-04-01T06:00:08.600Z","msg":"request: stream taken up","id":"r2","verdict":"version-gone"}
`

// TestLimitsAndResumptions checks the counts over all processes.
func TestLimitsAndResumptions(t *testing.T) {
	day := summarize(t, limitLog)
	require.Equal(t, []replay.LimitedServer{{Server: "s1", PerSecond: 1, Sent: 31, Most: 12, Tolerated: 11}}, day.Limited)
	require.True(t, day.Limited[0].Exceeded())
	require.Equal(t, replay.Resumptions{Same: 1, Other: 1, StartedOver: 1, StreamsWentOn: 1, StreamsRefused: 1}, day.Resumed)
}
