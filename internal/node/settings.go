// Package node puts the roles together that run beside a platform's store: the
// entry instance and the scheduler.
package node

import "time"

// Settings is what a process knows from its settings file.
type Settings struct {
	Name          string
	IP            string
	FailureDomain string
	// Front, Ready and Directory are addresses to listen at; empty where the
	// role does not serve them.
	Front     string
	Ready     string
	Directory string
	// Store and Cloud are the addresses of the platform's two services.
	Store string
	Cloud string
	// ValueBytes bounds one value in the store.
	ValueBytes int
	// HolderGap is the least time before a duty may return to a former holder.
	HolderGap time.Duration
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// UsageWindow is the length of a usage window.
	UsageWindow time.Duration
	// UsageDue is how long after its end a window may be reported.
	UsageDue time.Duration
	// KeepMax bounds how long callers may keep a list of addresses.
	KeepMax time.Duration
	// JobStatus is how long results of a job can be read after its submission.
	JobStatus time.Duration
	// MemoryLimit is the machine's memory in bytes.
	MemoryLimit int64
	// Domains lists all failure domains.
	Domains []string
}
