package kv_test

import (
	"context"
	"testing"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"

	"github.com/stretchr/testify/require"
)

// failing is a store whose renewals return a fixed error.
type failing struct {
	kv.Store
	err error
}

func (f *failing) KeepAlive(context.Context, kv.LeaseID) error { return f.err }

// TestMonitoredStore asserts which errors mean that the store is unreachable.
func TestMonitoredStore(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"an answer", nil, true},
		{"a lease that has ended", kv.ErrNotFound, true},
		{"a condition that does not hold", kv.ErrConflict, true},
		{"turned away", kv.ErrRefused, false},
		{"no answer", kv.ErrOutcomeUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &failing{Store: kvtest.New(1, kvtest.Faults{}).Client(), err: tt.err}
			monitored := kv.NewMonitoredStore(store)
			require.True(t, monitored.Reachable())
			_ = monitored.KeepAlive(t.Context(), 1)
			require.Equal(t, tt.want, monitored.Reachable())
			cancelled, cancel := context.WithCancel(t.Context())
			cancel()
			store.err = kv.ErrOutcomeUnknown
			_ = monitored.KeepAlive(cancelled, 1)
			require.Equal(t, tt.want, monitored.Reachable(), "a call that its caller canceled changes nothing")
			store.err = nil
			_ = monitored.KeepAlive(t.Context(), 1)
			require.True(t, monitored.Reachable())
		})
	}
}
