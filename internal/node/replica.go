package node

import (
	"context"
	"net"
	"strconv"

	"cactusspoke/internal/directory"
	"cactusspoke/internal/http1"
	"cactusspoke/internal/kv"
	"cactusspoke/internal/replica"
	"cactusspoke/internal/web"
)

// replicas are the copies of the configuration and of the entry instances' shared
// keys. This instance keeps them up to date and serves them to its followers.
type replicas struct {
	follower *replica.Follower
	server   *replica.Server
	address  string
	entry    *Entry
	intake   *web.Intake
}

// newReplicas returns the replicas of an entry instance, which update the given
// views.
func (e *Entry) newReplicas(store kv.Store, monitored *kv.MonitoredStore, members *directory.Directory, configView, sharedView kv.View, in *web.Intake) *replicas {
	s := e.settings
	signal := replica.NewSignal()
	configTable, sharedTable := replica.NewTable(configView, signal), replica.NewTable(sharedView, signal)
	tables := []*replica.Table{configTable, sharedTable}
	follower := replica.NewFollower(replica.Config{
		Self:    replica.Member{Name: s.Name, FailureDomain: s.FailureDomain},
		Members: func() []replica.Member { return replicaMembers(members.Entries(), s.ReplicaPort) },
		Tables:  tables,
		Watch: func(ctx context.Context) {
			group := newComponentGroup(ctx, e.log)
			config := group.startIn(ctx, "configuration", kv.NewFollower(store, e.adapter.Decoder.ConfigKey, 0, configTable, e.log).Run)
			shared := group.startIn(ctx, "shared", kv.NewFollower(store, entryPrefix, entryWatchInterval, sharedTable, e.log).Run)
			<-config
			<-shared
		},
		StoreReachable: monitored.Reachable, Client: http1.NewClient(), Log: e.log,
	})
	return &replicas{
		follower: follower, entry: e, intake: in, address: net.JoinHostPort(s.IP, strconv.Itoa(s.ReplicaPort)),
		server: replica.NewServer(incarnation(s.Name), tables, signal, monitored.SinceContact, follower.Direct, e.log),
	}
}

// replicaMembers returns the entry instances with the addresses of their replicas.
func replicaMembers(entries []directory.Entry, port int) []replica.Member {
	out := make([]replica.Member, 0, len(entries))
	for _, entry := range entries {
		host, _, err := net.SplitHostPort(entry.Address)
		if err != nil {
			continue
		}
		out = append(out, replica.Member{Name: entry.Name, FailureDomain: entry.FailureDomain, Address: net.JoinHostPort(host, strconv.Itoa(port))})
	}
	return out
}

// serve serves the replicas until the context ends.
func (r *replicas) serve(ctx context.Context) error {
	server := web.NewServer(r.address, maxBodyBytes, r.entry.settings.ShutdownGrace).UseIntake(r.intake)
	r.server.Register(server)
	return server.Serve(ctx)
}
