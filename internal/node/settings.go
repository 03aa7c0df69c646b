// Package node runs the two roles of a process that uses a platform's key-value
// store: the entry instance, which serves callers, and the scheduler.
package node

import (
	"maps"
	"slices"
	"time"
)

// Settings are the values that a process reads from its settings file.
type Settings struct {
	Name          string
	IP            string
	FailureDomain string
	// FrontAddress, ReadyAddress and DirectoryAddress are the listen addresses for
	// callers, readiness checks and address lookups. They are empty if the role does
	// not serve them.
	FrontAddress     string
	ReadyAddress     string
	DirectoryAddress string
	// ReplicaPort is the port at which entry instances relay keys of the store to each
	// other. It is the same at all of them.
	ReplicaPort int
	// StoreAddress and CloudAddress are the addresses of the platform's key-value
	// store and of its API for usage reports and scaling.
	StoreAddress string
	CloudAddress string
	// MaxValueBytes is the maximum size of a value in the store.
	MaxValueBytes int
	// HolderCooldown is the minimum time before a former duty holder may hold the
	// duty again after another node has held it.
	HolderCooldown time.Duration
	// ShutdownGrace is the time between the signal to stop and the end of the process.
	ShutdownGrace time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// MaxUsageDelay is how long after its end a usage window can still be reported.
	MaxUsageDelay time.Duration
	// MaxAddressTTL is the maximum time for which callers may cache a list of addresses.
	MaxAddressTTL time.Duration
	// JobRetention is how long after its submission the results of a job can be read.
	JobRetention time.Duration
	// MemoryBytes is the machine's memory in bytes.
	MemoryBytes int64
	// MaxDescriptors is the number of files and connections that the process may have open;
	// 0 if it is not limited and negative if the settings are invalid.
	MaxDescriptors int
	// FailureDomains lists all failure domains.
	FailureDomains []string
	// Region is the region of this instance, and Regions that of each failure domain.
	Region  string
	Regions map[string]string
	// EvacuateWithin is how soon after the operator's request a failure domain gets no more
	// requests. It is 0 if the deployment has no evacuations.
	EvacuateWithin time.Duration
	// Warnings describes fields of the settings file that are invalid and not required.
	Warnings []string
}

// knownRegions returns the regions of all failure domains, sorted.
func (s *Settings) knownRegions() []string {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}
