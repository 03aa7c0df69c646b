package peer

import (
	"encoding/hex"
	"time"

	"cactusspoke/internal/fleet"
	"cactusspoke/internal/peer/peerpb"
	"cactusspoke/internal/quarantine"
	"cactusspoke/internal/store"

	"github.com/cespare/xxhash/v2"
)

// permille converts a load from 0 to 1 to the unit used on the wire.
const permille = 1000

func encodeMember(m Member) *peerpb.Member {
	return &peerpb.Member{
		Name: m.name, Incarnation: m.incarnation, FailureDomain: m.failureDomain,
		PeersAddress: m.peersAddress, CallersAddress: m.callersAddress,
		Draining: m.draining, Keeper: m.keeper, LoadPermille: uint32(m.load * permille),
	}
}

func decodeMember(w *peerpb.Member, revision uint64) Member {
	return Member{
		name: w.GetName(), incarnation: w.GetIncarnation(), failureDomain: w.GetFailureDomain(),
		peersAddress: w.GetPeersAddress(), callersAddress: w.GetCallersAddress(),
		draining: w.GetDraining(), keeper: w.GetKeeper(),
		load: float64(w.GetLoadPermille()) / permille, revision: store.Revision(revision),
	}
}

func encodeRecords(records []store.Record) []*peerpb.Record {
	out := make([]*peerpb.Record, 0, len(records))
	for _, r := range records {
		out = append(out, &peerpb.Record{Key: r.Key(), Value: r.Value(), Revision: uint64(r.Revision())})
	}
	return out
}

func decodeRecords(wire []*peerpb.Record) []store.Record {
	out := make([]store.Record, 0, len(wire))
	for _, w := range wire {
		out = append(out, store.NewRecord(w.GetKey(), w.GetValue(), store.Revision(w.GetRevision())))
	}
	return out
}

func encodeLoads(now time.Time, loads []fleet.Load) []*peerpb.Load {
	out := make([]*peerpb.Load, 0, len(loads))
	for _, l := range loads {
		out = append(out, &peerpb.Load{
			Server: xxhash.Sum64String(l.Server()), Incarnation: l.Incarnation(), Sequence: l.Sequence(),
			Running: uint32(l.Running()), Queued: uint32(l.Queued()), Slots: uint32(l.Slots()),
			WeightVersion: l.WeightVersion(), Leaving: l.Leaving(),
			AgeMs: uint32(max(0, now.Sub(l.TakenAt()).Milliseconds())),
		})
	}
	return out
}

// decodeLoad decodes a load report. The wire form has only a hash of the server's
// name; names maps the hashes of the known servers to their names. It returns
// false if the server is unknown.
func decodeLoad(now time.Time, w *peerpb.Load, names map[uint64]string) (fleet.Load, bool) {
	name, ok := names[w.GetServer()]
	if !ok {
		return fleet.Load{}, false
	}
	takenAt := now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond)
	return fleet.NewLoad(name, w.GetIncarnation(), w.GetSequence(), int(w.GetRunning()),
		int(w.GetQueued()), int(w.GetSlots()), w.GetWeightVersion(), w.GetLeaving(), takenAt), true
}

func namesByHash(names []string) map[uint64]string {
	out := make(map[uint64]string, len(names))
	for _, name := range names {
		out[xxhash.Sum64String(name)] = name
	}
	return out
}

func encodeHeard(now time.Time, members []Member) []*peerpb.Heard {
	out := make([]*peerpb.Heard, 0, len(members))
	for _, m := range members {
		out = append(out, &peerpb.Heard{
			Member: uint32(xxhash.Sum64String(m.name)), AgeMs: uint32(max(0, now.Sub(m.heardAt).Milliseconds())),
		})
	}
	return out
}

func encodeSuspects(now time.Time, suspects []quarantine.Suspect) []*peerpb.Suspect {
	out := make([]*peerpb.Suspect, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, &peerpb.Suspect{
			Fingerprint: uint64(s.Fingerprint()), Crashes: uint32(s.Crashes()),
			TtlMs: uint32(s.ExpiresAt().Sub(now).Milliseconds()),
		})
	}
	return out
}

func decodeSuspect(now time.Time, w *peerpb.Suspect) quarantine.Suspect {
	until := now.Add(time.Duration(w.GetTtlMs()) * time.Millisecond)
	return quarantine.NewSuspect(quarantine.Fingerprint(w.GetFingerprint()), int(w.GetCrashes()), until)
}

func encodeDigests(digests []string) [][]byte {
	out := make([][]byte, 0, len(digests))
	for _, d := range digests {
		raw, err := hex.DecodeString(d)
		if err == nil {
			out = append(out, raw)
		}
	}
	return out
}

func decodeDigests(wire [][]byte) []string {
	out := make([]string, 0, len(wire))
	for _, raw := range wire {
		out = append(out, hex.EncodeToString(raw))
	}
	return out
}
